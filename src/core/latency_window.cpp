#include "figlanding/latency_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figlanding {

namespace {

constexpr auto smallestLatency = microseconds(10);
constexpr auto bucketsPerDoubling = 8.0;

auto bucketOf(Duration latency, std::size_t bucketCount) -> std::size_t
{
    const auto ratio = static_cast<double>(latency.count())
        / static_cast<double>(Duration(smallestLatency).count());
    if (ratio <= 1.0) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(std::log2(ratio) * bucketsPerDoubling));
    return std::min(index, bucketCount - 1);
}

auto upperBound(std::size_t bucket) -> Duration
{
    const auto factor = std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(smallestLatency * factor);
}

} // namespace

LatencyWindow::LatencyWindow(Duration period)
    : m_period(period)
{ }

void LatencyWindow::rotate(TimePoint now)
{
    if (now - m_rotatedAt < m_period) {
        return;
    }
    const auto skipped = now - m_rotatedAt >= 2 * m_period;
    m_previous = skipped ? Counts{} : m_current;
    m_current = Counts{};
    m_rotatedAt = now;
}

void LatencyWindow::add(Duration latency, TimePoint now)
{
    rotate(now);
    ++m_current[bucketOf(latency, bucketCount)];
}

auto LatencyWindow::quantile(double quantile, std::uint64_t minSamples) const
    -> std::optional<Duration>
{
    const auto total = std::accumulate(m_current.begin(), m_current.end(), std::uint64_t{0})
        + std::accumulate(m_previous.begin(), m_previous.end(), std::uint64_t{0});
    if (total == 0 || total < minSamples) {
        return std::nullopt;
    }
    const auto rank = std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(total));
    auto seen = std::uint64_t{0};
    for (auto bucket = std::size_t{0}; bucket < bucketCount; ++bucket) {
        seen += m_current[bucket] + m_previous[bucket];
        if (seen > 0 && static_cast<double>(seen) >= rank) {
            return upperBound(bucket);
        }
    }
    return upperBound(bucketCount - 1);
}

} // namespace figlanding
