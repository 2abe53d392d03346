#pragma once

#include "figlanding/error.h"

#include <cstddef>
#include <string>
#include <string_view>

/// @file
/// Compression of messages with zlib at its fastest level: the size saved by higher levels is not
/// worth their CPU time.

namespace figlanding {

/// Compresses @p bytes, prefixed with the uncompressed size.
/// @throws std::bad_alloc if zlib cannot allocate memory
[[nodiscard]] auto compress(std::string_view bytes) -> std::string;
/// Decompresses the output of compress().
/// @param maxBytes limit on the uncompressed size, as protection against decompression bombs
/// @return InvalidSyntax if @p bytes are truncated, damaged or exceed the limit
[[nodiscard]] auto decompress(std::string_view bytes, std::size_t maxBytes) -> Result<std::string>;

} // namespace figlanding
