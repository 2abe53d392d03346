#include "figlanding/gateway/suspend_detector.h"

namespace figlanding {

namespace {

constexpr milliseconds clockReadTolerance{50}; ///< the two clocks are not read at the same instant

} // namespace

auto SuspendDetector::suspendedFor(Duration sinceBoot, TimePoint steadyNow) -> Duration
{
    const auto offset = sinceBoot - steadyNow.time_since_epoch();
    const auto gained = m_offset ? offset - *m_offset : Duration::zero();
    m_offset = offset;
    return gained > clockReadTolerance ? gained : Duration::zero();
}

} // namespace figlanding
