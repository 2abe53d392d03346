#pragma once

#include <string_view>

/// @file
/// Properties of HTTP methods (RFC 9110, section 9.2).

namespace figlanding {

/// Returns whether @p method is idempotent: GET, HEAD, OPTIONS, TRACE, PUT and DELETE. Methods are
/// case-sensitive; unknown methods are not idempotent.
[[nodiscard]] auto isIdempotent(std::string_view method) -> bool;

/// Returns whether @p method is safe, that is read-only: GET, HEAD, OPTIONS and TRACE.
[[nodiscard]] auto isSafe(std::string_view method) -> bool;

} // namespace figlanding
