#pragma once

#include "figlanding/clock.h"

/// @file
/// Spans of time as numbers, for averages, rates and shares.

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

/// Returns the span of @p count milliseconds.
[[nodiscard]] inline auto fromMilliseconds(double count) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

} // namespace figlanding
