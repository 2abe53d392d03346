#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// @file
/// Request counts by key: those of this VM, and the sums over all VMs that the controller uses.

namespace figlanding {

/// Request counts of this VM since its last report, and decaying sums of the reports of all VMs.
class KeyLoads
{
public:
    /// Counts a request that this VM received.
    auto count(const ServiceId &service, ShardKey key) -> void;
    /// Returns the counts since the last call, and resets them.
    [[nodiscard]] auto takeCounts() -> std::vector<KeyCount>;
    /// Adds the report of a VM to the sums.
    auto add(const WorkReport &report) -> void;
    /// Decays the sums exponentially, so that planning follows hot keys but not noise.
    auto decay(TimePoint now) -> void;

    /// Returns the sums by service and key, in requests.
    [[nodiscard]] auto loads() const -> const std::map<ServiceId, std::vector<float>> &
    {
        return m_loads;
    }
    /// Returns the last reported service time of each server.
    [[nodiscard]] auto serviceTimes() const -> const std::map<BackendServerId, milliseconds> &
    {
        return m_serviceTimes;
    }

private:
    std::map<std::pair<ServiceId, ShardKey>, std::uint32_t> m_counts;
    std::map<ServiceId, std::vector<float>> m_loads;
    std::map<BackendServerId, milliseconds> m_serviceTimes;
    TimePoint m_decayedAt;
};

} // namespace figlanding
