#include "ownership_explorer.h"

#include <doctest/doctest.h>

#include <iostream>

using namespace figlanding;

namespace {

struct Run
{
    const char *name;
    ExplorerOptions options;
};

auto report(const char *name, const Exploration &result) -> void
{
    std::cout << "explorer: " << name << ": " << result.states << " states";
    if (!result.violation.empty()) {
        std::cout << ", two owners after " << result.violation.size() << " events";
    }
    std::cout << '\n';
}

const Run faultyRuns[] = {
    {"a restarted VM confirms before it has read the log",
     {.memberChanges = 0, .faults = {.confirmWithoutRead = true, .ignorePeerIncarnation = true}}},
    {"a restarted VM confirms after a stale read",
     {.memberChanges = 0, .staleReads = true, .faults = {.ignorePeerIncarnation = true}}},
    {"a move is committed without waiting for views to expire",
     {.memberChanges = 0, .faults = {.commitWithoutWait = true}}},
    {"the drained report of an earlier incarnation counts",
     {.memberChanges = 0, .faults = {.countOldIncarnation = true}}},
    {"a VM dispatches before it has rejoined", {.faults = {.dispatchAsNonMember = true}}},
    {"member changes do not wait for the previous one",
     {.restarts = 0, .memberChanges = 2, .faults = {.changeMembersAtOnce = true}}},
    {"stale reads count as fresh",
     {.restarts = 0, .memberChanges = 0, .staleReads = true, .faults = {.trustStaleReads = true}}},
};

const Run soundRuns[] = {
    {"four VMs, one restart", {.members = 4, .memberChanges = 0}},
    {"three VMs, delayed answers", {.restarts = 0, .memberChanges = 0, .delayAnswers = true}},
    {"five VMs", {.members = 5, .restarts = 0, .memberChanges = 0}},
    {"three VMs, one restart, one member change", {}},
    {"three VMs, one restart, one member change, stale reads", {.staleReads = true}},
};

} // namespace

TEST_CASE("the explorer detects deliberate violations of the protocol")
{
    for (const auto &run : faultyRuns) {
        CAPTURE(run.name);
        const auto result = explore(run.options);
        report(run.name, result);
        CHECK_FALSE(result.violation.empty());
    }
}

TEST_CASE("no interleaving of events leads to two owners of a shard")
{
    for (const auto &run : soundRuns) {
        const auto result = explore(run.options);
        report(run.name, result);
        auto events = std::string{};
        for (const auto &event : result.violation) {
            events += event + "; ";
        }
        CAPTURE(run.name);
        CAPTURE(events);
        CHECK(result.violation.empty());
    }
}
