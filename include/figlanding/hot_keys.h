#pragma once

#include "figlanding/clock.h"
#include "figlanding/cluster_state.h"
#include "figlanding/record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// @file
/// Finds the most requested keys of a service and decides which of them to isolate from their
/// shard.

namespace figlanding {

/// A key with an upper and a lower bound of its count.
struct KeyCount
{
    std::string key;
    std::uint64_t count = 0; ///< upper bound of the true count
    std::uint64_t error = 0; ///< count - error is a lower bound of the true count

    auto operator==(const KeyCount &) const -> bool = default;
};

/// Number of hot keys that a VM reports for each service.
inline constexpr std::size_t reportedHotKeys = 45;

/// Space-Saving sketch: counts the most frequent keys of a stream in bounded memory. A key whose
/// true count exceeds the total count divided by the capacity always has a counter.
class HeavyHitters
{
public:
    /// @param capacity maximum number of counters; 0 is treated as 1
    explicit HeavyHitters(std::size_t capacity = 4 * reportedHotKeys);

    /// Counts one request for @p key.
    auto add(std::string_view key) -> void;
    /// Returns at most @p limit keys with the highest counts, highest first.
    [[nodiscard]] auto top(std::size_t limit = reportedHotKeys) const -> std::vector<KeyCount>;
    /// Halves all counts, for exponential decay. Counters that reach zero are dropped.
    auto halve() -> void;
    /// Returns the number of counted requests, as reduced by halve().
    [[nodiscard]] auto total() const -> std::uint64_t
    {
        return m_total;
    }

private:
    struct Counter
    {
        std::uint64_t count = 0;
        std::uint64_t error = 0;
    };

    auto replaceLeastFrequent(const std::string &key) -> void;

    std::size_t m_capacity;
    std::uint64_t m_total = 0;
    std::unordered_map<std::string, Counter> m_counters;
    std::set<std::pair<std::uint64_t, std::string>> m_byCount; ///< index of m_counters
};

/// Request rates of one service over all VMs in the last interval.
struct ServiceLoad
{
    std::map<BackendServerId, double> servers; ///< requests per second by owning server
    std::map<std::string, double> keys; ///< requests per second of the hottest keys

    auto operator==(const ServiceLoad &) const -> bool = default;
};

/// Settings of HotKeyPolicy. Loads are relative to the mean load of the eligible servers.
struct HotKeyOptions
{
    double isolationThreshold = 0.2; ///< a key with at least this load is hot
    double mergeThreshold = 0.05; ///< an isolated key with less than this load is cold
    double overloadThreshold = 1.15; ///< keys move away from a server with more load
    /// Fraction by which a move must reduce the higher of the loads of its two servers.
    double minImprovement = 0.05;
    /// Mean load per server below which no key is isolated or moved off an overloaded server.
    double minRequestsPerSecond = 10;
    milliseconds isolationDelay{10000}; ///< time for which a key must stay hot to be isolated
    milliseconds mergeDelay{120000}; ///< time for which a key must stay cold to be merged
    milliseconds minMoveInterval{30000}; ///< minimum time between two moves of a key
};

/// Decisions of HotKeyPolicy on the keys of one service.
struct HotKeyDecisions
{
    std::vector<KeyIsolation> isolations; ///< records without their term
    std::vector<Move> moves;

    auto operator==(const HotKeyDecisions &) const -> bool = default;
};

/// Decides which keys of one service are isolated, and which servers own the isolated keys.
///
/// A key that stays hot for isolationDelay is isolated at its current owner. Isolated keys move
/// from overloaded servers to the least loaded ones. A key that stays cold for mergeDelay moves
/// back to the owner of its shard and is then merged into the shard, unless it is declared as a
/// RoutingKey.
class HotKeyPolicy
{
public:
    explicit HotKeyPolicy(HotKeyOptions options = {});

    /// @param load request rates since the last call
    /// @return decisions that can be carried out now
    [[nodiscard]] auto decide(const ClusterState &state, const Service &service,
                              const ServiceLoad &load, TimePoint now) -> HotKeyDecisions;

private:
    struct Evaluation;

    auto isolateHotKeys(Evaluation &evaluation) -> void;
    auto mergeColdKeys(Evaluation &evaluation) -> void;
    auto moveHotKeys(Evaluation &evaluation) -> void;
    [[nodiscard]] auto mayMove(const std::string &key, TimePoint now) const -> bool;

    HotKeyOptions m_options;
    std::map<std::string, TimePoint> m_hotSince; ///< by key
    std::map<std::string, TimePoint> m_coldSince; ///< by isolated key
    std::map<std::string, TimePoint> m_movedAt; ///< last move, by key
};

} // namespace figlanding
