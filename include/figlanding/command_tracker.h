#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/move_progress.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Tracks the ownership commands sent to servers that check fencing tokens.

namespace figlanding {

/// Identifies a command to a server: the grant of the items that share one fencing token, or the
/// revocation of the items of one move.
struct ServerCommand
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0;

    auto operator<=>(const ServerCommand &) const = default;
};

/// Schedules commands to servers and resends them until they are acknowledged.
class CommandTracker
{
public:
    /// @param retryInterval time after which an unacknowledged command is resent
    explicit CommandTracker(milliseconds retryInterval);

    /// Replaces the set of commands. A command that remains keeps its acknowledgement unless it
    /// gained items.
    auto setCommands(std::map<ServerCommand, MovingItems> &&commands) -> void;
    /// Handles an acknowledgement; ignored if @p command is no longer in the set.
    auto onAcknowledged(const ServerCommand &command) -> void;
    /// Discards the acknowledgements of a server that restarted and lost its state.
    auto resetAcknowledgements(const BackendServerId &server) -> void;
    /// Returns whether @p command has been acknowledged.
    [[nodiscard]] auto isAcknowledged(const ServerCommand &command) const -> bool;
    /// Returns at most @p limit commands to send now and records @p now as their time of sending.
    [[nodiscard]] auto due(TimePoint now, std::size_t limit)
        -> std::vector<std::pair<ServerCommand, MovingItems>>;

private:
    struct Status
    {
        MovingItems items;
        bool acknowledged = false;
        std::optional<TimePoint> sentAt;
    };

    milliseconds m_retryInterval;
    std::map<ServerCommand, Status> m_commands;
};

/// Returns the grants that the committed assignments of @p state call for: one for each server
/// that checks fences and is up, service and fence. Shards that are moving are left out.
[[nodiscard]] auto requiredGrants(const ClusterState &state)
    -> std::map<ServerCommand, MovingItems>;

/// Returns whether @p server is declared to check fences.
[[nodiscard]] auto checksFence(const ClusterState &state, const BackendServerId &server) -> bool;

/// Returns whether @p server is not marked as down.
[[nodiscard]] auto isUp(const ClusterState &state, const BackendServerId &server) -> bool;

} // namespace figlanding
