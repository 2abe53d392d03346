#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/peer_reports.h"
#include "figlanding/timing.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// Determines when a move that has begun may be committed.

namespace figlanding {

/// The shards and isolated keys of one owner within a move.
struct MovingItems
{
    std::vector<ShardIndex> shards;
    std::vector<std::string> keys;

    auto operator==(const MovingItems &) const -> bool = default;
};

/// The assignments of a service that one BeginMoves record changed and that are not yet committed.
struct OpenMove
{
    ServiceId service;
    LogOffset begin = 0; ///< offset of the BeginMoves record
    std::map<BackendServerId, MovingItems> owners; ///< by current owner; unowned items are left out

    auto operator==(const OpenMove &) const -> bool = default;
};

/// Returns the moves that are not yet committed, ordered by service and begin offset.
[[nodiscard]] auto openMoves(const ClusterState &state) -> std::vector<OpenMove>;

/// Progress of the members in applying and draining one record.
struct RecordProgress
{
    std::optional<TimePoint> majorityAt; ///< when a majority was first known to have applied it
    bool appliedByAll = false; ///< every member has applied it or was removed by the platform
    /// No member has a request in flight that it dispatched to an exclusive service under a view
    /// older than the record.
    bool drainedByAll = false;
};

/// Tracks which members have applied and drained the records of open moves and of the last member
/// change.
class MoveProgress
{
public:
    explicit MoveProgress(Timing timing);

    /// Updates the progress from the latest reports. Call it at every tick.
    /// @param moves openMoves() of @p state
    /// @param removedVms members that the platform has removed, which no longer dispatch requests
    ///     or confirm views; they count as having applied every record
    auto update(const ClusterState &state, const std::vector<OpenMove> &moves,
                const PeerReports &reports, const std::set<VmId> &removedVms, TimePoint now)
        -> void;

    /// Returns whether the last member change is effective: no VM holds a fresh view that is older
    /// than the change.
    [[nodiscard]] auto membersEffective(TimePoint now) const -> bool;

    /// Returns whether all members have drained @p begin and no VM that the last member change
    /// replaced can still have a request in flight.
    [[nodiscard]] auto drained(LogOffset begin, TimePoint now) const -> bool;

    /// Returns whether the revocation may be sent to the old owners: all members have drained
    /// @p begin, or the deadline of every request dispatched under an older view has passed, as
    /// exclusiveDeadline has elapsedSinceMajority since a majority applied @p begin.
    [[nodiscard]] auto mayRevoke(LogOffset begin, TimePoint now) const -> bool;

    /// Returns whether a majority has applied @p begin, every older view has expired on all VMs,
    /// and the deadline of every request dispatched under such a view has passed.
    [[nodiscard]] auto olderViewsExpired(LogOffset begin, TimePoint now) const -> bool;

    /// Returns whether @p move may be committed.
    /// @param revoked whether all old owners have acknowledged the revocation
    [[nodiscard]] auto mayCommit(const OpenMove &move, bool revoked, TimePoint now) const -> bool;

    /// Returns the progress of each open move and of the last member change, by record offset.
    [[nodiscard]] auto progress() const -> const std::map<LogOffset, RecordProgress> &
    {
        return m_progress;
    }

private:
    auto updateRecord(LogOffset offset, const ClusterState &state, const PeerReports &reports,
                      const std::set<VmId> &removedVms, TimePoint now) -> void;
    auto recordMemberChange(const ClusterState &state) -> void;
    [[nodiscard]] auto elapsedSinceMajority(LogOffset offset, Duration wait, TimePoint now) const
        -> bool;

    Timing m_timing;
    /// By begin offset of a move, or by the offset of the last member change.
    std::map<LogOffset, RecordProgress> m_progress;
    Term m_term = 0;
    std::map<VmId, Member> m_members;
    LogOffset m_membersSince = 0; ///< offset of the last member change
    bool m_onlyAddedMembers = false; ///< the last member change, in the same term, only added VMs
};

} // namespace figlanding
