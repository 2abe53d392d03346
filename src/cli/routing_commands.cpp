#include "cli/commands.h"

#include "figlanding/selection.h"
#include "figlanding/sharding.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace figlanding::cli {

namespace {

// Decision of one filter on a request.
struct FilterStep
{
    std::string filter;
    bool passed = true;
    std::string detail;
};

auto assignmentToJson(const Assignment &assignment) -> nlohmann::json
{
    auto json = nlohmann::json{{"owner", assignment.owner.value()},
                               {"fence", assignment.fence},
                               {"moving", assignment.moving()}};
    if (assignment.moving()) {
        json["target"] = assignment.target.value();
    }
    return json;
}

auto assignmentText(const Assignment &assignment) -> std::string
{
    auto text = "owner " + (assignment.owner.empty() ? "none" : assignment.owner.value())
        + ", fence " + std::to_string(assignment.fence);
    if (assignment.moving()) {
        text += ", moving to " + assignment.target.value();
    }
    return text;
}

auto dispatcherText(const ClusterState &state, const BackendServerId &server) -> std::string
{
    const auto vm = dispatcherOf(state, server);
    return vm ? vm->value() : "none";
}

auto authenticateStep(const ClusterState &state, const Route &route,
                      const std::optional<TeamKeyId> &key) -> FilterStep
{
    if (route.open) {
        return {"authenticate", true, "the route is open"};
    }
    if (!key) {
        return {"authenticate", false, "the route requires a team key; pass its id with --key-id"};
    }
    const auto found = state.teamKeys.find(*key);
    if (found == state.teamKeys.end()) {
        return {"authenticate", false, "no key \"" + key->value() + "\""};
    }
    return {"authenticate", true, "key of team \"" + found->second.object.team.value() + "\""};
}

auto limitStep(const ClusterState &state, const std::optional<TeamKeyId> &key) -> FilterStep
{
    const auto found = key ? state.teamKeys.find(*key) : state.teamKeys.end();
    if (found == state.teamKeys.end()) {
        return {"limit", true, "no team key, no rate limit"};
    }
    const auto &teamId = found->second.object.team;
    const auto team = state.teams.find(teamId);
    if (team == state.teams.end()) {
        return {"limit", false, "no team \"" + teamId.value() + "\""};
    }
    const auto issuer = tokenIssuerOf(state, teamId);
    return {"limit", true,
            "team \"" + teamId.value()
                + "\": " + nlohmann::json(team->second.object.ratePerSecond).dump()
                + " requests/s, burst " + nlohmann::json(team->second.object.burst).dump()
                + ", tokens issued by " + (issuer ? issuer->value() : "no VM")};
}

auto selectionText(const Selection &selection) -> std::string
{
    auto text = "service \"" + selection.service->id.value() + "\"";
    if (selection.service->mode == ServiceMode::Exclusive) {
        return text + ", routing key \"" + selection.routingKey + "\"";
    }
    text += ", servers";
    for (const auto &server : selection.servers) {
        text += " " + server.value();
    }
    return text;
}

auto policiesText(const ClusterState &state, const Route &route,
                  const std::optional<TeamKeyId> &key) -> std::string
{
    const auto found = key ? state.teamKeys.find(*key) : state.teamKeys.end();
    const auto *teamKey = found == state.teamKeys.end() ? nullptr : &found->second.object;
    auto text = std::string();
    for (const auto *policy : matchingPolicies(state, {.route = &route, .teamKey = teamKey})) {
        text += text.empty() ? "" : " ";
        text += policy->id.value();
    }
    return text.empty() ? "no policy applies" : "policies " + text;
}

// Adds the steps "select" and, for an exclusive service, "locate".
auto addSelectionSteps(const ClusterState &state, const SelectionRequest &request,
                       std::vector<FilterStep> &steps) -> void
{
    const auto result = select(state, request);
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        steps.push_back(
            {"select", false, std::string(toText(refusal->reason)) + ": " + refusal->detail});
        return;
    }
    const auto &selection = std::get<Selection>(result);
    steps.push_back(
        {"select", true,
         selectionText(selection) + "; " + policiesText(state, *selection.route, request.teamKey)});
    if (selection.service->mode != ServiceMode::Exclusive) {
        return;
    }
    const auto *assignment = selection.assignment;
    if (assignment == nullptr || assignment->owner.empty()) {
        steps.push_back(
            {"locate", false, "the key has no owner yet; requests wait until one is assigned"});
        return;
    }
    steps.push_back({"locate", !assignment->moving(),
                     assignmentText(*assignment) + ", dispatched by "
                         + dispatcherText(state, assignment->owner)});
}

auto explain(const ClusterState &state, const SelectionRequest &request) -> std::vector<FilterStep>
{
    auto steps = std::vector<FilterStep>();
    const auto pathError = settle([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(checkPath(request.path));
        return true;
    });
    if (!pathError) {
        return {{"parse", false, describe(pathError.error())}};
    }
    const auto *route = findRoute(state, request.path);
    if (route == nullptr) {
        return {{"parse", false, "no route has a prefix of the path"}};
    }
    steps.push_back({"parse", true, "route \"" + route->id.value() + "\""});
    steps.push_back(authenticateStep(state, *route, request.teamKey));
    if (steps.back().passed) {
        steps.push_back(limitStep(state, route->open ? std::nullopt : request.teamKey));
    }
    if (steps.back().passed) {
        addSelectionSteps(state, request, steps);
    }
    return steps;
}

auto printSteps(const std::vector<FilterStep> &steps, const std::string &method,
                const Printer &printer) -> void
{
    auto document = nlohmann::json{{"method", method}, {"steps", nlohmann::json::array()}};
    auto lines = std::vector<std::string>();
    for (const auto &step : steps) {
        document["steps"].push_back(
            {{"filter", step.filter}, {"passed", step.passed}, {"detail", step.detail}});
        lines.push_back(step.filter + ": " + (step.passed ? "passes, " : "stops, ") + step.detail);
    }
    printer.print(document, lines);
}

} // namespace

auto whereCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser =
        CommandParser("where", "Shows the owner of a routing key of an exclusive service.", io);
    TCLAP::UnlabeledValueArg<std::string> name("service", "service", true, "", "SERVICE",
                                               parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> key("key", "routing key", true, "", "KEY",
                                              parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        const auto service = ServiceId(name.getValue());
        BOOST_LEAF_CHECK(requireObject(state, {ObjectKind::Service, name.getValue()}));
        const auto *assignment = assignmentForKey(state, service, key.getValue());
        if (assignment == nullptr) {
            return fail(ErrorCode::NotFound, "service \"" + name.getValue() + "\" assigns no keys");
        }
        const auto &assignments = state.assignments.at(service);
        const auto isolated = assignments.isolatedKeys.contains(key.getValue());
        const auto shard =
            shardOf(key.getValue(), static_cast<std::uint32_t>(assignments.shards.size()));
        auto document = assignmentToJson(*assignment);
        document["shard"] = shard;
        document["isolated"] = isolated;
        document["dispatcher"] = dispatcherText(state, assignment->owner);
        printer.print(document,
                      {(isolated ? "isolated key, " : "") + ("shard " + std::to_string(shard))
                       + ", " + assignmentText(*assignment) + ", dispatched by "
                       + dispatcherText(state, assignment->owner)});
        return ExitCode::Ok;
    });
}

auto explainCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("explain", "Shows the decision of each filter on a request.", io);
    TCLAP::ValueArg<std::string> keyId("", "key-id", "id of the team key", false, "", "ID",
                                       parser.commandLine());
    TCLAP::ValueArg<std::string> routingKey("", "routing-key", "value of the routing key header",
                                            false, "", "KEY", parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> method("method", "method", true, "", "METHOD",
                                                 parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> path("path", "path", true, "", "PATH",
                                               parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        auto request = SelectionRequest{.path = path.getValue()};
        if (keyId.isSet()) {
            request.teamKey = TeamKeyId(keyId.getValue());
        }
        if (routingKey.isSet()) {
            request.routingKeyHeader = routingKey.getValue();
        }
        const auto steps = explain(state, request);
        printSteps(steps, method.getValue(), printer);
        return steps.back().passed ? ExitCode::Ok : ExitCode::Refused;
    });
}

} // namespace figlanding::cli
