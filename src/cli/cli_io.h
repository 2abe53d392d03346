#pragma once

#include <functional>
#include <iosfwd>
#include <string>

/// @file
/// Streams and environment of the command-line client.

namespace figlanding::cli {

/// Streams and environment of the process; tests replace them.
struct CliIo
{
    std::ostream &out;
    std::ostream &err;
    /// Returns the value of an environment variable, or an empty string if it is not set.
    std::function<std::string(const std::string &)> environment;
    std::string version; ///< printed by --version
};

} // namespace figlanding::cli
