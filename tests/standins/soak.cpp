#include "standins/soak.h"

#include "standins/load_thread.h"
#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <thread>

namespace figlanding::standins {

namespace {

constexpr milliseconds readyLimit{60000};
constexpr milliseconds settleTime{2000}; ///< lets late executions end before the histories are read

/// Writes the caller records as JSON lines, for the analysis of violations.
auto writeCallerRecords(const std::string &path, const std::vector<CallerRecord> &records)
    -> Result<void>
{
    auto text = std::string{};
    for (const auto &record : records) {
        const auto line =
            nlohmann::json{{"request_id", record.requestId},    {"method", record.method},
                           {"target", record.target},           {"team", record.team},
                           {"verdict", toText(record.verdict)}, {"status", record.status},
                           {"sent_ns", record.sentNs},          {"end_ns", record.endNs}};
        text += line.dump() + "\n";
    }
    return writeFile(path, text);
}

} // namespace

auto runSoak(const SoakOptions &options, const std::string &directory, std::ostream &log)
    -> Result<SoakReport>
{
    BOOST_LEAF_AUTO(profile, loadPreset(options.preset));
    BOOST_LEAF_AUTO(fleet,
                    Fleet::start({.deployment = deploymentOf(profile, options.vms, options.divisor),
                                  .directory = directory}));
    BOOST_LEAF_CHECK(fleet->waitReady(readyLimit));
    log << monotonicNs() << " ready" << std::endl;
    auto load = LoadThread(LoadPlan(profile, options.ratePerSecond, options.seed),
                           {.targets = fleet->callerAddresses(), .length = options.length});
    auto faults = FaultSchedule(*fleet, options.seed, log);
    if (options.faults) {
        while (!load.ended()) {
            BOOST_LEAF_CHECK(faults.runRound());
        }
    }
    load.join();
    std::this_thread::sleep_for(settleTime);
    BOOST_LEAF_CHECK(writeCallerRecords(directory + "/callers.jsonl", load.records()));
    BOOST_LEAF_AUTO(histories, fleet->histories());
    return SoakReport{.faults = faults.counts(),
                      .loadText = toText(load.report()),
                      .check = checkHistories(histories, load.records(), {})};
}

} // namespace figlanding::standins
