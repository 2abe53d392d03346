#include "cli/commands.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace figlanding::cli {

namespace {

// Sets the administrative state of a zone or a server.
auto setAdminState(CommandParser &parser, const ObjectRef &ref, AdminState target) -> ExitCode
{
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(state, client.readState());
        BOOST_LEAF_AUTO(found, requireObject(state, ref));
        auto object = found.object;
        if (auto *zone = std::get_if<AvailabilityZone>(&object)) {
            zone->state = target;
        } else if (auto *server = std::get_if<BackendServer>(&object)) {
            server->state = target;
        }
        if (object == found.object) {
            printer.print({{"changed", false}},
                          {"no change: " + ref.name + " is already in this state"});
            return ExitCode::Ok;
        }
        auto change = ObjectChange{.ref = ref, .object = object, .expectedVersion = found.version};
        return parser.submitChanges(client, printer, {std::move(change)}, {{"name", ref.name}}, {});
    });
}

struct StateCommand
{
    const char *name;
    const char *description;
    ObjectKind kind;
    AdminState target;
};

auto runStateCommand(const StateCommand &command, const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser(command.name, command.description, io);
    TCLAP::UnlabeledValueArg<std::string> name("name", "name", true, "", "NAME",
                                               parser.commandLine());
    parser.parse(arguments);
    return setAdminState(parser, {command.kind, name.getValue()}, command.target);
}

} // namespace

auto zoneLeaveCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    return runStateCommand({"zone leave",
                            "Takes a zone out of service: its servers get no new work.",
                            ObjectKind::AvailabilityZone, AdminState::Leaving},
                           arguments, io);
}

auto zoneReturnCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    return runStateCommand({"zone return", "Returns a zone to service.",
                            ObjectKind::AvailabilityZone, AdminState::Active},
                           arguments, io);
}

auto serverDrainCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    return runStateCommand({"server drain", "Takes a server out of service: it gets no new work.",
                            ObjectKind::BackendServer, AdminState::Leaving},
                           arguments, io);
}

auto serverUndrainCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    return runStateCommand({"server undrain", "Returns a server to service.",
                            ObjectKind::BackendServer, AdminState::Active},
                           arguments, io);
}

} // namespace figlanding::cli
