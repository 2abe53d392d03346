#include "figlanding/move_progress.h"

#include "figlanding/freshness.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

using MovesByBegin = std::map<LogOffset, OpenMove>;

auto moveAt(MovesByBegin &moves, const ServiceId &service, LogOffset begin) -> OpenMove &
{
    auto &move = moves[begin];
    move.service = service;
    move.begin = begin;
    return move;
}

auto collectMoves(const ServiceId &service, const ServiceAssignments &assignments) -> MovesByBegin
{
    auto moves = MovesByBegin{};
    for (std::size_t shard = 0; shard < assignments.shards.size(); ++shard) {
        const auto &assignment = assignments.shards[shard];
        if (!assignment.moving()) {
            continue;
        }
        auto &move = moveAt(moves, service, assignment.begin);
        if (!assignment.owner.empty()) {
            move.owners[assignment.owner].shards.push_back(static_cast<ShardIndex>(shard));
        }
    }
    for (const auto &[key, assignment] : assignments.isolatedKeys) {
        if (!assignment.moving()) {
            continue;
        }
        auto &move = moveAt(moves, service, assignment.begin);
        if (!assignment.owner.empty()) {
            move.owners[assignment.owner].keys.push_back(key);
        }
    }
    return moves;
}

// Returns whether all members of the older set are in the newer set with the same incarnation.
auto retainsAllMembers(const std::map<VmId, Member> &older, const std::map<VmId, Member> &newer)
    -> bool
{
    return std::all_of(older.begin(), older.end(), [&](const auto &entry) {
        const auto found = newer.find(entry.first);
        return found != newer.end() && found->second.incarnation == entry.second.incarnation;
    });
}

} // namespace

auto openMoves(const ClusterState &state) -> std::vector<OpenMove>
{
    auto result = std::vector<OpenMove>{};
    for (const auto &[service, assignments] : state.assignments) {
        for (auto &[begin, move] : collectMoves(service, assignments)) {
            result.push_back(std::move(move));
        }
    }
    return result;
}

MoveProgress::MoveProgress(Timing timing)
    : m_timing(timing)
{ }

auto MoveProgress::update(const ClusterState &state, const std::vector<OpenMove> &moves,
                          const PeerReports &reports, const std::set<VmId> &removedVms,
                          TimePoint now) -> void
{
    recordMemberChange(state);
    auto trackedOffsets = std::set<LogOffset>{state.membersSince};
    for (const auto &move : moves) {
        trackedOffsets.insert(move.begin);
    }
    std::erase_if(m_progress,
                  [&](const auto &entry) { return !trackedOffsets.contains(entry.first); });
    for (const auto offset : trackedOffsets) {
        updateRecord(offset, state, reports, removedVms, now);
    }
}

auto MoveProgress::updateRecord(LogOffset offset, const ClusterState &state,
                                const PeerReports &reports, const std::set<VmId> &removedVms,
                                TimePoint now) -> void
{
    std::size_t appliedCount = 0;
    std::size_t drainedCount = 0;
    for (const auto &[vm, member] : state.members) {
        const auto *report = reports.findForMember(member);
        const auto hasApplied = report != nullptr && report->appliedOffset >= offset;
        appliedCount += hasApplied || removedVms.contains(vm) ? 1 : 0;
        drainedCount += hasApplied && report->drainedOffset >= offset ? 1 : 0;
    }
    auto &progress = m_progress[offset];
    progress.appliedByAll = appliedCount == state.members.size();
    progress.drainedByAll = drainedCount == state.members.size();
    if (!progress.majorityAt && appliedCount >= majorityOf(state.members.size())) {
        progress.majorityAt = now;
    }
}

auto MoveProgress::recordMemberChange(const ClusterState &state) -> void
{
    if (state.membersSince == m_membersSince && state.term == m_term) {
        return;
    }
    // If the term changed, another controller may have removed and added back members between two
    // updates, so comparing the sets does not show that members were only added.
    m_onlyAddedMembers = state.term == m_term && retainsAllMembers(m_members, state.members);
    m_term = state.term;
    m_membersSince = state.membersSince;
    m_members = state.members;
}

auto MoveProgress::membersEffective(TimePoint now) const -> bool
{
    if (m_members.empty()) {
        return true;
    }
    const auto found = m_progress.find(m_membersSince);
    if (found != m_progress.end() && m_onlyAddedMembers && found->second.appliedByAll) {
        return true;
    }
    return elapsedSinceMajority(m_membersSince,
                                m_timing.viewLifetime + m_timing.clockDriftAllowance, now);
}

auto MoveProgress::drained(LogOffset begin, TimePoint now) const -> bool
{
    const auto found = m_progress.find(begin);
    return found != m_progress.end() && found->second.drainedByAll
        && elapsedSinceMajority(m_membersSince, unacknowledgedWait(m_timing), now);
}

auto MoveProgress::mayRevoke(LogOffset begin, TimePoint now) const -> bool
{
    const auto found = m_progress.find(begin);
    return found != m_progress.end()
        && (found->second.drainedByAll
            || elapsedSinceMajority(begin, m_timing.exclusiveDeadline, now));
}

auto MoveProgress::olderViewsExpired(LogOffset begin, TimePoint now) const -> bool
{
    return elapsedSinceMajority(begin, unacknowledgedWait(m_timing), now);
}

auto MoveProgress::mayCommit(const OpenMove &move, bool revoked, TimePoint now) const -> bool
{
    if (move.owners.empty()) {
        return true;
    }
    return (revoked && drained(move.begin, now)) || olderViewsExpired(move.begin, now);
}

auto MoveProgress::elapsedSinceMajority(LogOffset offset, Duration wait, TimePoint now) const
    -> bool
{
    const auto found = m_progress.find(offset);
    return found != m_progress.end() && found->second.majorityAt
        && now >= *found->second.majorityAt + wait;
}

} // namespace figlanding
