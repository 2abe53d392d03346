#include "gateway/suspension_watch.h"

#include "gateway/log_values.h"
#include "io/log.h"

#include <chrono>
#include <ctime>

namespace figlanding {

auto SuspensionWatch::check() -> bool
{
    auto sinceBoot = timespec{};
    ::clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    const auto suspended = m_detector.suspendedFor(
        seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec),
        MonotonicClock::now());
    if (suspended == Duration::zero()) {
        return false;
    }
    const auto ms = toMs(suspended);
    logEvent(LogLevel::Warning, "suspended", {{"ms", ms}});
    return true;
}

} // namespace figlanding
