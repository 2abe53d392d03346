#pragma once

#include "figlanding/clock.h"

#include <array>
#include <cstdint>
#include <optional>

/// @file
/// Quantiles of recent latencies in constant memory.

namespace figlanding {

/// Histogram of the latencies of the last one to two periods. The buckets are logarithmic, each
/// about 9 % wide.
class LatencyWindow
{
public:
    /// @param period time after which the current histogram replaces the previous one
    explicit LatencyWindow(Duration period);

    /// Records one latency.
    void add(Duration latency, TimePoint now);
    /// Returns the upper bound of the bucket that contains a quantile.
    /// @param quantile from 0 to 1
    /// @return nothing if there are fewer than @p minSamples samples
    [[nodiscard]] auto quantile(double quantile, std::uint64_t minSamples) const
        -> std::optional<Duration>;

private:
    static constexpr std::size_t bucketCount = 184; ///< covers 10 us to about 80 s
    using Counts = std::array<std::uint64_t, bucketCount>;

    void rotate(TimePoint now);

    Duration m_period;
    TimePoint m_rotatedAt{};
    Counts m_current{};
    Counts m_previous{};
};

} // namespace figlanding
