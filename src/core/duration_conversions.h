#pragma once

#include "figlanding/clock.h"

/// @file
/// Conversions between durations and floating-point numbers.

namespace figlanding {

/// Returns @p span in seconds.
[[nodiscard]] inline auto toSeconds(Duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

/// Returns @p span in milliseconds.
[[nodiscard]] inline auto toMilliseconds(Duration span) -> double
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Returns a duration of @p count milliseconds, truncated to the resolution of Duration.
[[nodiscard]] inline auto fromMilliseconds(double count) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

} // namespace figlanding
