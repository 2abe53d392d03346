#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

/// @file
/// Estimates of the loads of keys and of the service times of servers, over several seconds.

namespace figlanding {

/// Load of a key, in requests that decay within two seconds, from which on it is hot: its recent
/// load says more than its average.
inline constexpr float hotKeyLoad = 1.2F;
/// Variance of the expected load of keys that are not hot, divided by that load. It is an average
/// over 6 s of counts that decay within 2 s, whose own variance is half of the counts.
inline constexpr double steadyLoadVariance = 0.125;

/// Expected loads of keys: the recent load of a hot key, and the average over some seconds of any
/// other.
///
/// Few requests a second arrive at each server, so that its count over two seconds varies more at
/// random than by the keys that it owns. Hot keys rise above chance within a second.
class SteadyLoads
{
public:
    /// Adds the recent load of each key. What the recent total exceeds the averages by, as when
    /// load rises everywhere or little is known yet, is spread evenly over keys that are not hot.
    /// @param recent in requests, decaying; always of the same size
    auto update(std::span<const float> recent, TimePoint now) -> void;
    /// Returns the expected loads, in the unit of the recent ones; empty before the first update.
    [[nodiscard]] auto expected() const -> const std::vector<float> &
    {
        return m_expected;
    }

private:
    std::vector<float> m_averages;
    std::vector<float> m_expected;
    std::optional<TimePoint> m_updatedAt;
};

/// Averages of the service times that VMs report for servers.
///
/// A first report may be that of a single response. Averages therefore begin at the median of the
/// servers known before, and approach what is reported within some seconds.
class SteadyServiceTimes
{
public:
    /// Sets the last reported times.
    auto update(const std::map<BackendServerId, milliseconds> &reported, TimePoint now) -> void;
    /// Returns the averages by server.
    [[nodiscard]] auto averages() const -> const std::map<BackendServerId, milliseconds> &
    {
        return m_averages;
    }

private:
    std::map<BackendServerId, double> m_values; ///< in milliseconds
    std::map<BackendServerId, milliseconds> m_averages;
    std::optional<TimePoint> m_updatedAt;
};

} // namespace figlanding
