#include "daemon/daemon.h"
#include "io/event_loop.h"
#include "io/log.h"
#include "io/settings.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

/// @file
/// Daemon of an entry VM. Exit codes: 0 after a clean stop, 1 if startup failed, 2 for invalid
/// arguments or settings.

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

auto runDaemon(const figlanding::DaemonSettings &settings) -> int
{
    using namespace figlanding;
    const LogSession session(
        {.program = "figlandingd", .vm = settings.vm.value(), .level = settings.logLevel});
    EventLoop loop;
    Daemon daemon(loop, settings);
    const auto started = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(daemon.start());
            return true;
        },
        [](const Error &error) {
            logEvent(LogLevel::Error, "start-failed", {{"error", describe(error)}});
            std::cerr << "figlandingd: " << describe(error) << '\n';
            return false;
        });
    if (!started) {
        return exitFailure;
    }
    const SignalWatcher terminate(loop, SIGTERM, [&] { daemon.leave(); });
    const SignalWatcher interrupt(loop, SIGINT, [&] { daemon.leave(); });
    loop.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    try {
        TCLAP::CmdLine command("Entry VM of the figlanding router", ' ', FIGLANDING_VERSION);
        const TCLAP::ValueArg<std::string> config(
            "c", "config", "settings file (JSON, comments allowed)", true, "", "FILE", command);
        const TCLAP::SwitchArg check("", "check-config", "validate the settings file and exit",
                                     command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        const auto outcome = figlanding::loadDaemonSettings(config.getValue());
        for (const auto &fault : outcome.faults) {
            std::cerr << fault << '\n';
        }
        if (!outcome.settings) {
            return exitUsage;
        }
        if (check.getValue()) {
            std::cout << config.getValue() << ": settings are valid\n";
            return 0;
        }
        return runDaemon(*outcome.settings);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "figlandingd: " << error.error() << " " << error.argId() << '\n';
        return exitUsage;
    }
}
