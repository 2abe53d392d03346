#pragma once

#include "figlanding/clock.h"

#include <optional>

/// @file
/// Notices that the VM was suspended: the steady clock stands still then, the boot clock goes on.

namespace figlanding {

/// Compares two clocks between calls.
class SuspendDetector
{
public:
    /// Returns how long the VM was suspended since the last call; zero if it was not.
    /// @param sinceBoot time since the machine's boot, with suspended time
    [[nodiscard]] auto suspendedFor(Duration sinceBoot, TimePoint steadyNow) -> Duration;

private:
    std::optional<Duration> m_offset; ///< between the two clocks
};

} // namespace figlanding
