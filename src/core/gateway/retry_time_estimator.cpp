#include "figlanding/gateway/retry_time_estimator.h"

#include <algorithm>

namespace figlanding {

auto RetryTimeEstimator::timeSpent(const RouteId &route, const CallerRequest &request)
    -> milliseconds
{
    if (!request.deadline) {
        return milliseconds(0);
    }
    auto &full = m_fullDeadlines[route];
    full = std::max(full, *request.deadline);
    return full - *request.deadline;
}

} // namespace figlanding
