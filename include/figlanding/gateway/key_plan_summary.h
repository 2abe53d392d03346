#pragma once

#include "figlanding/gateway/key_ownership.h"

#include <cstdint>
#include <span>

/// @file
/// What a plan of moves is expected to change, for logs and metrics.

namespace figlanding {

/// Expected mean waits for a slot in one placement of the keys.
struct PlacementWaits
{
    double meanMs = 0.0; ///< over all requests
    double longestMs = 0.0; ///< at the server with the longest wait

    auto operator==(const PlacementWaits &) const -> bool = default;
};

/// A plan, and the waits with and without it.
struct KeyPlanSummary
{
    std::size_t servers = 0; ///< that may own keys
    std::size_t ranges = 0; ///< without the plan
    double requests = 0.0; ///< expected load, as counted within about two seconds
    std::size_t moves = 0;
    std::uint32_t keys = 0; ///< that change their owner
    PlacementWaits before;
    PlacementWaits after;

    auto operator==(const KeyPlanSummary &) const -> bool = default;
};

/// Returns the summary of a plan.
/// @param table before the plan
[[nodiscard]] auto summarise(const OwnershipTable &table, std::span<const PlannedMove> moves,
                             std::span<const OwnerCandidate> candidates,
                             std::span<const float> loads, const KeyPlanOptions &options)
    -> KeyPlanSummary;

} // namespace figlanding
