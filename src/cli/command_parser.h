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
/// What all commands share: options, output and the way that failures end the tool.

namespace figlanding::cli {

/// Writes results as text or as one JSON document.
class Printer
{
public:
    Printer(CliIo &io, bool json)
        : m_io(io)
        , m_json(json)
    { }

    /// Writes @p document, or else @p lines.
    auto print(const nlohmann::json &document, const std::vector<std::string> &lines) const -> void;
    /// Writes a failure to the error output.
    auto printError(const Error &error) const -> void;

private:
    CliIo &m_io;
    bool m_json;
};

/// Common options, and the parser that commands add their own arguments to.
class CommandParser
{
public:
    /// @param name words of the command, such as "key grant"
    CommandParser(const std::string &name, const std::string &description, CliIo &io);

    /// Returns the parser for the command's own arguments.
    auto line() -> TCLAP::CmdLine &
    {
        return m_line;
    }
    /// Parses the arguments after the command's name.
    /// @throws TCLAP::ArgException for a usage error, TCLAP::ExitException after --help
    auto parse(const std::vector<std::string> &arguments) -> void;

    using Body = std::function<Result<ExitCode>(ClusterClient &, const Printer &)>;
    /// Runs @p body with the options parsed, and turns a failure into output and exit code.
    auto run(const Body &body) -> ExitCode;

    /// Makes run() refuse to run without the address of an admin port.
    auto requireAdmin() -> void
    {
        m_needsAdmin = true;
    }

    /// Returns the reason given for the audit trail.
    [[nodiscard]] auto reason() const -> std::string;

    /// Appends a configuration change, reports its outcome, and with --wait waits until it is
    /// in force on every VM.
    /// @param document what the command adds to the JSON output
    /// @param lines what the command adds to the text output, if accepted
    auto submit(ClusterClient &client, const Printer &printer, RecordPayload payload,
                nlohmann::json document, std::vector<std::string> lines) -> Result<ExitCode>;
    /// Creates a ConfigChange with author and reason, and submits it.
    auto submitChanges(ClusterClient &client, const Printer &printer,
                       std::vector<ObjectChange> changes, nlohmann::json document,
                       std::vector<std::string> lines) -> Result<ExitCode>;

private:
    auto checkOptionNames(const std::vector<std::string> &arguments) -> void;
    [[nodiscard]] auto connectionOptions() const -> Result<ConnectionOptions>;

    CliIo &m_io;
    TCLAP::CmdLine m_line;
    TCLAP::ValueArg<std::string> m_config;
    TCLAP::ValueArg<std::string> m_log;
    TCLAP::MultiArg<std::string> m_admin;
    TCLAP::ValuesConstraint<std::string> m_outputs;
    TCLAP::ValueArg<std::string> m_output;
    TCLAP::ValueArg<std::string> m_author;
    TCLAP::ValueArg<std::string> m_reason;
    TCLAP::ValueArg<unsigned> m_timeoutMs;
    TCLAP::SwitchArg m_wait;
    bool m_needsAdmin = false;
};

/// Converts the answers of VMs to JSON.
[[nodiscard]] auto toJson(const InForce &result) -> nlohmann::json;
/// Converts the answers of VMs to lines of text.
[[nodiscard]] auto toLines(const InForce &result) -> std::vector<std::string>;
/// Returns the exit code for the state of an offset on the VMs.
[[nodiscard]] auto exitCodeOf(const InForce &result) -> ExitCode;

} // namespace figlanding::cli
