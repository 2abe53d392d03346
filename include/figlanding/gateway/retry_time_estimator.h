#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/names.h"

#include <map>

/// @file
/// Estimates how long a caller has been retrying.
///
/// Callers retry after a refusal. Their latency objective counts from their
/// first attempt, so a returning request must not take the slot of one that can still be on time.
/// The callers of a route are assumed to start with the same deadline. A request with a shorter
/// deadline than the longest one seen on its route has spent the difference on earlier attempts.

namespace figlanding {

/// Learns the full deadline of each route's callers: the longest one seen so far.
class RetryTimeEstimator
{
public:
    /// Returns the estimated time that the caller has spent on earlier attempts; zero if the
    /// request has no deadline.
    [[nodiscard]] auto timeSpent(const RouteId &route, const CallerRequest &request)
        -> milliseconds;

private:
    std::map<RouteId, milliseconds> m_fullDeadlines;
};

} // namespace figlanding
