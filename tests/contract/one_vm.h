#pragma once

#include "gateway/request_path.h"
#include "run_until.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// A VM on one event loop that sends the requests of its callers for one key to the key's owner.

namespace figlanding::testing {

inline const auto keyedService = ServiceId("rooms");

/// Returns a configuration whose only route leads from the host "h" to a keyed service.
inline auto keyedState(std::uint32_t maxAttempts,
                       Repeatability repeatability = Repeatability::Idempotent)
    -> std::shared_ptr<const DesiredStateIndex>
{
    return std::make_shared<const DesiredStateIndex>(
        DesiredState{.version = 1,
                     .routes = {{.id = RouteId("r"),
                                 .host = "h",
                                 .pathPrefix = "/",
                                 .repeatability = repeatability,
                                 .timeout = milliseconds(5000),
                                 .latencyObjective = milliseconds(4000),
                                 .maxAttempts = maxAttempts,
                                 .open = true,
                                 .services = {{.service = keyedService}}}},
                     .services = {{.id = keyedService, .keyed = true}}});
}

/// Returns the only incarnation of a server.
inline auto incarnationOf(const char *name) -> ServerIncarnation
{
    return {.server = BackendServerId(name), .startedUnixMs = 1};
}

/// A VM and its callers. The key's owner is "s1" until a test sets another.
template <CallerProtocol Protocol>
struct OneVm
{
    explicit OneVm(std::shared_ptr<const DesiredStateIndex> newState,
                   const RequestPathOptions &pathOptions = {})
        : options(pathOptions)
        , state(std::move(newState))
    {
        ticker.startRepeating(milliseconds(5));
    }
    auto addServer(const char *name, const SocketAddress &address) -> void
    {
        registry.announce({.id = BackendServerId(name),
                           .startedUnixMs = 1,
                           .service = keyedService,
                           .address = address,
                           .slots = 1,
                           .sequence = 1},
                          loop.now());
        slots.setServers(registry, {});
    }
    auto call(HttpHeaders headers = {}) -> void
    {
        const auto request =
            HttpRequest{.method = "GET", .target = "/", .headers = std::move(headers), .body = {}};
        caller.call({.ip = "127.0.0.1", .port = callers->port()}, request, {},
                    [this](const HttpOutcome &outcome) {
                        statuses.push_back(outcome.verdict == Verdict::Ran ? outcome.response.status
                                                                           : 0);
                    });
    }
    auto callWithKey(const std::string &id) -> void
    {
        call(
            {{"host", "h"}, {"x-request-id", id}, {"x-deadline-ms", "4000"}, {"x-shard-key", "7"}});
    }
    auto runUntil(const std::function<bool()> &condition) -> bool
    {
        return figlanding::testing::runUntil(loop, condition, seconds(2));
    }

    RequestPathOptions options;
    EventLoop loop;
    std::shared_ptr<const DesiredStateIndex> state;
    ServerRegistry registry;
    ServerIncarnation owner = incarnationOf("s1");
    FleetView view{VmId("vm"), 1.0, {}};
    HttpClient client{loop, {}};
    TeamLimits limits{{}};
    SlotClient slots{
        {.self = VmId("vm")},
        view,
        {.send = [](const auto &, const auto &) {},
         .onDecision = [this](auto ticket,
                              const auto &outcome) { path.onSlotDecision(ticket, outcome); }}};
    RequestPath<Protocol> path{loop,
                               client,
                               slots,
                               limits,
                               options,
                               {.state = [this] { return state; },
                                .registry = [this]() -> const ServerRegistry & { return registry; },
                                .owner = [this](const auto &, auto) { return owner; },
                                .onKey = [](const auto &, auto) {},
                                .fleetSize = [] { return 1.0; },
                                .onStaleOwner = [this] { staleOwners += 1; },
                                .onLeaving = [this](const auto &) { leavingServers += 1; },
                                .onEnd = [](const auto &) {}}};
    Timer ticker{loop, [this] {
                     slots.tick(loop.now());
                     path.tick(loop.now());
                 }};
    std::unique_ptr<HttpServer> callers = valueOrElse(
        [this] {
            return HttpServer::listen(
                loop, {.address = {.ip = "127.0.0.1"}},
                [this](HttpExchange exchange) { path.handle(std::move(exchange)); });
        },
        [](const Error &) { return std::unique_ptr<HttpServer>(); });
    HttpClient caller{loop, {}};
    std::vector<int> statuses; ///< of the responses that the callers got; 0 without a response
    int staleOwners = 0;
    int leavingServers = 0;
};

} // namespace figlanding::testing
