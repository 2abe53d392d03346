#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// @file
/// Explicit-state model checker for exclusive ownership. It visits every interleaving of events in
/// a small fleet that moves one shard from server "old" to server "new". Records are applied by the
/// production code, as are ViewFreshness and MoveProgress. Only one VM, the observed VM, may
/// dispatch. Partitions, pauses and lost messages are covered because any event may fail to occur.

namespace figlanding {

/// Protocol rules that a run violates on purpose, to check that the explorer detects it.
struct Faults
{
    bool confirmWithoutRead = false; ///< VMs confirm before their first log read
    bool ignorePeerIncarnation = false; ///< VMs count confirmations of any incarnation
    bool commitWithoutWait = false; ///< the controller does not wait for views to expire
    bool countOldIncarnation = false; ///< the controller counts reports of any incarnation
    bool dispatchAsNonMember = false; ///< VMs dispatch before they have rejoined
    bool changeMembersAtOnce = false; ///< member changes do not wait for the previous one
    bool trustStaleReads = false; ///< stale reads extend the view's lifetime
};

/// Size of the explored fleet, and limits on its events.
struct ExplorerOptions
{
    std::size_t members = 3;
    std::size_t joiners = 0; ///< additional VMs that may join
    int restarts = 1; ///< upper limit
    int memberChanges = 1; ///< upper limit
    bool staleReads = false; ///< log reads may return an older tail
    bool delayAnswers = false; ///< one confirmation at a time may arrive late
    Faults faults;
};

/// Result of explore().
struct Exploration
{
    std::size_t states = 0; ///< number of distinct states visited
    /// Sequence of events that leads to two owners; empty if none was found.
    std::vector<std::string> violation;
};

/// Visits all reachable states by depth-first search. Stops at the first violation.
[[nodiscard]] auto explore(const ExplorerOptions &options) -> Exploration;

} // namespace figlanding
