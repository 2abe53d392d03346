#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/names.h"

#include <map>

/// @file
/// How long a caller has been trying already.
///
/// Answers callers that come back after a refusal: their latency objective counts from their
/// first attempt, so a returning request must not take the slot of one that can still be on time.
/// The callers of a route give themselves the same time; one that will wait less than the longest
/// has spent the difference.

namespace figlanding {

/// Learns the full deadline of each route's callers.
class CallerPatience
{
public:
    /// Returns the time that the caller has spent on earlier attempts.
    [[nodiscard]] auto spent(const RouteId &route, const CallerRequest &request) -> milliseconds;

private:
    std::map<RouteId, milliseconds> m_fullDeadlines;
};

} // namespace figlanding
