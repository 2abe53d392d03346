#include "cli/command_parser.h"

#include "io/settings.h"
#include "io/settings_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <utility>

namespace figlanding::cli {

namespace {

constexpr unsigned defaultTimeoutMs = 10000;

// Connection settings from the file given with --config.
struct ConfigFile
{
    SocketAddress log;
    std::vector<SocketAddress> admin;
    std::string author;
};

auto readConfigFile(const std::string &file) -> Result<ConfigFile>
{
    BOOST_LEAF_AUTO(text, readTextFile(file));
    auto document = SettingsDocument(text);
    auto config = ConfigFile{};
    if (document.root().is_object()) {
        auto root = SettingsReader(document, &document.root(), "");
        config.log = root.address("log");
        config.admin = root.addresses("admin");
        if (document.root().contains("author")) {
            config.author = root.text("author");
        }
        root.finish();
    }
    auto faults = std::string();
    for (const auto &fault : document.faults()) {
        faults += faults.empty() ? "" : "\n";
        faults += describe(file, fault);
    }
    if (!faults.empty()) {
        return fail(ErrorCode::InvalidValue, faults);
    }
    return config;
}

auto vmStatusToJson(const VmStatus &vmStatus) -> nlohmann::json
{
    auto json = nlohmann::json{{"address", toText(vmStatus.address)}};
    if (vmStatus.vm.empty()) {
        json["error"] = vmStatus.error;
        return json;
    }
    json["vm"] = vmStatus.vm;
    json["offset"] = vmStatus.offset;
    json["fresh"] = vmStatus.fresh;
    json["term"] = vmStatus.term;
    json["controller"] = vmStatus.controller;
    return json;
}

} // namespace

auto Printer::print(const nlohmann::json &document, const std::vector<std::string> &lines) const
    -> void
{
    if (m_json) {
        m_io.out << document.dump(2) << "\n";
        return;
    }
    for (const auto &line : lines) {
        m_io.out << line << "\n";
    }
}

auto Printer::printError(const Error &error) const -> void
{
    if (m_json) {
        const auto json =
            nlohmann::json{{"error", {{"message", message(error.code)}, {"detail", error.detail}}}};
        m_io.err << json.dump(2) << "\n";
        return;
    }
    m_io.err << "figlanding: " << describe(error) << "\n";
}

CommandParser::CommandParser(const std::string &name, const std::string &description, CliIo &io)
    : m_io(io)
    , m_commandLine(description
                        + " Exit codes: 0 done, 1 refused or not possible, 2 usage, "
                          "3 log or VM unreachable.",
                    ' ', io.version)
    , m_config("", "config", "JSON file (comments allowed) with log, admin and author", false, "",
               "FILE", m_commandLine)
    , m_log("", "log", "address of the log service (default: FIGLANDING_LOG, then the config file)",
            false, "", "IP:PORT", m_commandLine)
    , m_admin("", "admin", "admin address of a VM; may be repeated", false, "IP:PORT",
              m_commandLine)
    , m_outputFormats({"text", "json"})
    , m_outputFormat("", "output", "output format", false, "text", &m_outputFormats, m_commandLine)
    , m_author("", "author", "author in the audit trail (default: the config file, then USER)",
               false, "", "NAME", m_commandLine)
    , m_reason("", "reason", "reason in the audit trail", false, "", "TEXT", m_commandLine)
    , m_timeoutMs("", "timeout-ms", "timeout of the whole command", false, defaultTimeoutMs, "MS",
                  m_commandLine)
    , m_wait("", "wait", "wait until the change is in force on every VM", m_commandLine)
{
    // TCLAP keeps this flag in a global although it concerns one parser. Tests construct several
    // parsers in one process.
    TCLAP::OptionalUnlabeledTracker::alreadyOptional() = false;
    m_commandLine.setExceptionHandling(false);
    m_commandLine.getProgramName() = "figlanding " + name;
}

auto CommandParser::parse(const std::vector<std::string> &arguments) -> void
{
    rejectUnknownOptions(arguments);
    auto all = arguments;
    all.insert(all.begin(), m_commandLine.getProgramName());
    m_commandLine.parse(all);
}

// TCLAP would accept an unknown option as a positional argument.
auto CommandParser::rejectUnknownOptions(const std::vector<std::string> &arguments) -> void
{
    for (const auto &argument : arguments) {
        if (argument == "--") {
            return;
        }
        if (!argument.starts_with("--")) {
            continue;
        }
        const auto &known = m_commandLine.getArgList();
        const auto name = argument.substr(2);
        const auto found = std::any_of(known.begin(), known.end(), [&name](const TCLAP::Arg *arg) {
            return arg->getName() == name;
        });
        if (!found) {
            throw TCLAP::CmdLineParseException("unknown option", argument);
        }
    }
}

auto CommandParser::reason() const -> std::string
{
    return m_reason.getValue();
}

auto CommandParser::connectionOptions() const -> Result<ClientOptions>
{
    auto options = ClientOptions{.timeout = milliseconds(m_timeoutMs.getValue())};
    auto logText = m_log.getValue();
    logText = logText.empty() ? m_io.environment("FIGLANDING_LOG") : logText;
    options.author = m_author.getValue();
    if (!m_config.getValue().empty()) {
        BOOST_LEAF_AUTO(config, readConfigFile(m_config.getValue()));
        options.log = config.log;
        options.admin = config.admin;
        options.author = options.author.empty() ? config.author : options.author;
    }
    if (!logText.empty()) {
        BOOST_LEAF_ASSIGN(options.log, parseSocketAddress(logText));
    }
    for (const auto &text : m_admin.getValue()) {
        BOOST_LEAF_AUTO(address, parseSocketAddress(text));
        options.admin.push_back(address);
    }
    if (options.log.port == 0) {
        return fail(ErrorCode::MissingField,
                    "the address of the log service: set --log, FIGLANDING_LOG or --config");
    }
    options.author = options.author.empty() ? m_io.environment("USER") : options.author;
    options.author = options.author.empty() ? "operator" : options.author;
    return options;
}

auto CommandParser::run(const Body &body) -> ExitCode
{
    const auto printer = Printer(m_io, m_outputFormat.getValue() == "json");
    const auto options = settle([&] { return connectionOptions(); });
    if (!options) {
        printer.printError(options.error());
        return ExitCode::Usage;
    }
    if ((m_wait.getValue() || m_requiresAdminAddress) && options.value().admin.empty()) {
        printer.printError(
            {.code = ErrorCode::MissingField,
             .detail = "waiting requires the admin address of at least one VM: --admin IP:PORT"});
        return ExitCode::Usage;
    }
    return valueOrElse(
        [&]() -> Result<ExitCode> {
            auto client = ClusterClient(options.value());
            return body(client, printer);
        },
        [&](const Error &error) {
            printer.printError(error);
            return exitCodeOf(error);
        });
}

auto CommandParser::submit(ClusterClient &client, const Printer &printer, RecordPayload payload,
                           nlohmann::json document, std::vector<std::string> lines)
    -> Result<ExitCode>
{
    BOOST_LEAF_AUTO(outcome, client.submit(std::move(payload)));
    document["offset"] = outcome.offset;
    document["accepted"] = outcome.accepted;
    if (!outcome.accepted) {
        document["refusal"] = outcome.refusal;
        const auto hint = outcome.refusal.starts_with(message(ErrorCode::VersionConflict))
            ? "; the object was changed concurrently, read its current version and try again"
            : "";
        printer.print(document,
                      {"refused at offset " + std::to_string(outcome.offset) + ": "
                       + outcome.refusal + hint});
        return ExitCode::Refused;
    }
    lines.push_back("accepted at offset " + std::to_string(outcome.offset));
    if (!m_wait.getValue()) {
        printer.print(document, lines);
        return ExitCode::Ok;
    }
    const auto inForce = settle([&] { return client.waitUntilInForce(outcome.offset); });
    if (!inForce) {
        // The change was accepted. Print its output even so: it may hold a credential that cannot
        // be shown again.
        printer.print(document, lines);
        return fail(inForce.error().code, inForce.error().detail);
    }
    document["in_force"] = toJson(inForce.value());
    const auto more = toLines(inForce.value());
    lines.insert(lines.end(), more.begin(), more.end());
    printer.print(document, lines);
    return exitCodeOf(inForce.value());
}

auto CommandParser::submitChanges(ClusterClient &client, const Printer &printer,
                                  std::vector<ObjectChange> changes, nlohmann::json document,
                                  std::vector<std::string> lines) -> Result<ExitCode>
{
    auto change = ConfigChange{
        .author = client.options().author, .reason = reason(), .changes = std::move(changes)};
    return submit(client, printer, std::move(change), std::move(document), std::move(lines));
}

auto toJson(const InForceReport &result) -> nlohmann::json
{
    auto json = nlohmann::json{{"everywhere", result.everywhere},
                               {"missing", result.missing},
                               {"vms", nlohmann::json::array()}};
    for (const auto &vmStatus : result.vmStatuses) {
        json["vms"].push_back(vmStatusToJson(vmStatus));
    }
    return json;
}

auto toLines(const InForceReport &result) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto &vmStatus : result.vmStatuses) {
        lines.push_back(vmStatus.vm.empty()
                            ? toText(vmStatus.address) + ": " + vmStatus.error
                            : vmStatus.vm + ": offset " + std::to_string(vmStatus.offset)
                                + (vmStatus.fresh ? ", fresh" : ", not fresh"));
    }
    for (const auto &vm : result.missing) {
        lines.push_back(vm + ": admin port unknown");
    }
    lines.emplace_back(result.everywhere ? "in force on every VM" : "not in force on every VM");
    return lines;
}

auto exitCodeOf(const InForceReport &result) -> ExitCode
{
    if (result.everywhere) {
        return ExitCode::Ok;
    }
    const auto unknown = result.unreachable || !result.missing.empty();
    return unknown ? ExitCode::Unreachable : ExitCode::Refused;
}

} // namespace figlanding::cli
