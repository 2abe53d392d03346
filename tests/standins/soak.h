#pragma once

#include "io/load_runner.h"
#include "standins/fleet.h"
#include "standins/history_checker.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

/// @file
/// Soak test: load on a fleet under random faults, followed by a check of its histories.

namespace figlanding::standins {

/// Configuration of a soak test.
struct SoakOptions
{
    std::string preset = "lavalleja";
    seconds length{30}; ///< duration of the load
    std::uint64_t seed = 1;
    double ratePerSecond = 100.0;
    std::size_t vms = 10;
    std::size_t divisor = 4; ///< scales down the number of servers, see deploymentOf()
    bool faults = true; ///< whether faults are injected
};

/// The result of a soak test.
struct SoakReport
{
    std::map<std::string, std::size_t> faults; ///< number of injections, by name of the fault
    std::string loadText; ///< printed report of the load
    CheckReport check;
};

/// Injects random faults, two at a time. The sequence of faults is determined by the seed.
class FaultSchedule
{
public:
    /// @param log receives a line when a fault is injected and when it is cleared
    FaultSchedule(Fleet &fleet, std::uint64_t seed, std::ostream &log);

    /// Injects two faults on different targets, waits for a random time, and clears them.
    /// @return an error if a process can't be restarted
    auto runRound() -> Result<void>;
    /// Returns the number of injections so far, by name of the fault.
    [[nodiscard]] auto counts() const -> const std::map<std::string, std::size_t> &
    {
        return m_counts;
    }

private:
    /// A fault of one VM, of one server, or of the log.
    struct Fault
    {
        std::string name;
        std::size_t index = 0; ///< of the VM or server; 0 for the log

        auto operator<=>(const Fault &) const = default;
    };

    auto randomBelow(std::size_t bound) -> std::size_t;
    auto randomFault() -> Fault;
    auto inject(const Fault &fault) -> void;
    auto injectOnServer(const Fault &fault) -> void;
    auto clear(const Fault &fault) -> Result<void>;

    Fleet &m_fleet;
    std::mt19937_64 m_random;
    std::ostream &m_log;
    std::map<std::string, std::size_t> m_counts;
};

/// Runs a soak test.
/// @param directory receives settings, output, histories and caller records
/// @param log receives a line per event
/// @return an error if the fleet doesn't become ready or a process can't be restarted
[[nodiscard]] auto runSoak(const SoakOptions &options, const std::string &directory,
                           std::ostream &log) -> Result<SoakReport>;

} // namespace figlanding::standins
