#pragma once

#include "figlanding/fold.h"
#include "figlanding/freshness.h"
#include "figlanding/move_progress.h"
#include "figlanding/peer_reports.h"
#include "figlanding/sharding.h"
#include "ownership_explorer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The states and events of the ownership explorer.

namespace figlanding::explorer {

/// States of the log after each record, for one sequence of records.
struct History
{
    std::vector<std::shared_ptr<const ClusterState>> states; ///< by offset
    std::string text; ///< the records after the common start
    mutable std::map<std::string, std::shared_ptr<const History>> next; ///< longer sequences

    [[nodiscard]] auto tail() const -> LogOffset
    {
        return states.size() - 1;
    }
};

/// Returns @p history with one more record; equal sequences share one object.
[[nodiscard]] auto extend(const std::shared_ptr<const History> &history, const std::string &name,
                          RecordPayload payload) -> std::shared_ptr<const History>;
/// Returns the log with the objects, the members and the first owner.
[[nodiscard]] auto startHistory(std::size_t members) -> std::shared_ptr<const History>;
[[nodiscard]] auto vmName(std::size_t index) -> VmId;
[[nodiscard]] auto incarnationName(int number) -> std::string;
[[nodiscard]] auto serviceName() -> ServiceId;

/// Time between two tick events.
inline constexpr milliseconds step{100};
/// Index of the observed VM.
inline constexpr std::size_t observed = 1;

/// Returns short limits in whole steps, which keep the number of states small.
inline auto timing() -> Timing
{
    return {.viewLifetime = 2 * step,
            .clockDriftAllowance = milliseconds::zero(),
            .serverLease = step,
            .exclusiveDeadline = step};
}

struct Vm
{
    int incarnation = 0;
    LogOffset folded = 0;
    LogOffset drained = 0;
    bool hasReadLog = false;
    bool isRunning = true; ///< a joiner starts later
};

/// One state of the fleet. VM 0 is the controller, VM 1 the observed VM.
struct World
{
    std::shared_ptr<const History> history;
    LogOffset start = 0; ///< tail of the log when the exploration begins
    TimePoint now;
    std::vector<Vm> vms;
    ViewFreshness view; ///< of the observed VM
    std::optional<Confirmation> late;
    TimePoint runsUntil; ///< end of the last request of the observed VM
    TimePoint earlierRunsUntil; ///< the same for its earlier incarnations
    PeerReports reports;
    MoveProgress progress;
    int restarts = 0;
    int memberChanges = 0;
    LogOffset begin = 0;
    bool committed = false;
};

/// An event and the state after it.
struct Successor
{
    std::string event;
    World world;
};

[[nodiscard]] auto startWorld(const ExplorerOptions &options) -> World;
/// Adds the states after all events that are possible in @p world.
auto addSuccessors(const ExplorerOptions &options, const World &world,
                   std::vector<Successor> &successors) -> void;
/// Returns whether the old owner may run a request although the new one owns the shard.
[[nodiscard]] auto hasTwoOwners(const ExplorerOptions &options, const World &world) -> bool;
/// Returns the parts of @p world that matter; times are relative to the present.
[[nodiscard]] auto fingerprint(const World &world) -> std::string;

} // namespace figlanding::explorer
