#pragma once

#include "figlanding/gateway/suspend_detector.h"

/// @file
/// Watches for suspensions of this VM, by the clocks of the system.

namespace figlanding {

/// Compares the clock that goes on during a suspension with the one that does not.
class SuspensionWatch
{
public:
    /// Returns whether the VM was suspended since the last call, and logs it.
    [[nodiscard]] auto check() -> bool;

private:
    SuspendDetector m_detector;
};

} // namespace figlanding
