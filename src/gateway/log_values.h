#pragma once

#include "figlanding/clock.h"

#include <cstdint>

/// @file
/// Values of log fields.

namespace figlanding {

/// Returns a duration in whole milliseconds, rounded towards zero.
[[nodiscard]] inline auto toMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace figlanding
