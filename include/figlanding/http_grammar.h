#pragma once

#include <string_view>

/// @file
/// The grammar of the lines of an HTTP header. Recipients disagree about what lies outside of it,
/// so nothing that does may be passed on.

namespace figlanding {

/// Returns whether a text can be the name of a field: one or more letters, digits and characters of
/// "!#$%&'*+-.^_`|~".
[[nodiscard]] auto isFieldName(std::string_view text) -> bool;
/// Returns whether a text can be in a header line: it has no control character but the tab.
[[nodiscard]] auto isHeaderText(std::string_view text) -> bool;

} // namespace figlanding
