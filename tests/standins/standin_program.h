#pragma once

#include "figlanding/error.h"
#include "io/event_loop.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

/// @file
/// Helpers shared by the programs and the HTTP endpoints of all stand-ins.

namespace figlanding::standins {

/// Prints "listening <port>" to standard output and runs the loop until SIGTERM or SIGINT.
/// @return the exit code of the program
auto runProgram(EventLoop &loop, std::uint16_t port) -> int;
/// Prints an error to standard error.
/// @return the exit code of the program
auto failProgram(const Error &error) -> int;

/// Returns CLOCK_MONOTONIC in nanoseconds; it is comparable across processes of one machine.
[[nodiscard]] auto monotonicNs() -> std::int64_t;
/// Returns the wall-clock time in milliseconds since the Unix epoch.
[[nodiscard]] auto unixMs() -> std::int64_t;
/// Returns a random string of 16 hexadecimal digits.
[[nodiscard]] auto randomHex() -> std::string;
/// Parses a JSON object; never throws.
/// @return the object, or a discarded value if @p text is not a JSON object
[[nodiscard]] auto parseObject(const std::string &text) -> nlohmann::json;

} // namespace figlanding::standins
