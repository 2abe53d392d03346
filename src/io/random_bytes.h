#pragma once

#include <cstddef>
#include <string>

/// @file
/// Random bytes from the operating system.

namespace figlanding {

/// Returns @p count random bytes; aborts the process if getrandom() fails.
[[nodiscard]] auto randomBytes(std::size_t count) -> std::string;
/// Returns @p count random bytes as 2 * @p count lower-case hexadecimal digits.
[[nodiscard]] auto randomHex(std::size_t count) -> std::string;

} // namespace figlanding
