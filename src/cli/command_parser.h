#pragma once

#include "cli/cli_io.h"
#include "cli/cluster_client.h"
#include "cli/exit_code.h"

#include <nlohmann/json_fwd.hpp>
#include <tclap/CmdLine.h>

#include <functional>
#include <string>
#include <vector>

/// @file
/// Shared by all commands: common options, output, and mapping of errors to exit codes.

namespace figlanding::cli {

/// Prints results as text or as one JSON document.
class Printer
{
public:
    /// @param json whether to print JSON instead of text
    Printer(CliIo &io, bool json)
        : m_io(io)
        , m_json(json)
    { }

    /// Prints @p document if the output is JSON, otherwise @p lines.
    auto print(const nlohmann::json &document, const std::vector<std::string> &lines) const -> void;
    /// Prints an error to the error stream.
    auto printError(const Error &error) const -> void;

private:
    CliIo &m_io;
    bool m_json;
};

/// Parser with the options of all commands; a command adds its own arguments.
class CommandParser
{
public:
    /// @param name words of the command, such as "key grant"
    /// @param description one sentence for --help
    CommandParser(const std::string &name, const std::string &description, CliIo &io);

    /// Returns the TCLAP parser, to which the command adds its arguments.
    auto commandLine() -> TCLAP::CmdLine &
    {
        return m_commandLine;
    }
    /// Parses the arguments that follow the command name.
    /// @throws TCLAP::ArgException for a usage error, TCLAP::ExitException after --help
    auto parse(const std::vector<std::string> &arguments) -> void;

    using Body = std::function<Result<ExitCode>(ClusterClient &, const Printer &)>;
    /// Runs @p body with a client for the parsed options. Prints an error that it returns.
    /// @return the exit code of @p body or of its error; Usage if the options are invalid
    auto run(const Body &body) -> ExitCode;

    /// Makes run() return Usage if no admin address is given.
    auto requireAdminAddress() -> void
    {
        m_requiresAdminAddress = true;
    }

    /// Returns the value of --reason, for the audit trail.
    [[nodiscard]] auto reason() const -> std::string;

    /// Appends a record, prints its outcome, and with --wait waits until it is in force on every
    /// VM.
    /// @param document JSON output of the command, to which the outcome is added
    /// @param lines text output of the command, printed only if the record is accepted
    /// @return the exit code, or an error if the outcome is unknown or waiting failed
    auto submit(ClusterClient &client, const Printer &printer, RecordPayload payload,
                nlohmann::json document, std::vector<std::string> lines) -> Result<ExitCode>;
    /// Submits a ConfigChange with the given changes and the author and reason of the options.
    /// @return as submit()
    auto submitChanges(ClusterClient &client, const Printer &printer,
                       std::vector<ObjectChange> changes, nlohmann::json document,
                       std::vector<std::string> lines) -> Result<ExitCode>;

private:
    auto rejectUnknownOptions(const std::vector<std::string> &arguments) -> void;
    [[nodiscard]] auto connectionOptions() const -> Result<ClientOptions>;

    CliIo &m_io;
    TCLAP::CmdLine m_commandLine;
    TCLAP::ValueArg<std::string> m_config;
    TCLAP::ValueArg<std::string> m_log;
    TCLAP::MultiArg<std::string> m_admin;
    TCLAP::ValuesConstraint<std::string> m_outputFormats;
    TCLAP::ValueArg<std::string> m_outputFormat;
    TCLAP::ValueArg<std::string> m_author;
    TCLAP::ValueArg<std::string> m_reason;
    TCLAP::ValueArg<unsigned> m_timeoutMs;
    TCLAP::SwitchArg m_wait;
    bool m_requiresAdminAddress = false;
};

/// Converts a report to the JSON object "in_force".
[[nodiscard]] auto toJson(const InForceReport &result) -> nlohmann::json;
/// Converts a report to text: one line for each VM, and a last line with the result.
[[nodiscard]] auto toLines(const InForceReport &result) -> std::vector<std::string>;
/// Returns Ok if the record is in force on every VM, Unreachable if the status of a VM is unknown,
/// else Refused.
[[nodiscard]] auto exitCodeOf(const InForceReport &result) -> ExitCode;

} // namespace figlanding::cli
