#include "cli/commands.h"

#include "figlanding/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlanding::cli {

namespace {

auto membersToJson(const ClusterState &state) -> nlohmann::json
{
    auto members = nlohmann::json::array();
    for (const auto &[id, member] : state.members) {
        members.push_back({{"vm", id.value()},
                           {"zone", member.zone.value()},
                           {"peer_address", toText(member.peerAddress)},
                           {"since", member.since}});
    }
    return members;
}

// A server that is down is reported as such even if it or its zone is also leaving.
auto serverStateText(const ClusterState &state, const BackendServer &server) -> std::string
{
    const auto status = state.serverStatus.find(server.id);
    if (status != state.serverStatus.end() && !status->second.up) {
        return "down: " + status->second.evidence;
    }
    const auto zone = state.zones.find(server.zone);
    const auto zoneLeaves =
        zone != state.zones.end() && zone->second.object.state == AdminState::Leaving;
    if (server.state == AdminState::Leaving) {
        return "draining";
    }
    return zoneLeaves ? "zone leaving" : "active";
}

auto movingShards(const ClusterState &state) -> std::size_t
{
    std::size_t moving = 0;
    for (const auto &[service, assignments] : state.assignments) {
        moving += static_cast<std::size_t>(
            std::count_if(assignments.shards.begin(), assignments.shards.end(),
                          [](const Assignment &item) { return item.moving(); }));
    }
    return moving;
}

auto statusToJson(const ClusterState &state) -> nlohmann::json
{
    auto json = nlohmann::json{{"offset", state.offset},
                               {"term", state.term},
                               {"controller", state.controller.value()},
                               {"members", membersToJson(state)},
                               {"moving_shards", movingShards(state)},
                               {"quarantines", state.quarantines.size()},
                               {"servers", nlohmann::json::array()}};
    for (const auto &[id, server] : state.servers) {
        json["servers"].push_back({{"name", id.value()},
                                   {"zone", server.object.zone.value()},
                                   {"state", serverStateText(state, server.object)}});
    }
    return json;
}

auto statusLines(const ClusterState &state) -> std::vector<std::string>
{
    const auto controller = state.controller.empty() ? "none" : state.controller.value();
    auto lines =
        std::vector<std::string>{"log offset " + std::to_string(state.offset) + ", term "
                                     + std::to_string(state.term) + ", controller " + controller,
                                 "moving shards " + std::to_string(movingShards(state))
                                     + ", quarantines " + std::to_string(state.quarantines.size())};
    for (const auto &[id, member] : state.members) {
        lines.push_back("member " + id.value() + ", zone " + member.zone.value());
    }
    for (const auto &[id, server] : state.servers) {
        lines.push_back("server " + id.value() + ", zone " + server.object.zone.value() + ", "
                        + serverStateText(state, server.object));
    }
    return lines;
}

auto auditLine(const AuditEntry &entry) -> std::string
{
    auto line = std::to_string(entry.offset) + " " + std::to_string(entry.unixMs) + " "
        + entry.author + ": " + entry.summary;
    return entry.accepted ? line : line + " (refused: " + entry.refusal + ")";
}

} // namespace

auto quarantineListCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("quarantine list", "Lists the quarantined requests.", io);
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        auto document = nlohmann::json::array();
        auto lines = std::vector<std::string>();
        for (const auto &[digest, quarantine] : state.quarantines) {
            document.push_back({{"digest", digest},
                                {"since", quarantine.since},
                                {"until_unix_ms", quarantine.untilUnixMs},
                                {"evidence", quarantine.evidence}});
            lines.push_back(digest + " until " + std::to_string(quarantine.untilUnixMs) + ": "
                            + quarantine.evidence);
        }
        printer.print(document, lines);
        return ExitCode::Ok;
    });
}

auto quarantineLiftCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("quarantine lift", "Lifts the quarantine of a request.", io);
    TCLAP::UnlabeledValueArg<std::string> digest("digest", "digest", true, "", "DIGEST",
                                                 parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        if (!state.quarantines.contains(digest.getValue())) {
            return fail(ErrorCode::NotFound, "quarantine \"" + digest.getValue() + "\"");
        }
        auto change = QuarantineChange{.author = client.options().author,
                                       .requestDigest = digest.getValue(),
                                       .quarantine = false,
                                       .evidence = parser.reason()};
        return parser.submit(client, printer, std::move(change), {{"digest", digest.getValue()}},
                             {});
    });
}

auto statusCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser =
        CommandParser("status", "Shows the state of the fleet, with --admin also of the VMs.", io);
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        auto document = statusToJson(state);
        auto lines = statusLines(state);
        auto code = ExitCode::Ok;
        auto report = InForceReport{.everywhere = true};
        for (const auto &address : client.options().admin) {
            report.vmStatuses.push_back(client.queryVm(address));
            code = report.vmStatuses.back().vm.empty() ? ExitCode::Unreachable : code;
        }
        if (!report.vmStatuses.empty()) {
            document["vms"] = toJson(report)["vms"];
            const auto more = toLines(report);
            // Without the last line, which is about an offset being in force.
            lines.insert(lines.end(), more.begin(), more.end() - 1);
        }
        printer.print(document, lines);
        return code;
    });
}

auto auditCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    constexpr std::size_t defaultLimit = 50;
    auto parser = CommandParser("audit", "Shows the latest changes, oldest first.", io);
    TCLAP::ValueArg<std::size_t> limit("", "limit", "largest number of changes shown", false,
                                       defaultLimit, "N", parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        auto document = nlohmann::json::array();
        auto lines = std::vector<std::string>();
        const auto count = std::min(limit.getValue(), state.audit.size());
        for (auto i = state.audit.size() - count; i < state.audit.size(); ++i) {
            document.push_back(figlanding::toJson(state.audit[i]));
            lines.push_back(auditLine(state.audit[i]));
        }
        printer.print(document, lines);
        return ExitCode::Ok;
    });
}

auto watchCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("watch", "Waits until an offset is in force on every VM.", io);
    TCLAP::UnlabeledValueArg<LogOffset> offset("offset", "offset", true, 0, "OFFSET",
                                               parser.commandLine());
    parser.requireAdminAddress();
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(result, client.waitUntilInForce(offset.getValue()));
        printer.print(toJson(result), toLines(result));
        return exitCodeOf(result);
    });
}

} // namespace figlanding::cli
