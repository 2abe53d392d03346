#include "standins/soak.h"
#include "standins/standin_program.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

auto print(const SoakReport &report) -> void
{
    std::cout << report.loadText;
    for (const auto &[name, count] : report.faults) {
        std::cout << "fault     " << name << " " << count << "\n";
    }
    std::cout << "executed  " << report.check.executions << "\n";
    for (const auto &violation : report.check.violations) {
        std::cout << "violated  " << toText(violation.kind) << ": " << violation.detail << "\n";
    }
    auto total = std::size_t{0};
    for (const auto &[kind, count] : report.check.counts) {
        std::cout << "violation " << toText(kind) << " " << count << "\n";
        total += count;
    }
    std::cout << "violations " << total << std::endl;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command(
        "Runs a fleet under load and random faults, then checks its execution histories");
    TCLAP::ValueArg<std::string> preset("p", "preset", "lavalleja or reykjavik", false, "lavalleja",
                                        "name", command);
    TCLAP::ValueArg<int> length("", "seconds", "duration of the load", false, 30, "seconds",
                                command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed of load and faults", false, 1,
                                        "number", command);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second", false, 100.0, "number",
                                 command);
    TCLAP::ValueArg<std::size_t> vms("", "vms", "number of VMs", false, 10, "count", command);
    TCLAP::ValueArg<std::string> keep("", "keep",
                                      "folder for output and histories, not removed at the end",
                                      false, "", "folder", command);
    TCLAP::SwitchArg noFaults("", "no-faults", "inject no faults", command);
    command.parse(argc, argv);
    const TemporaryDirectory temporary;
    const auto directory = keep.getValue().empty() ? temporary.path() : keep.getValue();
    std::filesystem::create_directories(directory);
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(report,
                            runSoak({.preset = preset.getValue(),
                                     .length = seconds(length.getValue()),
                                     .seed = seed.getValue(),
                                     .ratePerSecond = rate.getValue(),
                                     .vms = vms.getValue(),
                                     .faults = !noFaults.getValue()},
                                    directory, std::clog));
            print(report);
            return report.check.clean() ? 0 : 1;
        },
        failProgram);
}
