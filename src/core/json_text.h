#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

/// @file
/// JSON with texts that other programs have written.

namespace figlanding {

/// U+FFFD in UTF-8: stands for bytes that are none.
inline constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

/// Parses a JSON text. If it is malformed as it is, its bytes that are no UTF-8 count as U+FFFD, so
/// that a name of another writer spoils nothing else of the text.
/// @return the value; discarded if the text is malformed
[[nodiscard]] auto parseJsonText(std::string_view text) -> nlohmann::json;

/// Returns whether a text can be written as a JSON string.
[[nodiscard]] auto isUtf8(std::string_view text) -> bool;

} // namespace figlanding
