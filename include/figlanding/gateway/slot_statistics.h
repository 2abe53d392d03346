#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/decline_rest.h"

#include <cstdint>
#include <map>

/// @file
/// Sums of what a SlotBroker decided, for logs and metrics.

namespace figlanding {

/// The decisions of a SlotBroker in some time.
struct SlotStatistics
{
    std::uint64_t granted = 0; ///< requests that got a slot
    std::uint64_t refused = 0; ///< requests for which no slot was expected in time
    Duration expectedWait{}; ///< of the granted requests together, as expected on arrival
    Duration actualWait{}; ///< of the granted requests together
    std::map<RejectionKind, std::uint64_t> rejections; ///< by servers
    Duration rest{}; ///< of all servers together after their rejections

    auto operator==(const SlotStatistics &) const -> bool = default;
};

/// Adds the decisions of another broker.
auto add(SlotStatistics &to, const SlotStatistics &other) -> void;

} // namespace figlanding
