#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/move_progress.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Remembers which orders to servers that check fences are acknowledged.

namespace figlanding {

/// Identifies an order to a server: a grant of the shards with one fence, or the revocation of the
/// shards of one move.
struct ServerOrder
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0;

    auto operator<=>(const ServerOrder &) const = default;
};

/// Repeats orders to servers until they are acknowledged.
class OrderTracker
{
public:
    /// @param repeatAfter time without acknowledgement after which an order is sent again
    explicit OrderTracker(milliseconds repeatAfter);

    /// Replaces the orders that stand; acknowledgements of orders that remain are kept.
    auto setOrders(std::map<ServerOrder, MovingItems> &&orders) -> void;
    /// Takes an acknowledgement.
    auto onAcknowledged(const ServerOrder &order) -> void;
    /// Forgets the acknowledgements of a server that lost its memory.
    auto forget(const BackendServerId &server) -> void;
    /// Returns whether @p order is acknowledged.
    [[nodiscard]] auto isAcknowledged(const ServerOrder &order) const -> bool;
    /// Returns the orders to send now, at most @p limit, and notes that they were sent.
    [[nodiscard]] auto due(TimePoint now, std::size_t limit)
        -> std::vector<std::pair<ServerOrder, MovingItems>>;

private:
    struct Status
    {
        MovingItems items;
        bool acknowledged = false;
        std::optional<TimePoint> sentAt;
    };

    milliseconds m_repeatAfter;
    std::map<ServerOrder, Status> m_orders;
};

/// Returns the grants that the committed assignments of @p state call for: one for each server
/// that checks fences and is up, service and fence. Shards that are moving are left out.
[[nodiscard]] auto grantsOf(const ClusterState &state) -> std::map<ServerOrder, MovingItems>;

/// Returns whether @p server is declared to check fences.
[[nodiscard]] auto checksFence(const ClusterState &state, const BackendServerId &server) -> bool;

/// Returns whether @p server is not marked as down.
[[nodiscard]] auto isUp(const ClusterState &state, const BackendServerId &server) -> bool;

} // namespace figlanding
