#pragma once

#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// @file
/// Ownership of key ranges by servers, and planning of moves between servers.

namespace figlanding {

/// A key of a keyed service.
using ShardKey = std::uint32_t;
/// Number of keys of a keyed service.
inline constexpr ShardKey shardKeyCount = 65'536;

/// Keys from @ref from to @ref to, both inclusive.
struct KeyRange
{
    ShardKey from = 0;
    ShardKey to = 0;

    /// Returns the number of keys.
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return to - from + 1;
    }
    /// Returns whether this range contains all keys of @p other.
    [[nodiscard]] auto contains(const KeyRange &other) const -> bool
    {
        return other.from >= from && other.to <= to;
    }
    auto operator<=>(const KeyRange &) const = default;
};

/// One run of a server process: a restart under the same name is a new incarnation.
struct ServerIncarnation
{
    BackendServerId server;
    std::int64_t startedUnixMs = 0;

    auto operator<=>(const ServerIncarnation &) const = default;
};

/// A range and its owner.
struct OwnedRange
{
    KeyRange keys;
    ServerIncarnation owner; ///< empty if nobody owns the range
    FencingToken fence = 0; ///< of the last grant before the table was recorded
    std::string handOver; ///< token of the previous owner; empty if there is none

    auto operator==(const OwnedRange &) const -> bool = default;
};

/// All ranges of one service, sorted by key, without gaps or overlaps.
struct OwnershipTable
{
    std::vector<OwnedRange> ranges;

    auto operator==(const OwnershipTable &) const -> bool = default;
};

/// Returns a table with one range of all keys that has no owner.
[[nodiscard]] auto unownedTable() -> OwnershipTable;
/// Returns the range that contains @p key, or null if the table is empty.
[[nodiscard]] auto findRange(const OwnershipTable &table, ShardKey key) -> const OwnedRange *;
/// Returns whether the ranges are sorted and cover all keys without gaps or overlaps.
[[nodiscard]] auto isComplete(const OwnershipTable &table) -> bool;
/// Splits ranges so that @p keys begins and ends at range boundaries.
[[nodiscard]] auto splitAround(const OwnershipTable &table, const KeyRange &keys) -> OwnershipTable;

/// Returns the ranges of @p next that do not occur identically in @p previous.
[[nodiscard]] auto changedRanges(const OwnershipTable &previous, const OwnershipTable &next)
    -> std::vector<OwnedRange>;
/// Returns the table after @p changes, which must be sorted: they replace all ranges that they
/// overlap. The result is the next table if @p changes are changedRanges() of the two.
[[nodiscard]] auto withChanges(const OwnershipTable &previous, std::span<const OwnedRange> changes)
    -> OwnershipTable;

/// A server that may own keys.
struct OwnerCandidate
{
    ServerIncarnation incarnation;
    double capacity = 1.0; ///< request throughput, relative to other candidates
    bool cold = false; ///< still warming up: gets keys only if all candidates are cold

    auto operator==(const OwnerCandidate &) const -> bool = default;
};

/// A range and the server that should own it.
struct PlannedMove
{
    KeyRange keys;
    ServerIncarnation to;

    auto operator==(const PlannedMove &) const -> bool = default;
};

/// Settings of the planner.
struct KeyPlanOptions
{
    double baseLoadPerKey = 1e-4; ///< load of a key without requests; spreads idle keys evenly
    double tolerance = 1.35; ///< a server above this multiple of its fair share is overloaded
    /// Standard deviations by which the load of a server must exceed its fair share. Loads are
    /// counts over a few seconds, and random variation is not worth a move.
    double significance = 3.0;
    /// Load per capacity below which no load is moved away from a server, as a move costs more than
    /// it gains.
    double minBusyLoad = 5.0;
    /// Load per capacity at which a server has no free slot: in the two seconds over which requests
    /// are counted, a slot runs about 13 requests of 150 ms, the unit of capacity. A key that
    /// brings any server above it stays where it is: it would move again and again, and nobody
    /// could serve it meanwhile.
    double saturatedLoad = 13.3;
    /// A server below this fraction of its fair share of the load, and of the number of keys,
    /// always gets keys: it has just joined.
    double idleShare = 0.3;
    double minGain = 0.15; ///< fraction of the wanted load that a move must transfer
    /// Ranges per server above which small ranges are merged with their neighbours. Each range
    /// costs a call per renewal and a row in every record.
    double targetRangesPerServer = 1.5;
    double maxRangesPerServer = 3.0; ///< above this only whole ranges move
    /// Largest load and number of keys to merge, as a fraction of the fair share.
    double smallRangeShare = 0.1;
    std::uint32_t minMoveLimit = 8; ///< limit of moves per plan in a small fleet
    double movesPerServer = 0.25; ///< limit of moves per plan and server in a large fleet

    auto operator==(const KeyPlanOptions &) const -> bool = default;
};

/// Whether a plan may divide ranges, or moves whole ranges only.
enum class RangeSplits { Allowed, Forbidden };

/// Returns the table after a move.
[[nodiscard]] auto withMove(OwnershipTable table, const PlannedMove &move) -> OwnershipTable;
/// Returns how many ranges may move at the same time in a fleet of @p servers.
[[nodiscard]] auto maxMoves(std::size_t servers, const KeyPlanOptions &options) -> std::size_t;

/// Assigns ranges without an owner to the candidates with the lowest load per capacity.
/// @param loads load by key; empty, or shardKeyCount values
[[nodiscard]] auto planUnowned(const OwnershipTable &table,
                               std::span<const OwnerCandidate> candidates,
                               std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>;

/// Plans moves from servers far above their fair share of the load to those below it.
///
/// Handles a few hot keys, close to each other, that together exceed the capacity of one server:
/// the shortest run of keys with the wanted load is moved. This separates the hot keys and changes
/// the owner of few keys.
/// @param splits Forbidden for a table that must not get longer
[[nodiscard]] auto planRebalance(const OwnershipTable &table,
                                 std::span<const OwnerCandidate> candidates,
                                 std::span<const float> loads, const KeyPlanOptions &options,
                                 RangeSplits splits = RangeSplits::Allowed)
    -> std::vector<PlannedMove>;

/// Plans moves of lightly loaded, narrow ranges to the owner of an adjacent range if the table has
/// too many ranges.
///
/// Handles hot keys that change over time: spreading them over servers splits ranges, and only
/// these moves reduce the number of ranges again. Wide ranges are not merged: their keys would be
/// without an owner during the move, and their owner would be left with few keys.
/// @param maxCount maximum number of moves
[[nodiscard]] auto planMerges(const OwnershipTable &table,
                              std::span<const OwnerCandidate> candidates,
                              std::span<const float> loads, const KeyPlanOptions &options,
                              std::size_t maxCount) -> std::vector<PlannedMove>;

} // namespace figlanding
