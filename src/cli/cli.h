#pragma once

#include "cli/cli_io.h"
#include "cli/exit_code.h"

#include <string>
#include <vector>

/// @file
/// Entry point of the command-line client "figlanding", without its main function.

namespace figlanding::cli {

/// Finds the command at the start of @p arguments, runs it and reports usage errors.
/// @param arguments command-line arguments without the program name
/// @param io streams and environment of the process
/// @return exit code of the process
[[nodiscard]] auto runCli(const std::vector<std::string> &arguments, CliIo &io) -> ExitCode;

} // namespace figlanding::cli
