#pragma once

#include <string>
#include <string_view>

/// @file
/// Formatting of error and audit texts.

namespace figlanding {

/// Returns @p text in double quotes, without escaping.
[[nodiscard]] auto quoted(std::string_view text) -> std::string;

} // namespace figlanding
