#pragma once

#include "figlanding/freshness.h"
#include "figlanding/move_progress.h"
#include "figlanding/peer_reports.h"
#include "figlanding/sharding.h"
#include "figlanding/state_machine.h"
#include "ownership_explorer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The model of the fleet that explore() checks: its states, and the events that lead from one
/// state to the next.

namespace figlanding::explorer {

/// One sequence of log records, with the cluster state after each of them.
struct History
{
    std::vector<std::shared_ptr<const ClusterState>> states; ///< by offset
    std::string text; ///< names of the records after the initial ones
    /// Sequences with one more record, by its name.
    mutable std::map<std::string, std::shared_ptr<const History>> next;

    [[nodiscard]] auto tail() const -> LogOffset
    {
        return states.size() - 1;
    }
};

/// Returns @p history with one more record. Equal sequences share one object.
/// @param name identifies the payload among the records that can follow @p history
[[nodiscard]] auto extend(const std::shared_ptr<const History> &history, const std::string &name,
                          RecordPayload payload) -> std::shared_ptr<const History>;
/// Returns the log at the start of every run: the declared objects, the members, and the shard
/// assigned to server "old".
[[nodiscard]] auto startHistory(std::size_t members) -> std::shared_ptr<const History>;
[[nodiscard]] auto vmName(std::size_t index) -> VmId;
[[nodiscard]] auto incarnationName(int number) -> std::string;
[[nodiscard]] auto serviceName() -> ServiceId;

/// Time that passes with each tick event.
inline constexpr milliseconds tickInterval{100};
/// Index of the VM that may dispatch.
inline constexpr std::size_t observedVm = 1;

/// Returns short time limits in whole ticks, which keep the number of states small.
inline auto timing() -> Timing
{
    return {.viewLifetime = 2 * tickInterval,
            .clockDriftAllowance = milliseconds::zero(),
            .serverLease = tickInterval,
            .exclusiveDeadline = tickInterval};
}

/// State of one VM.
struct Vm
{
    int incarnation = 0;
    LogOffset applied = 0; ///< last applied record
    LogOffset drained = 0; ///< see PeerReport::drainedOffset
    bool hasReadLog = false;
    bool isRunning = true; ///< false for a joiner that has not started
};

/// One state of the model. VM 0 is the controller, VM 1 the observed VM.
struct FleetState
{
    std::shared_ptr<const History> history;
    LogOffset start = 0; ///< tail of the initial log
    TimePoint now;
    std::vector<Vm> vms;
    ViewFreshness view; ///< of the observed VM
    std::optional<Confirmation> delayedAnswer; ///< in transit to the observed VM
    TimePoint requestEndsAt; ///< latest end of the observed VM's requests
    TimePoint earlierRequestEndsAt; ///< the same for its previous incarnations
    PeerReports reports;
    MoveProgress progress;
    int restarts = 0;
    int memberChanges = 0;
    LogOffset moveOffset = 0; ///< offset of the BeginMoves record; 0 before it
    bool committed = false;
};

/// An event and the resulting state.
struct Successor
{
    std::string event;
    FleetState fleet;
};

[[nodiscard]] auto initialFleet(const ExplorerOptions &options) -> FleetState;
/// Appends the successors of @p fleet, one for each event that is possible in it.
auto addSuccessors(const ExplorerOptions &options, const FleetState &fleet,
                   std::vector<Successor> &successors) -> void;
/// Returns whether the invariant is violated: the move is committed, but the old owner may still
/// run a request.
[[nodiscard]] auto hasTwoOwners(const ExplorerOptions &options, const FleetState &fleet) -> bool;
/// Returns a canonical encoding of @p fleet. States with equal encodings are equivalent: only
/// properties that affect later events are included, with times relative to FleetState::now.
[[nodiscard]] auto fingerprint(const FleetState &fleet) -> std::string;

} // namespace figlanding::explorer
