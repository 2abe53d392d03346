#include "cli/cli.h"

#include "cli/commands.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace figlanding::cli {

namespace {

struct Command
{
    std::vector<std::string> name;
    const char *arguments;
    const char *summary;
    ExitCode (*run)(const Arguments &, CliIo &);
};

auto commands() -> const std::vector<Command> &
{
    static const auto table = std::vector<Command>{
        {{"apply"}, "FILE...", "creates or updates the objects declared in files", applyCommand},
        {{"get"}, "KIND [NAME]", "shows declared objects", getCommand},
        {{"label"}, "KIND NAME key=value key-", "sets and removes labels", labelCommand},
        {{"selector", "test"}, "EXPR KIND", "lists what a selector matches", selectorTestCommand},
        {{"team", "set"}, "NAME", "creates a team or sets its rate and burst", teamSetCommand},
        {{"key", "grant"}, "TEAM", "creates a key and prints its credential once", keyGrantCommand},
        {{"key", "withdraw"}, "ID", "removes a team key", keyWithdrawCommand},
        {{"zone", "leave"}, "NAME", "takes a zone out of service", zoneLeaveCommand},
        {{"zone", "return"}, "NAME", "returns a zone to service", zoneReturnCommand},
        {{"server", "drain"}, "NAME", "takes a server out of service", serverDrainCommand},
        {{"server", "undrain"}, "NAME", "returns a server to service", serverUndrainCommand},
        {{"quarantine", "list"}, "", "lists quarantined requests", quarantineListCommand},
        {{"quarantine", "lift"}, "DIGEST", "lifts a quarantine", quarantineLiftCommand},
        {{"status"}, "", "shows the state of the fleet", statusCommand},
        {{"audit"}, "[--limit N]", "shows the latest changes", auditCommand},
        {{"watch"}, "OFFSET", "waits until an offset is in force on every VM", watchCommand},
        {{"where"}, "SERVICE KEY", "shows the owner of a routing key", whereCommand},
        {{"explain"}, "METHOD PATH", "shows the decision of each filter", explainCommand},
    };
    return table;
}

auto joinWords(const std::vector<std::string> &words) -> std::string
{
    auto text = std::string();
    for (const auto &word : words) {
        text += text.empty() ? "" : " ";
        text += word;
    }
    return text;
}

auto printHelp(std::ostream &out) -> void
{
    constexpr std::size_t summaryColumn = 40;
    out << "Usage: figlanding COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const auto &command : commands()) {
        auto line = "  " + joinWords(command.name);
        line.append(" ").append(command.arguments);
        line.resize(std::max(line.size() + 1, summaryColumn), ' ');
        out << line << command.summary << "\n";
    }
    out << "\nEach command has --help. --version shows the version.\n"
           "Exit codes: 0 done, 1 refused or not possible, 2 usage, 3 log or VM unreachable.\n";
}

auto findCommand(const std::vector<std::string> &arguments) -> const Command *
{
    const auto &table = commands();
    const auto found = std::find_if(table.begin(), table.end(), [&](const Command &command) {
        return arguments.size() >= command.name.size()
            && std::equal(command.name.begin(), command.name.end(), arguments.begin());
    });
    return found == table.end() ? nullptr : &*found;
}

} // namespace

auto runCli(const std::vector<std::string> &arguments, CliIo &io) -> ExitCode
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h") {
        printHelp(arguments.empty() ? io.err : io.out);
        return arguments.empty() ? ExitCode::Usage : ExitCode::Ok;
    }
    if (arguments[0] == "--version") {
        io.out << "figlanding " << io.version << "\n";
        return ExitCode::Ok;
    }
    const auto *command = findCommand(arguments);
    if (command == nullptr) {
        io.err << "figlanding: unknown command \"" << arguments[0] << "\"; see figlanding --help\n";
        return ExitCode::Usage;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(command->name.size());
    const auto rest = Arguments(arguments.begin() + skipped, arguments.end());
    try {
        return command->run(rest, io);
    } catch (const TCLAP::ArgException &error) {
        io.err << "figlanding " << joinWords(command->name) << ": " << error.error() << " "
               << error.argId() << "\n";
        return ExitCode::Usage;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
}

} // namespace figlanding::cli
