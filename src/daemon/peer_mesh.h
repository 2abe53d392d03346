#pragma once

#include "figlanding/peer_messages.h"
#include "figlanding/timing.h"
#include "io/event_loop.h"
#include "io/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

/// @file
/// Keeps connections to all known VMs and exchanges heartbeats with them.

namespace figlanding {

/// A heartbeat of another VM and its time of receipt.
struct ReceivedReport
{
    PeerReport report;
    TimePoint receivedAt;
};

/// Callbacks of PeerMesh.
struct PeerMeshHandlers
{
    /// Returns this VM's current heartbeat.
    std::function<PeerReport()> ownReport;
    /// A peer sent a heartbeat.
    std::function<void(const PeerReport &)> onHeartbeat;
    /// A peer responded, with its own heartbeat, to the one that this VM sent at the given time.
    std::function<void(const PeerReport &, TimePoint sentAt)> onHeartbeatResponse;
    /// A peer sent any other request.
    std::function<void(PeerExchange)> onRequest;
};

/// Settings of PeerMesh.
struct PeerMeshOptions
{
    SocketAddress listenAddress;
    PeerIdentity identity;
    Timing timing;
};

/// Maintains a link to each known VM and accepts links from them.
class PeerMesh
{
public:
    /// Starts to listen for peers and to send heartbeats.
    /// @return IoFailure if the port cannot be opened
    [[nodiscard]] static auto create(EventLoop &loop, PeerMeshOptions options,
                                     PeerMeshHandlers handlers)
        -> Result<std::unique_ptr<PeerMesh>>;

    /// Sets the addresses to keep links to; links to other addresses are closed. This VM's own
    /// address is ignored.
    auto setPeers(const std::set<SocketAddress> &addresses) -> void;
    /// Returns the link to @p vm, or nullptr if there is none or it is not ready.
    [[nodiscard]] auto linkTo(const VmId &vm) -> PeerLink *;
    /// Returns the latest heartbeat of each other VM.
    [[nodiscard]] auto reports() const -> const std::map<VmId, ReceivedReport> &
    {
        return m_reports;
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_server->port();
    }

private:
    PeerMesh(EventLoop &loop, PeerMeshOptions options, PeerMeshHandlers handlers);

    auto sendHeartbeats() -> void;
    auto sendHeartbeat(PeerLink &link) -> void;
    auto onPeerRequest(PeerExchange exchange) -> void;
    auto storeReport(const PeerReport &report) -> void;

    EventLoop &m_loop;
    PeerMeshOptions m_options;
    PeerMeshHandlers m_handlers;
    std::map<SocketAddress, std::unique_ptr<PeerLink>> m_links;
    std::map<VmId, ReceivedReport> m_reports;
    std::unique_ptr<PeerServer> m_server;
    Timer m_heartbeatTimer;
};

} // namespace figlanding
