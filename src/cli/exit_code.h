#pragma once

#include "figlanding/error.h"

/// @file
/// Exit codes of the command-line client.

namespace figlanding::cli {

/// Exit code of a command, as --help lists it.
enum class ExitCode : int {
    Ok = 0, ///< done
    Refused = 1, ///< rejected when applied to the state, or not possible in the current state
    Usage = 2, ///< invalid options or arguments
    Unreachable = 3, ///< the log or a VM gave no response; the outcome may be unknown
};

/// Returns Unreachable for errors of transport and log access, else Refused.
[[nodiscard]] auto exitCodeOf(const Error &error) -> ExitCode;

} // namespace figlanding::cli
