#pragma once

#include "daemon/dispatcher.h"
#include "daemon/hand_over_message.h"
#include "daemon/peer_mesh.h"
#include "daemon/team_tokens.h"

/// @file
/// Requests between VMs beside the heartbeats: dispatched requests, tokens, hand-overs of servers
/// and crash reports.

namespace figlanding {

/// Passes the requests of other VMs to the dispatcher and to the team tokens, by their path.
class PeerRequestHandler
{
public:
    /// All parameters must outlive the handler and the requests that it has received.
    PeerRequestHandler(EventLoop &loop, Dispatcher &dispatcher, TeamTokens &tokens);

    /// Handles a request; the response is sent at once or when the dispatched request has ended.
    /// An unknown path gets 404, a malformed message 400.
    auto handle(PeerExchange exchange) -> void;

private:
    auto dispatch(PeerExchange exchange) -> void;
    auto receiveHandOver(PeerExchange exchange) -> void;
    auto receiveCrashReport(PeerExchange exchange) -> void;

    EventLoop &m_loop;
    Dispatcher &m_dispatcher;
    TeamTokens &m_tokens;
};

/// Passes the admission state of a server on to its new dispatching VM. Nothing is sent without a
/// connection to that VM: it then waits until all requests of this VM must have ended.
/// @param now the time to which the times in @p handOver refer
/// @param timeout after which the response, which is ignored, is not awaited any more
auto sendHandOver(PeerMesh &mesh, const VmId &to, const ServerHandOver &handOver, TimePoint now,
                  Duration timeout) -> void;
/// Reports a crash to all members that are connected. Their responses are ignored.
auto broadcastCrashReport(PeerMesh &mesh, const ClusterState &state, const CrashReport &report,
                          Duration timeout) -> void;

} // namespace figlanding
