#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/names.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Estimates how long a caller has been retrying.
///
/// Callers retry after a refusal. Their latency objective counts from their
/// first attempt, so a returning request must not take the slot of one that can still be on time.
/// The callers of a route are assumed to start with the same deadline. A request with a shorter
/// deadline has spent the difference on earlier attempts. A few callers that name a longer deadline
/// than the others do not change what is assumed of those.

namespace figlanding {

/// Learns the full deadline of each route's callers: the longest one of the route's last requests
/// that is not named by a few of them alone.
class RetryTimeEstimator
{
public:
    /// Returns the estimated time that the caller has spent on earlier attempts; zero if the
    /// request has no deadline.
    [[nodiscard]] auto timeSpent(const RouteId &route, const CallerRequest &request)
        -> milliseconds;

private:
    /// The deadlines of the last requests of a route.
    struct RecentDeadlines
    {
        std::vector<milliseconds> values;
        std::size_t next = 0; ///< position of the oldest value once the window is full
    };

    static auto add(RecentDeadlines &recent, milliseconds deadline) -> void;
    static auto fullDeadline(const RecentDeadlines &recent) -> std::optional<milliseconds>;

    std::map<RouteId, RecentDeadlines> m_recent;
};

} // namespace figlanding
