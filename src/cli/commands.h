#pragma once

#include "cli/command_parser.h"

#include <string>
#include <vector>

/// @file
/// Commands of the command-line client. Each prints its result and returns the exit code. Usage
/// errors are thrown as TCLAP::ArgException.

namespace figlanding::cli {

/// Arguments that follow the command name.
using Arguments = std::vector<std::string>;

// Declared objects: create, change, list and match.
auto applyCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto getCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto labelCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto selectorTestCommand(const Arguments &arguments, CliIo &io) -> ExitCode;

// Teams and their keys.
auto teamSetCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto keyGrantCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto keyWithdrawCommand(const Arguments &arguments, CliIo &io) -> ExitCode;

// Taking zones and servers out of service and returning them.
auto zoneLeaveCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto zoneReturnCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto serverDrainCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto serverUndrainCommand(const Arguments &arguments, CliIo &io) -> ExitCode;

// State that the fleet records by itself, and the audit trail.
auto quarantineListCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto quarantineLiftCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto statusCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto auditCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto watchCommand(const Arguments &arguments, CliIo &io) -> ExitCode;

// Routing decisions.
auto whereCommand(const Arguments &arguments, CliIo &io) -> ExitCode;
auto explainCommand(const Arguments &arguments, CliIo &io) -> ExitCode;

/// Parses an object kind.
/// @param text name as in declarations ("BackendServer") or alias ("server")
/// @return the kind, or the error of parseObjectKind()
[[nodiscard]] auto parseKind(const std::string &text) -> Result<ObjectKind>;

/// Looks up a declared object.
/// @return the object with its version, or NotFound
[[nodiscard]] auto requireObject(const ClusterState &state, const ObjectRef &ref)
    -> Result<Versioned<DeclaredObject>>;

} // namespace figlanding::cli
