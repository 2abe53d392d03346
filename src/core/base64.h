#pragma once

#include "figlanding/error.h"

#include <string>
#include <string_view>

/// @file
/// Base64 encoding of binary fields in JSON records.

namespace figlanding {

/// Encodes bytes as base64 with padding.
[[nodiscard]] auto encodeBase64(std::string_view bytes) -> std::string;
/// Decodes padded base64 without white space.
/// @return the bytes, or InvalidSyntax
[[nodiscard]] auto decodeBase64(std::string_view text) -> Result<std::string>;

} // namespace figlanding
