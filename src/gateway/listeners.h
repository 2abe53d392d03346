#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/process_budget.h"
#include "gateway/gateway_settings.h"
#include "io/http_server.h"

#include <functional>
#include <memory>
#include <utility>

/// @file
/// The HTTP servers of a gateway: for callers, the load balancer and operators.

namespace figlanding {

/// Largest body of a caller's request; a larger one gets status 413.
inline constexpr std::size_t maxCallerBodyBytes = std::size_t{64} * 1024 * 1024;
/// Retry-After of a request that does not fit into the memory: long enough for the bodies of others
/// to be passed on.
inline constexpr milliseconds retryAfterNoMemory{1000};

/// What the servers of a gateway call.
struct ListenerHandlers
{
    HttpServer::Handler onRequest; ///< for each request of a caller
    std::function<bool()> ready; ///< whether the load balancer may send callers to this VM
    std::function<HttpResponse()> metrics;
};

/// The HTTP servers of a gateway.
struct Listeners
{
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> admin;
};

/// Returns the options of the server for callers.
/// @param heldBytes account of this process; must outlive the server
template <CallerProtocol Protocol>
[[nodiscard]] auto callerServerOptions(const SocketAddress &address, const ProcessBudget &budget,
                                       HeldBytes &heldBytes) -> HttpServerOptions
{
    const auto noMemoryResponse = [](const HttpRequest &request) {
        return Protocol::refusal({.reason = RefusalReason::QueueFull,
                                  .detail = "no memory left for the request",
                                  .verdict = Verdict::NotRun,
                                  .retryAfter = retryAfterNoMemory},
                                 Protocol::readRequest(request).id);
    };
    return {.address = address,
            .maxBodyBytes = maxCallerBodyBytes,
            .maxConnections = static_cast<unsigned>(budget.callerConnections),
            .heldBytes = &heldBytes,
            .noMemoryResponse = noMemoryResponse};
}

/// Returns the options of a server for load balancers or operators, whose requests have no body.
/// @param heldBytes account of this process; must outlive the server
[[nodiscard]] inline auto operatorServerOptions(const SocketAddress &address,
                                                const ProcessBudget &budget, HeldBytes &heldBytes)
    -> HttpServerOptions
{
    return {.address = address,
            .maxBodyBytes = 0,
            .maxConnections = static_cast<unsigned>(budget.operatorConnections),
            .heldBytes = &heldBytes};
}

/// Starts all servers of a gateway.
/// @param budget of this process
/// @param heldBytes account of this process; must outlive the servers
/// @return the servers, or IoFailure if an address can't be bound
template <CallerProtocol Protocol>
[[nodiscard]] auto openListeners(EventLoop &loop, const GatewaySettings &settings,
                                 const ProcessBudget &budget, HeldBytes &heldBytes,
                                 ListenerHandlers handlers) -> Result<Listeners>
{
    auto listeners = Listeners{};
    BOOST_LEAF_ASSIGN(
        listeners.callers,
        HttpServer::listen(loop, callerServerOptions<Protocol>(settings.callers, budget, heldBytes),
                           std::move(handlers.onRequest)));
    BOOST_LEAF_ASSIGN(
        listeners.readiness,
        HttpServer::listen(loop, operatorServerOptions(settings.readiness, budget, heldBytes),
                           [ready = std::move(handlers.ready)](HttpExchange exchange) {
                               exchange.respond({.status = ready() ? 200 : 503});
                           }));
    BOOST_LEAF_ASSIGN(
        listeners.admin,
        HttpServer::listen(loop, operatorServerOptions(settings.admin, budget, heldBytes),
                           [metrics = std::move(handlers.metrics)](HttpExchange exchange) {
                               exchange.respond(metrics());
                           }));
    return listeners;
}

} // namespace figlanding
