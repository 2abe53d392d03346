#include "io/event_loop.h"
#include "io/load_plan.h"
#include "io/load_runner.h"

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <iostream>

/// @file
/// Open-loop load generator. Exit codes: 0 after a run, 2 for invalid arguments.

namespace {

constexpr int exitUsage = 2;
constexpr int maxSeconds = 3600;

using namespace figlanding;

/// Parsed command-line arguments.
struct Arguments
{
    LoadProfile profile;
    std::vector<SocketAddress> targets;
    double rate = 0.0; ///< requests per second
    int length = 0; ///< duration of the run in seconds
    std::uint64_t seed = 0;
    bool json = false;
};

auto run(const Arguments &arguments) -> int
{
    EventLoop loop;
    auto runner = LoadRunner(loop, LoadPlan(arguments.profile, arguments.rate, arguments.seed),
                             {.targets = arguments.targets, .length = seconds(arguments.length)});
    const auto showsProgress = ::isatty(STDERR_FILENO) == 1;
    auto progress = Timer(loop, [&] {
        std::cerr << "\rsent " << runner.report().planned << ", answered in time "
                  << runner.report().latency.count() << "   " << std::flush;
    });
    if (showsProgress) {
        progress.startRepeating(seconds(1));
    }
    runner.start(nullptr, [&] { loop.stop(); });
    loop.run();
    if (showsProgress) {
        std::cerr << '\n';
    }
    std::cout << (arguments.json ? toJsonText(runner.report()) : toText(runner.report())) << '\n';
    return 0;
}

auto readTargets(const std::vector<std::string> &texts) -> Result<std::vector<SocketAddress>>
{
    auto targets = std::vector<SocketAddress>{};
    for (const auto &text : texts) {
        BOOST_LEAF_AUTO(target, parseSocketAddress(text));
        targets.push_back(target);
    }
    return targets;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command("Open-loop load generator of figlanding", ' ', FIGLANDING_VERSION);
    TCLAP::MultiArg<std::string> targets(
        "t", "target", "caller address of an entry VM; may be repeated", true, "ip:port", command);
    TCLAP::ValueArg<std::string> preset("p", "preset", "lavalleja or reykjavik", false, "lavalleja",
                                        "name", command);
    TCLAP::ValueArg<double> rate("r", "rate", "requests per second", false, 100.0, "number",
                                 command);
    TCLAP::ValueArg<int> length("s", "seconds", "duration of the run", false, 10, "seconds",
                                command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "number", command);
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "form",
                                        command);
    command.parse(argc, argv);
    return valueOrElse(
        [&]() -> Result<int> {
            if (rate.getValue() <= 0.0 || length.getValue() < 1 || length.getValue() > maxSeconds) {
                return fail(ErrorCode::InvalidValue,
                            "--rate must be positive and --seconds between 1 and 3600");
            }
            BOOST_LEAF_AUTO(profile, loadPreset(preset.getValue()));
            BOOST_LEAF_AUTO(addresses, readTargets(targets.getValue()));
            return run({.profile = profile,
                        .targets = addresses,
                        .rate = rate.getValue(),
                        .length = length.getValue(),
                        .seed = seed.getValue(),
                        .json = output.getValue() == "json"});
        },
        [](const Error &error) {
            std::cerr << "figlanding-load: " << describe(error) << '\n';
            return exitUsage;
        });
}
