#include "daemon/peer_requests.h"

#include "daemon/crash_message.h"
#include "daemon/token_message.h"

#include <memory>

namespace figlanding {

PeerRequestHandler::PeerRequestHandler(EventLoop &loop, Dispatcher &dispatcher, TeamTokens &tokens)
    : m_loop(loop)
    , m_dispatcher(dispatcher)
    , m_tokens(tokens)
{ }

auto PeerRequestHandler::handle(PeerExchange exchange) -> void
{
    const auto &target = exchange.request().target;
    if (target == dispatchPath) {
        dispatch(std::move(exchange));
    } else if (target == tokenRequestPath || target == tokenHandOverPath) {
        m_tokens.onPeerRequest(std::move(exchange));
    } else if (target == admissionHandOverPath) {
        receiveHandOver(std::move(exchange));
    } else if (target == crashReportPath) {
        receiveCrashReport(std::move(exchange));
    } else {
        exchange.respond(problemResponse(404, "unknown message", target));
    }
}

auto PeerRequestHandler::dispatch(PeerExchange exchange) -> void
{
    auto request = settle([&] { return decodeDispatchRequest(exchange.request()); });
    if (!request) {
        exchange.respond(problemResponse(400, "malformed request", describe(request.error())));
        return;
    }
    const auto requestId = request.value().requestId;
    const auto ended = std::make_shared<bool>(false);
    const auto id = m_dispatcher.dispatch(
        request.value(), [exchange, requestId, ended](const DispatchResult &result) mutable {
            *ended = true;
            exchange.respond(encodeDispatchResult(result, requestId));
        });
    if (!*ended) {
        exchange.onAbandoned([this, id] { m_dispatcher.cancel(id); });
    }
}

auto PeerRequestHandler::receiveHandOver(PeerExchange exchange) -> void
{
    const auto message =
        settle([&] { return decodeHandOver(exchange.request().body, m_loop.now()); });
    if (message) {
        m_dispatcher.acceptHandOver(message.value().server, message.value().handOver);
    }
    exchange.respond({.status = message ? 204 : 400});
}

auto PeerRequestHandler::receiveCrashReport(PeerExchange exchange) -> void
{
    const auto report = settle([&] { return decodeCrashReport(exchange.request().body); });
    if (report) {
        m_dispatcher.acceptCrashReport(report.value());
    }
    exchange.respond({.status = report ? 204 : 400});
}

auto sendHandOver(PeerMesh &mesh, const VmId &to, const ServerHandOver &handOver, TimePoint now,
                  Duration timeout) -> void
{
    if (auto *link = mesh.linkTo(to)) {
        link->request({.method = "POST",
                       .target = std::string(admissionHandOverPath),
                       .body = encodeHandOver(handOver, now)},
                      timeout, [](const PeerOutcome &) {});
    }
}

auto broadcastCrashReport(PeerMesh &mesh, const ClusterState &state, const CrashReport &report,
                          Duration timeout) -> void
{
    for (const auto &[vm, member] : state.members) {
        if (auto *link = mesh.linkTo(vm)) {
            link->request({.method = "POST",
                           .target = std::string(crashReportPath),
                           .body = encodeCrashReport(report)},
                          timeout, [](const PeerOutcome &) {});
        }
    }
}

} // namespace figlanding
