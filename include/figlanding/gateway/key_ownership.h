#pragma once

#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// @file
/// Which server owns which range of a service's keys, and how ranges should move.

namespace figlanding {

/// A key of a keyed service.
using ShardKey = std::uint32_t;
/// Number of keys of a keyed service.
inline constexpr ShardKey shardKeyCount = 65'536;

/// Keys from @ref from to @ref to, both included.
struct KeyRange
{
    ShardKey from = 0;
    ShardKey to = 0;

    /// Returns the number of keys.
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return to - from + 1;
    }
    /// Returns whether all keys of @p other are among these.
    [[nodiscard]] auto contains(const KeyRange &other) const -> bool
    {
        return other.from >= from && other.to <= to;
    }
    auto operator<=>(const KeyRange &) const = default;
};

/// One life of a server.
struct ServerLife
{
    BackendServerId server;
    std::int64_t bornUnixMs = 0;

    auto operator<=>(const ServerLife &) const = default;
};

/// A range and its owner.
struct OwnedRange
{
    KeyRange keys;
    ServerLife owner; ///< empty if nobody owns the range
    FencingToken fence = 0; ///< of the last grant when the table was made
    std::string handOver; ///< token of the previous owner, empty if there is none

    auto operator==(const OwnedRange &) const -> bool = default;
};

/// All ranges of one service, in order of their keys, without gaps or overlaps.
struct OwnershipTable
{
    std::vector<OwnedRange> ranges;

    auto operator==(const OwnershipTable &) const -> bool = default;
};

/// Returns a table in which nobody owns anything.
[[nodiscard]] auto unownedTable() -> OwnershipTable;
/// Returns the range that contains @p key, or null if the table is empty.
[[nodiscard]] auto findRange(const OwnershipTable &table, ShardKey key) -> const OwnedRange *;
/// Returns whether the ranges cover all keys in order, without gaps or overlaps.
[[nodiscard]] auto isComplete(const OwnershipTable &table) -> bool;
/// Splits ranges so that @p keys begins and ends at range ends.
[[nodiscard]] auto splitAround(const OwnershipTable &table, const KeyRange &keys) -> OwnershipTable;

/// A server that may own keys.
struct OwnerCandidate
{
    ServerLife life;
    double capacity = 1.0; ///< requests per second that it bears, relative to others
    bool cold = false; ///< gets keys only if there are no warm servers

    auto operator==(const OwnerCandidate &) const -> bool = default;
};

/// A range that should have another owner.
struct PlannedMove
{
    KeyRange keys;
    ServerLife to;

    auto operator==(const PlannedMove &) const -> bool = default;
};

/// Settings of the planner.
struct KeyPlanOptions
{
    double baseLoadPerKey = 1e-4; ///< load that a key has without requests; spreads idle keys
    double tolerance = 1.35; ///< load above this multiple of a server's fair share is moved
    /// Standard deviations of its fair share by which a server must be above it: loads are counts
    /// of a few seconds, and what chance makes of them is not worth a move.
    double significance = 3.0;
    /// Load for its capacity below which a server is left as it is: moves cost more than they
    /// bring.
    double busyLoad = 5.0;
    double idlePart = 0.3; ///< a server below this part of its fair share gets keys in any case
    double leastGain = 0.15; ///< part of the wanted load that a move must bring
    /// Ranges for each server beyond which crumbs are joined to their neighbours: each range is a
    /// call for each renewal and a row of every record.
    double rangesPerServer = 1.5;
    double mostRangesPerServer = 3.0; ///< beyond which no range is split any more
    double crumb = 0.1; ///< part of its fair share that a server gets with one join
    std::uint32_t fewestMoves = 8; ///< that one plan may have, of a small fleet
    double movesPerServer = 0.25; ///< that one plan may have, of a large fleet

    auto operator==(const KeyPlanOptions &) const -> bool = default;
};

/// Returns the table after a move.
[[nodiscard]] auto withMove(OwnershipTable table, const PlannedMove &move) -> OwnershipTable;
/// Returns how many ranges may move at a time between so many servers.
[[nodiscard]] auto maxMoves(std::size_t servers, const KeyPlanOptions &options) -> std::size_t;

/// Gives ranges without an owner to the candidates with the least load for their capacity.
/// @param loads load by key; empty, or shardKeyCount values
[[nodiscard]] auto planUnowned(const OwnershipTable &table,
                               std::span<const OwnerCandidate> candidates,
                               std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>;

/// Moves keys from servers that are far above their fair share to those far below it.
///
/// Answers a few hot keys, near each other, that together exceed one server: the shortest run of
/// keys with the wanted load moves, so that hot keys move apart and few keys change hands.
[[nodiscard]] auto planRebalance(const OwnershipTable &table,
                                 std::span<const OwnerCandidate> candidates,
                                 std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>;

/// Gives lightly used ranges to the owner of a neighbouring range, where the table has many.
///
/// Answers hot keys that wander: each time they are spread over servers, the ranges around them are
/// split, and nothing else would make them fewer again.
/// @param most number of moves at the most
[[nodiscard]] auto planJoins(const OwnershipTable &table,
                             std::span<const OwnerCandidate> candidates,
                             std::span<const float> loads, const KeyPlanOptions &options,
                             std::size_t most) -> std::vector<PlannedMove>;

} // namespace figlanding
