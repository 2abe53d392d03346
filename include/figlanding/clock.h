#pragma once

#include <chrono>

/// @file
/// Time types. The decision logic takes the current time as a parameter and never reads a clock.

namespace figlanding {

/// Monotonic clock. Its times are not comparable between VMs.
using MonotonicClock = std::chrono::steady_clock;
/// A point in time on this VM's monotonic clock.
using TimePoint = MonotonicClock::time_point;
/// A time interval.
using Duration = MonotonicClock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace figlanding
