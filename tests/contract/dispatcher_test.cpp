#include "daemon/dispatcher.h"

#include <doctest/doctest.h>

#include <optional>

using namespace figlanding;

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

// A dispatcher whose event loop does not run, so that a request that was sent stays in flight.
struct IdleDispatcher
{
    IdleDispatcher()
    {
        dispatcher.onState({}, state, std::nullopt);
    }
    // Returns the number of the request, and sets result once it has one.
    auto dispatch(DispatchRequest request, std::optional<DispatchResult> &result)
        -> Dispatcher::DispatchId
    {
        return dispatcher.dispatch(std::move(request),
                                   [&](DispatchResult ended) { result = std::move(ended); });
    }

    ClusterState state = oneServerState();
    EventLoop loop;
    HttpClient client{loop, {}};
    Dispatcher dispatcher{loop,
                          client,
                          {.self = self, .incarnation = incarnation, .timing = {}},
                          {.state = [this]() -> const ClusterState & { return state; },
                           .viewIsFresh = [] { return true; },
                           .onBootId = [](const auto &, const auto &) {},
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
