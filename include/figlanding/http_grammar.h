#pragma once

#include <optional>
#include <string_view>

/// @file
/// The grammar of an HTTP header. Recipients disagree about what lies outside of it, so nothing
/// that does may be passed on.

namespace figlanding {

/// Returns whether a text can be the name of a field: one or more letters, digits and characters of
/// "!#$%&'*+-.^_`|~".
[[nodiscard]] auto isFieldName(std::string_view text) -> bool;
/// Returns whether a text can be in a header line: it has no control character but the tab.
[[nodiscard]] auto isHeaderText(std::string_view text) -> bool;
/// Parses a status code.
/// @return empty unless the text is three digits that give 100 to 599, as other codes have no class
[[nodiscard]] auto parseStatus(std::string_view text) -> std::optional<int>;

} // namespace figlanding
