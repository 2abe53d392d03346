#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"

#include <string>
#include <string_view>

/// @file
/// Durations as text: a number and its unit, such as "1500ms" or "2.5s".

namespace figlanding {

/// Parses a non-negative duration, rounded to milliseconds.
/// @return InvalidSyntax if @p text is not a number with the unit "ms" or "s", or if it is negative
///     or more than 1e12 ms
[[nodiscard]] auto parseDuration(std::string_view text) -> Result<milliseconds>;
/// Formats a duration in whole milliseconds, such as "1500ms".
[[nodiscard]] auto toDurationText(milliseconds duration) -> std::string;

} // namespace figlanding
