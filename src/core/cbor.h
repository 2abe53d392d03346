#pragma once

#include "figlanding/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

/// @file
/// Parser for CBOR from untrusted input.

namespace figlanding {

/// Maximum nesting depth of arrays and objects.
inline constexpr std::size_t maxCborDepth = 32;

/// Parses a single CBOR value.
/// @return InvalidSyntax if @p bytes are malformed, nested deeper than maxCborDepth, or followed by
///     trailing bytes
[[nodiscard]] auto parseCbor(std::string_view bytes) -> Result<nlohmann::json>;

} // namespace figlanding
