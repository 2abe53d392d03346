#include "daemon/dispatcher.h"
#include "raw_server.h"
#include "run_until.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace figlanding;
using figlanding::testing::RawAction;
using figlanding::testing::RawServer;
using figlanding::testing::runUntil;

namespace {

const auto self = VmId("vm-1");
const auto incarnation = std::string("run-1");
const auto server = BackendServerId("archive-1");

// A state with one VM, which dispatches to one server of one slot. Nothing listens at its address.
auto oneServerState() -> ClusterState
{
    auto state = ClusterState{};
    auto &member = state.members[self];
    member.vm = self;
    member.incarnation = incarnation;
    state.servers[server].object = {
        .id = server, .address = {.ip = "127.0.0.1", .port = 1}, .slots = 1};
    return state;
}

auto postWithKey(const std::string &requestId, const std::string &key) -> DispatchRequest
{
    return {.requestId = requestId,
            .server = server,
            .service = ServiceId("archive"),
            .team = TeamId("team-1"),
            .remaining = seconds(5),
            .idempotencyKey = key,
            .digest = "digest",
            .http = {.method = "POST", .target = "/archive"}};
}

auto response(const std::string &head, const std::string &body = {}) -> figlanding::testing::RawStep
{
    return {RawAction::Send,
            "HTTP/1.1 " + head + "content-length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body};
}

// A dispatcher with one server. Its event loop does not run unless a test runs it, so that a
// request that was sent stays in flight.
struct IdleDispatcher
{
    explicit IdleDispatcher(const SocketAddress &address = {.ip = "127.0.0.1", .port = 1})
    {
        state.servers[server].object.address = address;
        dispatcher.onState({}, state, std::nullopt);
    }
    // Returns the number of the request, and sets result once it has one.
    auto dispatch(DispatchRequest request, std::optional<DispatchResult> &result)
        -> Dispatcher::DispatchId
    {
        return dispatcher.dispatch(std::move(request),
                                   [&](DispatchResult ended) { result = std::move(ended); });
    }

    bool probed = false; // the server has answered a probe
    std::vector<std::string> bootIds; // from responses to probes
    ClusterState state = oneServerState();
    EventLoop loop;
    HttpClient client{loop, {}};
    Dispatcher dispatcher{loop,
                          client,
                          {.self = self, .incarnation = incarnation, .timing = {}},
                          {.state = [this]() -> const ClusterState & { return state; },
                           .viewIsFresh = [] { return true; },
                           .onBootId =
                               [this](const auto &, const auto &bootId) {
                                   probed = true;
                                   bootIds.push_back(bootId);
                               },
                           .onHandOver = [](const auto &, const auto &, const auto &) {},
                           .onCrash = [](const auto &) {},
                           .unixNow = [] { return milliseconds(0); }}};
};

} // namespace

TEST_CASE("a request cancelled in the queue does not keep its Idempotency-Key in flight")
{
    auto idle = IdleDispatcher();
    auto running = std::optional<DispatchResult>();
    auto cancelled = std::optional<DispatchResult>();
    auto repeated = std::optional<DispatchResult>();
    idle.dispatch(postWithKey("request-1", "key-1"), running);
    const auto queued = idle.dispatch(postWithKey("request-2", "key-2"), cancelled);
    REQUIRE(idle.dispatcher.queued() == 1);
    idle.dispatcher.cancel(queued);
    REQUIRE(idle.dispatcher.queued() == 0);
    idle.dispatch(postWithKey("request-3", "key-2"), repeated);
    CHECK_FALSE(repeated);
    CHECK(idle.dispatcher.queued() == 1);
    CHECK_FALSE(running);
    CHECK_FALSE(cancelled);
}

TEST_CASE("a rejection without the id of the request does not say that the request did not run")
{
    const auto readRequest = figlanding::testing::RawStep{RawAction::ReadRequest, {}};
    const auto hold = figlanding::testing::RawStep{RawAction::Hold, {}};
    for (const auto *id :
         {"", "figlanding-request-id: request-0\r\n", "figlanding-request-id: request-1\r\n"}) {
        CAPTURE(id);
        const auto rejection = response(
            std::string("503 Service Unavailable\r\nfiglanding-not-run: true\r\n").append(id));
        auto raw = RawServer({{readRequest, response("200 OK\r\n", R"({"boot_id":"b"})"),
                               readRequest, rejection, hold}});
        auto running = IdleDispatcher(raw.address());
        REQUIRE(runUntil(
            running.loop, [&] { return running.probed; }, seconds(2)));
        auto result = std::optional<DispatchResult>();
        running.dispatch(postWithKey("request-1", ""), result);
        REQUIRE(runUntil(
            running.loop, [&] { return result.has_value(); }, seconds(2)));
        REQUIRE(std::holds_alternative<Refusal>(*result));
        const auto expected = std::string(id).find("request-1") == std::string::npos
            ? Verdict::MayHaveRun
            : Verdict::NotRun;
        CHECK(std::get<Refusal>(*result).verdict == expected);
    }
}

TEST_CASE("a copy of a rejection does not say that a request did not run when it is sent again")
{
    const auto readRequest = figlanding::testing::RawStep{RawAction::ReadRequest, {}};
    const auto hold = figlanding::testing::RawStep{RawAction::Hold, {}};
    const auto rejection = response("503 Service Unavailable\r\nfiglanding-not-run: true\r\n"
                                    "figlanding-request-id: request-1\r\n");
    const auto success = response("200 OK\r\nfiglanding-request-id: request-1\r\n");
    auto raw = RawServer({{readRequest, response("200 OK\r\n", R"({"boot_id":"b"})"), readRequest,
                           rejection, readRequest, rejection, hold},
                          {readRequest, success, hold}});
    auto running = IdleDispatcher(raw.address());
    REQUIRE(runUntil(
        running.loop, [&] { return running.probed; }, seconds(2)));
    auto first = std::optional<DispatchResult>();
    running.dispatch(postWithKey("request-1", ""), first);
    REQUIRE(runUntil(
        running.loop, [&] { return first.has_value(); }, seconds(2)));
    auto second = std::optional<DispatchResult>();
    running.dispatch(postWithKey("request-1", ""), second);
    REQUIRE(runUntil(
        running.loop, [&] { return second.has_value(); }, seconds(2)));
    CHECK(std::holds_alternative<HttpResponse>(*second));
}

// Guards against a crash that is reported because of a response to a request.
TEST_CASE("a response that is none to a probe does not tell the boot id of the server")
{
    const auto readRequest = figlanding::testing::RawStep{RawAction::ReadRequest, {}};
    const auto hold = figlanding::testing::RawStep{RawAction::Hold, {}};
    const auto healthy = response("200 OK\r\n", R"({"boot_id":"b"})");
    for (const auto *head :
         {"503 Service Unavailable\r\n", "200 OK\r\nfiglanding-request-id: request-1\r\n"}) {
        CAPTURE(head);
        auto raw = RawServer({{readRequest, healthy, readRequest,
                               response(head, R"({"boot_id":"c"})"), readRequest, healthy, hold}});
        auto running = IdleDispatcher(raw.address());
        REQUIRE(runUntil(
            running.loop, [&] { return raw.requests().size() >= 3 && running.bootIds.size() >= 2; },
            seconds(5)));
        CHECK(running.bootIds == std::vector<std::string>{"b", "b"});
        CHECK(running.dispatcher.suspectedServers().empty());
    }
}
