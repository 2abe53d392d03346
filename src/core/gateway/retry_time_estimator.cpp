#include "figlanding/gateway/retry_time_estimator.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace figlanding {

namespace {

constexpr std::size_t windowSize = 64; ///< number of requests
/// One in so many requests, and one more, may name a deadline that is not believed. First attempts
/// must remain more frequent than that while many callers retry.
constexpr std::size_t requestsPerOutlier = 8;

} // namespace

auto RetryTimeEstimator::timeSpent(const RouteId &route, const CallerRequest &request)
    -> milliseconds
{
    if (!request.deadline) {
        return milliseconds(0);
    }
    auto &recent = m_recent[route];
    add(recent, *request.deadline);
    const auto full = fullDeadline(recent).value_or(*request.deadline);
    return std::max(milliseconds(0), full - *request.deadline);
}

auto RetryTimeEstimator::add(RecentDeadlines &recent, milliseconds deadline) -> void
{
    if (recent.values.size() < windowSize) {
        recent.values.push_back(deadline);
        return;
    }
    recent.values[recent.next] = deadline;
    recent.next = (recent.next + 1) % windowSize;
}

// Returns nothing while every deadline may be an outlier.
auto RetryTimeEstimator::fullDeadline(const RecentDeadlines &recent) -> std::optional<milliseconds>
{
    auto sorted = recent.values;
    const auto outliers = 1 + sorted.size() / requestsPerOutlier;
    if (sorted.size() <= outliers) {
        return std::nullopt;
    }
    const auto longest = sorted.begin() + static_cast<std::ptrdiff_t>(outliers);
    std::nth_element(sorted.begin(), longest, sorted.end(), std::greater<>());
    return *longest;
}

} // namespace figlanding
