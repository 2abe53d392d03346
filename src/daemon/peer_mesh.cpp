#include "daemon/peer_mesh.h"

namespace figlanding {

namespace {

constexpr std::string_view heartbeatPath = "/peer/heartbeat";

} // namespace

PeerMesh::PeerMesh(EventLoop &loop, PeerMeshOptions options, PeerMeshHandlers handlers)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_heartbeatTimer(loop, [this] { sendHeartbeats(); })
{ }

auto PeerMesh::create(EventLoop &loop, PeerMeshOptions options, PeerMeshHandlers handlers)
    -> Result<std::unique_ptr<PeerMesh>>
{
    auto mesh =
        std::unique_ptr<PeerMesh>(new PeerMesh(loop, std::move(options), std::move(handlers)));
    auto *raw = mesh.get();
    BOOST_LEAF_ASSIGN(mesh->m_server,
                      PeerServer::listen(loop, raw->m_options.listenAddress,
                                         raw->m_options.identity, [raw](PeerExchange exchange) {
                                             raw->onPeerRequest(std::move(exchange));
                                         }));
    mesh->m_heartbeatTimer.startRepeating(raw->m_options.timing.heartbeatInterval);
    return mesh;
}

auto PeerMesh::setPeers(const std::set<SocketAddress> &addresses) -> void
{
    std::erase_if(m_links, [&](const auto &entry) { return !addresses.contains(entry.first); });
    for (const auto &address : addresses) {
        if (address == m_options.listenAddress || m_links.contains(address)) {
            continue;
        }
        m_links[address] = std::make_unique<PeerLink>(m_loop, address, m_options.identity);
    }
}

auto PeerMesh::linkTo(const VmId &vm) -> PeerLink *
{
    for (const auto &[address, link] : m_links) {
        if (link->peer() == vm && link->ready()) {
            return link.get();
        }
    }
    return nullptr;
}

auto PeerMesh::sendHeartbeats() -> void
{
    for (const auto &[address, link] : m_links) {
        if (link->ready()) {
            sendHeartbeat(*link);
        }
    }
}

auto PeerMesh::sendHeartbeat(PeerLink &link) -> void
{
    const auto sentAt = m_loop.now();
    link.request({.method = "POST",
                  .target = std::string(heartbeatPath),
                  .body = encodePeerReport(m_handlers.ownReport())},
                 m_options.timing.suspicionTimeout, [this, sentAt](const PeerOutcome &outcome) {
                     if (outcome.verdict != Verdict::Ran) {
                         return;
                     }
                     const auto report =
                         settle([&] { return decodePeerReport(outcome.response.body); });
                     if (report) {
                         storeReport(report.value());
                         m_handlers.onHeartbeatResponse(report.value(), sentAt);
                     }
                 });
}

auto PeerMesh::onPeerRequest(PeerExchange exchange) -> void
{
    if (exchange.request().target != heartbeatPath) {
        m_handlers.onRequest(std::move(exchange));
        return;
    }
    const auto report = settle([&] { return decodePeerReport(exchange.request().body); });
    if (!report || report.value().vm != exchange.from()) {
        exchange.respond(
            problemResponse(400, "malformed heartbeat",
                            report ? "the sender is another VM" : describe(report.error())));
        return;
    }
    storeReport(report.value());
    m_handlers.onHeartbeat(report.value());
    exchange.respond(jsonResponse(200, encodePeerReport(m_handlers.ownReport())));
}

auto PeerMesh::storeReport(const PeerReport &report) -> void
{
    m_reports[report.vm] = {.report = report, .receivedAt = m_loop.now()};
}

} // namespace figlanding
