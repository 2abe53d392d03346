#pragma once

#include "figlanding/error.h"

#include <cstddef>
#include <string>
#include <string_view>

/// @file
/// Compression of messages (zlib, lowest level: what it saves at higher ones is not worth the
/// time).

namespace figlanding {

/// Returns @p bytes compressed, with their number in front.
[[nodiscard]] auto compress(std::string_view bytes) -> std::string;
/// Restores what compress() made.
/// @param mostBytes limit of the result, against messages that expand without end
/// @return InvalidSyntax if @p bytes are cut, damaged or too long for the limit
[[nodiscard]] auto decompress(std::string_view bytes, std::size_t mostBytes) -> Result<std::string>;

} // namespace figlanding
