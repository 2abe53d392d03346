#pragma once

#include "figlanding/gateway/key_controller.h"
#include "figlanding/random.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Simulation of controllers, a store and servers that own keys, for tests of KeyController. Time
/// is simulated and runs are deterministic for a seed. Commands and appends may be lost, unanswered
/// or delayed, servers crash, restart or become unreachable, and the elected controller changes.

namespace figlanding::tests {

/// Faults that the simulation injects. Shares are probabilities from 0 to 1.
struct KeySimulationFaults
{
    double lostCommand = 0.0; ///< share of commands that never arrive
    double lostResponse = 0.0; ///< share of commands that take effect without a response
    /// Share of grants that take effect 2 to 12 s late, without a response.
    double lateCommand = 0.0;
    /// Share of grants in whose place of a response a copy of an earlier acceptance arrives, where
    /// one can arrive. It combines with lostCommand, lateCommand and refusals by the server.
    double copiedAcceptance = 0.0;
    double unknownAppend = 0.0; ///< share of appends that take effect without a response, or late
    double refusedConnection = 0.0; ///< share of grants whose connection a live server refuses
    bool crashes = false; ///< servers crash and restart as a new incarnation
    milliseconds minDowntime{2000}; ///< after a crash; longer than the renewal interval
    bool unreachableServers = false; ///< commands do not reach a server for some seconds
    /// Servers are cut off for some seconds: their connections are refused, and their entries
    /// expire.
    bool refusingCuts = false;
    bool leaderChanges = false; ///< another controller is elected from time to time
    bool storePartitions = false; ///< a controller cannot reach the store for some seconds
    double otherRecords = 0.0; ///< records per second that other VMs append to the topic
    bool controllerRestarts = false; ///< a controller's process ends and another one starts
};

/// Servers that fall silent for good at the same time, without a closed port. They may still run,
/// so that their leases count until they end.
struct SilentLoss
{
    std::size_t servers = 0;
    milliseconds at{}; ///< since the start of the run
};

/// Result of one run.
struct KeySimulationResult
{
    std::string violation; ///< how sole ownership was violated; empty if it was not
    std::size_t unowned = 0; ///< sampled keys without an owner at the end of the run
    std::uint64_t records = 0; ///< in the topic at the end
    Term terms = 0; ///< claims that took effect
    /// From SilentLoss::at until every sampled key has an owner for good.
    milliseconds ownedAgainAfter{};
};

/// Settings of one run.
struct KeySimulationOptions
{
    std::uint64_t seed = 1;
    std::size_t servers = 4;
    KeySimulationFaults faults;
    SilentLoss loss;
    /// Times since the start of the run at which the other controller is elected.
    std::vector<milliseconds> leaderChangesAt;
    std::vector<milliseconds> restartsAt; ///< the same for restarts of all controllers
    /// Whether a controller that is elected no more loses its contact to the store for good.
    bool formerLeaderLosesStore = false;
    bool reportsLeases = true; ///< whether controllers report their last grants to the next one
    seconds faultDuration{40}; ///< first part of the run, with faults
    seconds recoveryDuration{30}; ///< second part of the run, without new faults
    /// Changes the settings of each controller, such as to make it incorrect on purpose.
    std::function<void(KeyControllerOptions &)> adjustOptions;
};

/// Runs the simulation until its end or the first violation.
[[nodiscard]] auto runKeySimulation(const KeySimulationOptions &options) -> KeySimulationResult;

} // namespace figlanding::tests
