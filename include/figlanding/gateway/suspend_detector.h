#pragma once

#include "figlanding/clock.h"

#include <optional>

/// @file
/// Detects that the VM was suspended: the steady clock stops during a suspension, while the boot
/// clock continues.

namespace figlanding {

/// Detects a suspension from a change of the offset between the two clocks.
class SuspendDetector
{
public:
    /// Returns how long the VM was suspended since the last call; zero if it was not, and on the
    /// first call.
    /// @param sinceBoot time since the machine's boot, including suspended time
    /// @param steadyNow reading of the steady clock at the same time
    [[nodiscard]] auto suspendedFor(Duration sinceBoot, TimePoint steadyNow) -> Duration;

private:
    std::optional<Duration> m_offset; ///< boot clock minus steady clock at the last call
};

} // namespace figlanding
