#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"

#include <string>
#include <string_view>

/// @file
/// Spans of time as text: a number and its unit, such as "1500ms" or "2.5s".

namespace figlanding {

/// Parses a span that is not negative.
/// @return InvalidSyntax if @p text is no number with the unit "ms" or "s"
[[nodiscard]] auto parseSpan(std::string_view text) -> Result<milliseconds>;
/// Returns @p span in whole milliseconds, such as "1500ms".
[[nodiscard]] auto toSpanText(milliseconds span) -> std::string;

} // namespace figlanding
