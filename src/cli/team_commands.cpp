#include "cli/commands.h"
#include "io/random_bytes.h"

#include "figlanding/object_tables.h"
#include "figlanding/team_key.h"

#include <nlohmann/json.hpp>

namespace figlanding::cli {

namespace {

// Returns the team, or a new one if it does not exist, with the rate and burst replaced.
auto withRateAndBurst(const ClusterState &state, const TeamId &id, double rate, double burst)
    -> Team
{
    const auto found = state.teams.find(id);
    auto team = found == state.teams.end() ? Team{.id = id} : found->second.object;
    team.ratePerSecond = rate;
    team.burst = burst;
    return team;
}

} // namespace

auto teamSetCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("team set", "Creates a team or sets its rate and burst.", io);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second over the whole fleet", true, 0,
                                 "NUMBER", parser.commandLine());
    TCLAP::ValueArg<double> burst("", "burst",
                                  "number of requests that may exceed the rate at once", true, 0,
                                  "NUMBER", parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> name("name", "team", true, "", "NAME",
                                               parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        const auto ref = ObjectRef{ObjectKind::Team, name.getValue()};
        const auto team =
            withRateAndBurst(state, TeamId(name.getValue()), rate.getValue(), burst.getValue());
        BOOST_LEAF_CHECK(checkObject(team));
        const auto version = versionOf(state, ref);
        return parser.submitChanges(client, printer, {{ref, team, version}},
                                    {{"team", name.getValue()}}, {});
    });
}

auto keyGrantCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser(
        "key grant", "Creates a team key. Its credential is printed once and not stored.", io);
    TCLAP::ValueArg<std::string> idOption("", "id", "id of the key (default: generated)", false, "",
                                          "ID", parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> team("team", "team", true, "", "TEAM",
                                               parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        const auto id = idOption.getValue().empty() ? team.getValue() + "-" + randomHex(4)
                                                    : idOption.getValue();
        BOOST_LEAF_AUTO(state, client.readState());
        BOOST_LEAF_CHECK(requireObject(state, {ObjectKind::Team, team.getValue()}));
        const auto random =
            TeamKeyRandom{.salt = randomBytes(minSaltBytes), .secret = randomBytes(minSecretBytes)};
        BOOST_LEAF_AUTO(created, createTeamKey(TeamKeyId(id), TeamId(team.getValue()), random));
        const auto ref = ObjectRef{ObjectKind::TeamKey, id};
        constexpr LogOffset newObject = 0;
        return parser.submitChanges(client, printer, {{ref, created.key, newObject}},
                                    {{"id", id}, {"credential", created.credential}},
                                    {"key " + id, "credential " + created.credential});
    });
}

auto keyWithdrawCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("key withdraw", "Removes a team key.", io);
    TCLAP::UnlabeledValueArg<std::string> id("id", "key", true, "", "ID", parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        const auto ref = ObjectRef{ObjectKind::TeamKey, id.getValue()};
        BOOST_LEAF_AUTO(state, client.readState());
        BOOST_LEAF_AUTO(object, requireObject(state, ref));
        return parser.submitChanges(client, printer, {{ref, std::nullopt, object.version}},
                                    {{"id", id.getValue()}}, {});
    });
}

} // namespace figlanding::cli
