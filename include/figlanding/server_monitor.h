#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/membership.h"
#include "figlanding/peer_reports.h"
#include "figlanding/timing.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Failure detection for backend servers.

namespace figlanding {

/// Determines server status from the VMs' reports and from the controller's own probes.
///
/// A server is marked down if two VMs suspect it, or if one VM suspects it and the controller's
/// own probe fails too. It is marked up again once no VM suspects it and its probes have succeeded
/// without interruption for the hold-down time of FlapDamper.
class ServerMonitor
{
public:
    explicit ServerMonitor(Timing timing, FlapDampingOptions damping = {});

    /// Records the result of a probe requested by probes().
    auto onProbe(const BackendServerId &server, bool answered, TimePoint now) -> void;

    /// Updates suspicions from the members' reports and counts failures of servers. Call at every
    /// tick.
    auto update(const ClusterState &state, const PeerReports &reports, TimePoint now) -> void;

    /// Returns the servers whose probe is due, and records @p now as their probe time.
    [[nodiscard]] auto probes(const ClusterState &state, TimePoint now)
        -> std::vector<BackendServerId>;

    /// Returns the next change of a server's status, if any. The caller sets its term.
    [[nodiscard]] auto next(const ClusterState &state, TimePoint now) const
        -> std::optional<ServerStatusChange>;

private:
    struct ServerHealth
    {
        std::vector<VmId> suspectedBy;
        TimePoint suspectedAt;
        std::optional<TimePoint> probedAt;
        std::optional<TimePoint> failedAt; ///< last failed probe, unset by a success
        std::optional<TimePoint> answeredSince; ///< start of uninterrupted probe successes
    };

    /// Returns the reason to mark a server down; nullopt if there is not enough evidence.
    [[nodiscard]] auto downEvidence(const ServerHealth &health) const -> std::optional<std::string>;

    Timing m_timing;
    FlapDamper<BackendServerId> m_damper;
    /// Servers that are suspected or down.
    std::map<BackendServerId, ServerHealth> m_monitored;
    std::map<BackendServerId, bool> m_wasDown; ///< status in the state of the last update()
};

} // namespace figlanding
