#include "figlanding/gateway/suspend_detector.h"

namespace figlanding {

namespace {

constexpr milliseconds readingError{50}; ///< between the readings of the two clocks

} // namespace

auto SuspendDetector::suspendedFor(Duration sinceBoot, TimePoint steadyNow) -> Duration
{
    const auto offset = sinceBoot - steadyNow.time_since_epoch();
    const auto gained = m_offset ? offset - *m_offset : Duration::zero();
    m_offset = offset;
    return gained > readingError ? gained : Duration::zero();
}

} // namespace figlanding
