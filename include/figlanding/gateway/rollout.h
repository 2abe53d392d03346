#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Roll-outs: an operator's order to move a service to servers of another version, and the record
/// that all VMs follow while it is carried out.

namespace figlanding {

/// An operator's order to move the traffic of a service to servers of another version.
struct RolloutOrder
{
    ServiceId service;
    ServerVersion version; ///< to which the traffic moves
    milliseconds duration{}; ///< time in which the roll-out has to end
    LogOffset offset = 0; ///< of the order's record; a later order has a higher one

    auto operator==(const RolloutOrder &) const -> bool = default;
};

/// Progress of a roll-out.
enum class RolloutPhase {
    Trial, ///< a few servers of the new version get a small share
    Shift, ///< the share rises to all requests
    Completed, ///< servers of other versions get nothing
    RolledBack, ///< servers of the new version get nothing
};

/// Returns "trial", "shift", "completed" or "rolled-back".
[[nodiscard]] auto toText(RolloutPhase phase) -> std::string_view;

/// State of the last roll-out of a service. The key controller appends it to the fleet's topic;
/// without news a VM keeps to the last record that it knows.
struct RolloutRecord
{
    ServiceId service;
    ServerVersion version; ///< to which the traffic moves
    LogOffset order = 0; ///< offset of the order that the record carries out
    std::uint64_t revision = 0; ///< grows with each record of the service
    RolloutPhase phase = RolloutPhase::Trial;
    double share = 0.0; ///< fraction of the service's requests for the new version
    std::vector<BackendServerId> trialServers; ///< servers that get the share during the trial
    /// Version whose pool holds the servers in force; empty for the pool named by the service.
    ServerVersion base;
    std::vector<ServerVersion> withheld; ///< versions whose servers get nothing
    std::int64_t orderedUnixMs = 0; ///< time of the order by the clock of the controller's VM
    milliseconds duration{}; ///< see RolloutOrder
    std::string reason; ///< what decided the last change of phase

    auto operator==(const RolloutRecord &) const -> bool = default;
};

/// Returns whether a roll-out has not ended.
[[nodiscard]] auto isRunning(const RolloutRecord &record) -> bool;

/// What an operator is told of a roll-out.
enum class RolloutState { Running, Completed, RolledBack };

/// The state of a service's last roll-out, for operators.
struct RolloutStatus
{
    ServiceId service;
    ServerVersion version;
    RolloutState state = RolloutState::Running;

    auto operator==(const RolloutStatus &) const -> bool = default;
};

/// Returns what operators are told of a roll-out.
[[nodiscard]] auto statusOf(const RolloutRecord &record) -> RolloutStatus;

} // namespace figlanding
