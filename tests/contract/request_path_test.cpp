#include "gateway/request_path.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");

struct PlainProtocol
{
    static auto readRequest(const HttpRequest & /*request*/) -> CallerRequest
    {
        return {.id = "id", .host = "h", .key = ShardKey{7}};
    }
    static auto serverRequest(const HttpRequest &request, const ServerCall & /*call*/)
        -> HttpRequest
    {
        return request;
    }
    static auto readResponse(const HttpResponse &response, const std::string & /*id*/)
        -> ServerResponse
    {
        return {.kind = response.status == 421 ? ResponseKind::WrongServer : ResponseKind::Success};
    }
    static auto callerResponse(HttpResponse response) -> HttpResponse
    {
        return response;
    }
    static auto refusal(const Refusal & /*refusal*/, const std::string & /*id*/) -> HttpResponse
    {
        return {.status = 503};
    }
    static auto idHeader(const std::string &id) -> std::pair<std::string, std::string>
    {
        return {"x-id", id};
    }
};

// Holds the requests that arrive until the test responds to them.
class HoldingServer
{
public:
    explicit HoldingServer(EventLoop &loop)
        : m_server(valueOrElse(
            [&] {
                return HttpServer::listen(
                    loop, {.address = {.ip = "127.0.0.1"}}, [this](HttpExchange exchange) {
                        m_held.push_back(std::make_unique<HttpExchange>(std::move(exchange)));
                    });
            },
            [](const Error &) { return std::unique_ptr<HttpServer>(); }))
    { }
    [[nodiscard]] auto address() const -> SocketAddress
    {
        return {.ip = "127.0.0.1", .port = m_server->port()};
    }
    [[nodiscard]] auto arrivals() const -> std::size_t
    {
        return m_held.size();
    }
    auto respondToFirst() -> void
    {
        m_held.front()->respond({.status = 200});
    }

private:
    std::vector<std::unique_ptr<HttpExchange>> m_held;
    std::unique_ptr<HttpServer> m_server;
};

auto keyedState() -> std::shared_ptr<const DesiredStateIndex>
{
    return std::make_shared<const DesiredStateIndex>(
        DesiredState{.version = 1,
                     .routes = {{.id = RouteId("r"),
                                 .host = "h",
                                 .pathPrefix = "/",
                                 .timeout = milliseconds(5000),
                                 .latencyObjective = milliseconds(4000),
                                 .maxAttempts = 1,
                                 .open = true,
                                 .services = {{.service = service}}}},
                     .services = {{.id = service, .keyed = true}}});
}

} // namespace

TEST_CASE("a request whose key moves while it waits for a slot is not sent to the earlier owner")
{
    auto loop = EventLoop();
    auto first = HoldingServer(loop);
    auto second = HoldingServer(loop);
    auto registry = ServerRegistry();
    for (const auto &[name, server] : {std::pair("s1", &first), std::pair("s2", &second)}) {
        registry.announce({.id = BackendServerId(name),
                           .startedUnixMs = 1,
                           .service = service,
                           .address = server->address(),
                           .slots = 1,
                           .sequence = 1},
                          loop.now());
    }
    auto owner = ServerIncarnation{.server = BackendServerId("s1"), .startedUnixMs = 1};
    const auto view = FleetView(VmId("vm"), 1.0, {});
    auto client = HttpClient(loop, {});
    auto limits = TeamLimits({});
    auto *decided = static_cast<RequestPath<PlainProtocol> *>(nullptr);
    auto slots = SlotClient(
        {.self = VmId("vm")}, view,
        {.send = [](const auto &, const auto &) {},
         .onDecision = [&](auto ticket,
                           const auto &outcome) { decided->onSlotDecision(ticket, outcome); }});
    slots.setServers(registry, {});
    auto path = RequestPath<PlainProtocol>(
        loop, client, slots, limits, {},
        {.state = [state = keyedState()] { return state; },
         .registry = [&]() -> const ServerRegistry & { return registry; },
         .owner = [&](const auto &, auto) { return owner; },
         .onKey = [](const auto &, auto) {},
         .fleetSize = [] { return 1.0; },
         .onStaleOwner = [] {},
         .onEnd = [](const auto &) {}});
    decided = &path;
    auto ticker = Timer(loop, [&] {
        slots.tick(loop.now());
        path.tick(loop.now());
    });
    ticker.startRepeating(milliseconds(5));
    auto callers = valueOrElse(
        [&] {
            return HttpServer::listen(
                loop, {.address = {.ip = "127.0.0.1"}},
                [&](HttpExchange exchange) { path.handle(std::move(exchange)); });
        },
        [](const Error &) { return std::unique_ptr<HttpServer>(); });
    const auto runUntil = [&](const std::function<bool()> &condition) {
        const auto end = loop.now() + seconds(2);
        auto check = Timer(loop, [&] {
            if (condition() || loop.now() >= end) {
                loop.stop();
            }
        });
        check.startRepeating(milliseconds(2));
        loop.run();
        return condition();
    };
    auto caller = HttpClient(loop, {});
    const auto request = HttpRequest{.method = "GET", .target = "/", .headers = {}, .body = {}};
    for (auto i = 0; i < 2; ++i) {
        caller.call({.ip = "127.0.0.1", .port = callers->port()}, request, {},
                    [](const HttpOutcome &) {});
    }
    REQUIRE(runUntil([&] { return first.arrivals() == 1 && path.pending() == 2; }));

    owner.server = BackendServerId("s2");
    first.respondToFirst();
    CHECK(runUntil([&] { return second.arrivals() == 1; }));
    CHECK(first.arrivals() == 1);
}
