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
/// How often each key is asked for: what a VM counts, and what the controller knows of all VMs.

namespace figlanding {

/// Counts of this VM since its last report, and decaying sums of all VMs' reports.
class KeyLoads
{
public:
    /// Counts a request of this VM.
    auto count(const ServiceId &service, ShardKey key) -> void;
    /// Returns the counts since the last call.
    [[nodiscard]] auto takeCounts() -> std::vector<KeyCount>;
    /// Adds a VM's report.
    auto add(const WorkReport &report) -> void;
    /// Lets the sums decay, so that planning follows hot keys but not noise.
    auto decay(TimePoint now) -> void;

    /// Returns the sums by service and key.
    [[nodiscard]] auto loads() const -> const std::map<ServiceId, std::vector<float>> &
    {
        return m_loads;
    }
    /// Returns the last reported service times.
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
