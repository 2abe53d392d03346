#pragma once

#include "figlanding/gateway/key_controller.h"

#include <map>
#include <vector>

/// @file
/// A server of the simulation of KeyController: owns keys under leases and checks fences.

namespace figlanding::tests {

/// Number of keys whose owners the simulation follows.
inline constexpr unsigned sampledKeys = 64;

/// Returns the key that the simulation follows at @p index.
[[nodiscard]] constexpr auto sampledKey(unsigned index) -> ShardKey
{
    return index * (shardKeyCount / sampledKeys);
}

[[nodiscard]] constexpr auto containsKey(const KeyRange &keys, ShardKey key) -> bool
{
    return key >= keys.from && key <= keys.to;
}

/// A range that a server holds until its lease ends.
struct HeldRange
{
    KeyRange keys;
    FencingToken fence = 0;
    TimePoint until;
};

/// A server and the faults that it suffers at present.
struct SimulatedServer
{
    ServerIncarnation incarnation;
    SocketAddress address;
    bool up = true;
    TimePoint upAt; ///< time of the next start if it is down
    TimePoint announcesAt; ///< first announcement after a start or a cut
    TimePoint unreachableUntil; ///< commands do not reach it
    TimePoint refusesUntil; ///< end of a cut that refuses connections
    std::vector<HeldRange> holds;
    std::map<ShardKey, FencingToken> highestFences; ///< by sampled key

    [[nodiscard]] auto refusesConnections(TimePoint now) const -> bool;
    /// Returns whether it may run requests for a key.
    [[nodiscard]] auto owns(ShardKey key, TimePoint now) const -> bool;
    /// Takes a grant.
    /// @param until end of the lease
    /// @return Accepted, or Refused if it has seen a higher fence on one of the keys
    auto grant(const GrantCommand &command, TimePoint until) -> CommandOutcome;
    /// Gives up a range, or the part of one.
    auto release(const KeyRange &keys) -> void;
    /// Ends its process, which loses leases and fences.
    /// @param restartsAt when another incarnation starts
    auto crash(TimePoint restartsAt) -> void;
};

} // namespace figlanding::tests
