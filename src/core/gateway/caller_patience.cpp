#include "figlanding/gateway/caller_patience.h"

#include <algorithm>

namespace figlanding {

auto CallerPatience::spent(const RouteId &route, const CallerRequest &request) -> milliseconds
{
    if (!request.deadline) {
        return milliseconds(0);
    }
    auto &full = m_fullDeadlines[route];
    full = std::max(full, *request.deadline);
    return full - *request.deadline;
}

} // namespace figlanding
