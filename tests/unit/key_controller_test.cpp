#include "key_simulation.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::tests;

namespace {

constexpr std::uint64_t seeds = 40;

const auto allFaults = KeySimulationFaults{.lostCommand = 0.1,
                                           .lostResponse = 0.1,
                                           .lateCommand = 0.1,
                                           .unknownAppend = 0.1,
                                           .refusedConnection = 0.1,
                                           .crashes = true,
                                           .unreachableServers = true,
                                           .leaderChanges = true,
                                           .storePartitions = true,
                                           .controllerRestarts = true};

const auto dozensOfSilentServers = KeySimulationOptions{.servers = 48,
                                                        .loss = {.servers = 30, .at = seconds(10)},
                                                        .faultDuration = seconds(40),
                                                        .recoveryDuration = seconds(1)};

/// A lease that began at the loss, the time that its grant may have taken, and two records.
constexpr auto longestLeaseTime = milliseconds(7500);

// Runs the simulation with all seeds and returns how many runs violate sole ownership.
auto countViolations(const KeySimulationFaults &faults,
                     const std::function<void(KeyControllerOptions &)> &adjustOptions)
    -> std::size_t
{
    auto count = std::size_t{0};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcome =
            runKeySimulation({.seed = seed, .faults = faults, .adjustOptions = adjustOptions});
        count += outcome.violation.empty() ? 0 : 1;
    }
    return count;
}

auto checkSoleAndCompleteOwnership(const KeySimulationFaults &faults) -> void
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcome = runKeySimulation({.seed = seed, .faults = faults});
        CAPTURE(seed);
        CHECK(outcome.violation == "");
        CHECK(outcome.unowned == 0);
    }
}

} // namespace

TEST_CASE("a lease is limited to the maximum that servers accept, and is still renewed in time")
{
    const auto usual = KeyControllerOptions{};
    CHECK(withMaxLease(usual, seconds(10)).lease == usual.lease);
    const auto shorter = withMaxLease(usual, seconds(3));
    CHECK(shorter.lease == seconds(3));
    CHECK(shorter.renewInterval * 3 < shorter.lease);
    CHECK(shorter.controllerLease <= shorter.lease);
}

TEST_CASE("without faults all keys are owned after two records: the claim and the table")
{
    const auto outcome = runKeySimulation({.seed = 1, .faults = {}});
    CHECK(outcome.violation == "");
    CHECK(outcome.unowned == 0);
    CHECK(outcome.records == 2);
}

TEST_CASE("keys have one owner while commands are lost, unanswered or late")
{
    checkSoleAndCompleteOwnership({.lostCommand = 0.2});
    checkSoleAndCompleteOwnership({.lostResponse = 0.2});
    checkSoleAndCompleteOwnership({.lateCommand = 0.3});
}

TEST_CASE("keys have one owner while full servers refuse connections")
{
    checkSoleAndCompleteOwnership({.refusedConnection = 0.5});
    checkSoleAndCompleteOwnership({.refusedConnection = 0.8, .crashes = true});
}

TEST_CASE("keys have one owner while servers crash or become unreachable")
{
    checkSoleAndCompleteOwnership({.crashes = true});
    checkSoleAndCompleteOwnership({.unreachableServers = true});
    checkSoleAndCompleteOwnership(
        {.lateCommand = 0.2, .crashes = true, .unreachableServers = true});
}

// Guards against keys that are given on within the lease of an owner that still works on them.
TEST_CASE("keys have one owner while servers are cut off by cuts that refuse connections")
{
    checkSoleAndCompleteOwnership({.refusingCuts = true});
    checkSoleAndCompleteOwnership(
        {.lostResponse = 0.1, .lateCommand = 0.1, .crashes = true, .refusingCuts = true});
    checkSoleAndCompleteOwnership(
        {.refusingCuts = true, .leaderChanges = true, .storePartitions = true});
}

TEST_CASE("keys have one owner while the elected controller changes and appends take effect late")
{
    checkSoleAndCompleteOwnership({.leaderChanges = true});
    checkSoleAndCompleteOwnership({.unknownAppend = 0.3, .leaderChanges = true});
    checkSoleAndCompleteOwnership(
        {.unknownAppend = 0.3, .leaderChanges = true, .otherRecords = 2.0});
    checkSoleAndCompleteOwnership({.leaderChanges = true, .storePartitions = true});
}

TEST_CASE("keys have one owner under all faults together")
{
    checkSoleAndCompleteOwnership(allFaults);
}

// Guards against a range that is given on while an earlier grant of it may still take effect.
TEST_CASE("keys have one owner while copies of acceptances arrive in place of responses to grants")
{
    checkSoleAndCompleteOwnership(
        {.lateCommand = 0.2, .copiedAcceptance = 0.5, .crashes = true, .unreachableServers = true});
    checkSoleAndCompleteOwnership({.copiedAcceptance = 0.5, .leaderChanges = true});
    auto faults = allFaults;
    faults.copiedAcceptance = 0.1;
    checkSoleAndCompleteOwnership(faults);
}

TEST_CASE("grants that were not sent do not delay the keys of dozens of servers that fell silent")
{
    const auto outcome = runKeySimulation(dozensOfSilentServers);
    CHECK(outcome.violation == "");
    CHECK(outcome.ownedAgainAfter > seconds(4));
    CHECK(outcome.ownedAgainAfter < longestLeaseTime);
}

TEST_CASE("records of other VMs do not delay the keys of dozens of servers that fell silent")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto options = dozensOfSilentServers;
        options.seed = seed;
        options.faults.otherRecords = 15.0;
        const auto outcome = runKeySimulation(options);
        CAPTURE(seed);
        CHECK(outcome.violation == "");
        CHECK(outcome.ownedAgainAfter < longestLeaseTime);
    }
}

TEST_CASE("a new controller waits for the former one's renewals until that one has read its claim")
{
    auto options = dozensOfSilentServers;
    options.leaderChangesAt = {options.loss.at + seconds(1)};
    options.reportsLeases = false;
    // The former controller renews for a second after the loss and then reads the claim.
    constexpr auto untilRead = milliseconds(1900);
    const auto outcome = runKeySimulation(options);
    CHECK(outcome.violation == "");
    CHECK(outcome.ownedAgainAfter < longestLeaseTime + untilRead);
    // One that cannot read it may renew for as long as it acts without contact to the store.
    options.formerLeaderLosesStore = true;
    const auto unread = runKeySimulation(options);
    CHECK(unread.violation == "");
    CHECK(unread.ownedAgainAfter > KeyControllerOptions{}.controllerLease + seconds(7));
}

TEST_CASE("controllers that take turns do not delay the keys of dozens of servers that fell silent")
{
    auto options = dozensOfSilentServers;
    const auto at = options.loss.at;
    options.leaderChangesAt = {at + seconds(1), at + milliseconds(3000), at + milliseconds(3200),
                               at + milliseconds(3300), at + milliseconds(5800)};
    const auto outcome = runKeySimulation(options);
    CHECK(outcome.violation == "");
    CHECK(outcome.ownedAgainAfter < longestLeaseTime + milliseconds(500)); // between two reports
}

TEST_CASE("controllers that all start anew count leases from the end of the processes before them")
{
    auto options = dozensOfSilentServers;
    options.restartsAt = {options.loss.at + seconds(1)};
    options.leaderChangesAt = {options.loss.at + seconds(2)};
    const auto outcome = runKeySimulation(options);
    CHECK(outcome.violation == "");
    CHECK(outcome.ownedAgainAfter < longestLeaseTime + milliseconds(1900));
}

TEST_CASE("keys have one owner while processes of controllers end and others start")
{
    checkSoleAndCompleteOwnership({.leaderChanges = true, .controllerRestarts = true});
    checkSoleAndCompleteOwnership({.lateCommand = 0.2,
                                   .unreachableServers = true,
                                   .leaderChanges = true,
                                   .storePartitions = true,
                                   .controllerRestarts = true});
}

TEST_CASE("a controller without store contact grants nothing to a server that may have restarted")
{
    // The seed leads to this sequence: a successor moves keys away from a server, which then
    // crashes and loses their fences. It would accept a further grant of the former controller,
    // which has lost contact with the store.
    const auto outcome = runKeySimulation({.seed = 198, .faults = allFaults});
    CHECK(outcome.violation == "");
    CHECK(outcome.unowned == 0);
}

TEST_CASE("keys have one owner, and fences still rise, when a term runs out of fences")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcome = runKeySimulation(
            {.seed = seed,
             .faults = {.lateCommand = 0.2, .crashes = true},
             .adjustOptions = [](KeyControllerOptions &options) { options.fencesPerTerm = 100; }});
        CAPTURE(seed);
        CHECK(outcome.violation == "");
        CHECK(outcome.unowned == 0);
        CHECK(outcome.terms > 1);
    }
}

TEST_CASE("the simulation detects a lease that is counted too short")
{
    CHECK(countViolations({.lateCommand = 0.3, .unreachableServers = true},
                          [](KeyControllerOptions &options) { options.clockDrift = -0.95; })
          > 0);
}

TEST_CASE("the simulation detects renewals that continue although another VM may hold the claim")
{
    const auto faults = KeySimulationFaults{
        .unreachableServers = true, .leaderChanges = true, .storePartitions = true};
    CHECK(countViolations(faults, {}) == 0);
    // vm0 keeps renewing without store contact; vm1 assumes that its predecessor stops at once.
    CHECK(countViolations(faults,
                          [](KeyControllerOptions &options) {
                              const auto keepsRenewing = options.self == VmId("vm0");
                              options.controllerLease = keepsRenewing ? seconds(60) : seconds(0);
                              options.clockDrift = -0.9;
                          })
          > 0);
}
