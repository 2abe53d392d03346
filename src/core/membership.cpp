#include "figlanding/membership.h"

#include "figlanding/freshness.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

auto joinChange(const VmId &vm, const PeerReport &report) -> MemberChange
{
    return MemberChange{.vm = vm,
                        .join = true,
                        .zone = report.zone,
                        .peerAddress = report.peerAddress,
                        .incarnation = report.incarnation};
}

auto suspects(const PeerReport &report, const VmId &vm) -> bool
{
    return std::find(report.suspectedVms.begin(), report.suspectedVms.end(), vm)
        != report.suspectedVms.end();
}

} // namespace

MembershipPlanner::MembershipPlanner(MembershipOptions options)
    : m_options(std::move(options))
    , m_damper(m_options.damping)
{ }

auto MembershipPlanner::onVmList(const std::vector<VmListEntry> &entries, TimePoint now) -> void
{
    m_firstListAt = m_firstListAt.value_or(now);
    m_lastListAt = now;
    m_listedLeaving.clear();
    for (const auto &entry : entries) {
        m_lastListedAt[entry.vm] = now;
        if (entry.leaving) {
            m_listedLeaving.insert(entry.vm);
        }
    }
}

auto MembershipPlanner::update(const ClusterState &state, const PeerReports &reports, TimePoint now)
    -> void
{
    std::erase_if(m_memberFirstSeenAt,
                  [&](const auto &entry) { return !state.members.contains(entry.first); });
    for (const auto &[vm, member] : state.members) {
        m_memberFirstSeenAt.try_emplace(vm, now);
    }
    for (const auto &[vm, entry] : reports.all()) {
        if (reports.isAlive(vm, now, m_options.timing.suspicionTimeout)) {
            m_aliveSince.try_emplace(vm, now);
        } else if (m_aliveSince.erase(vm) > 0) {
            m_damper.onFailure(vm, now);
        }
    }
}

auto MembershipPlanner::next(const ClusterState &state, const PeerReports &reports,
                             TimePoint now) const -> std::optional<MemberChange>
{
    if (auto change = rejoin(state, reports, now)) {
        return change;
    }
    if (auto change = removal(state, reports, now)) {
        return change;
    }
    return join(state, reports, now);
}

auto MembershipPlanner::silentMembers(const ClusterState &state, const PeerReports &reports,
                                      TimePoint now) const -> std::vector<VmId>
{
    auto silent = std::vector<VmId>{};
    for (const auto &[vm, member] : state.members) {
        if (isSilent(vm, reports, now)) {
            silent.push_back(vm);
        }
    }
    return silent;
}

auto MembershipPlanner::removedByPlatform(const ClusterState &state, const PeerReports &reports,
                                          TimePoint now) const -> std::set<VmId>
{
    auto result = std::set<VmId>{};
    for (const auto &[vm, member] : state.members) {
        if (isSilent(vm, reports, now) && isDelisted(vm, now)) {
            result.insert(vm);
        }
    }
    return result;
}

auto MembershipPlanner::isSilent(const VmId &vm, const PeerReports &reports, TimePoint now) const
    -> bool
{
    if (reports.isAlive(vm, now, m_options.timing.suspicionTimeout)) {
        return false;
    }
    const auto seen = m_memberFirstSeenAt.find(vm);
    return seen != m_memberFirstSeenAt.end()
        && now - seen->second >= m_options.timing.suspicionTimeout;
}

auto MembershipPlanner::isDelisted(const VmId &vm, TimePoint now) const -> bool
{
    // Absence from an outdated list proves nothing.
    if (!m_lastListAt || now - *m_lastListAt >= vmAbsenceTimeout) {
        return false;
    }
    const auto listed = m_lastListedAt.find(vm);
    const auto absentSince = listed == m_lastListedAt.end() ? *m_firstListAt : listed->second;
    return now - absentSince >= vmAbsenceTimeout;
}

auto MembershipPlanner::mayRemove(const Member &member, const ClusterState &state,
                                  const PeerReports &reports, TimePoint now) const -> bool
{
    const auto *own = reports.findForMember(member);
    const auto leaving = own != nullptr && own->leaving;
    if (!leaving && !isSilent(member.vm, reports, now)) {
        return false;
    }
    std::size_t alive = 0;
    std::size_t suspecting = 0;
    for (const auto &[vm, other] : state.members) {
        const auto *report = reports.findForMember(other);
        if (vm == member.vm || report == nullptr || isSilent(vm, reports, now)) {
            continue;
        }
        ++alive;
        suspecting += vm != m_options.self && suspects(*report, member.vm) ? 1 : 0;
    }
    if (isDelisted(member.vm, now) || leaving) {
        return true;
    }
    const auto onlyResponder = alive <= 1;
    return alive >= majorityOf(state.members.size()) && (suspecting > 0 || onlyResponder);
}

auto MembershipPlanner::mayJoin(const VmId &vm, const PeerReports::Entry &entry,
                                TimePoint now) const -> bool
{
    const auto since = m_aliveSince.find(vm);
    if (since == m_aliveSince.end() || m_listedLeaving.contains(vm)) {
        return false;
    }
    return entry.report.canConfirm && !entry.report.leaving
        && now - since->second >= m_damper.holdDownTime(vm, now);
}

auto MembershipPlanner::rejoin(const ClusterState &state, const PeerReports &reports,
                               TimePoint now) const -> std::optional<MemberChange>
{
    for (const auto &[vm, member] : state.members) {
        const auto *entry = reports.find(vm);
        if (entry != nullptr && entry->report.incarnation != member.incarnation
            && mayJoin(vm, *entry, now)) {
            return joinChange(vm, entry->report);
        }
    }
    return std::nullopt;
}

auto MembershipPlanner::removal(const ClusterState &state, const PeerReports &reports,
                                TimePoint now) const -> std::optional<MemberChange>
{
    if (state.members.size() <= 1) {
        return std::nullopt;
    }
    for (const auto &[vm, member] : state.members) {
        if (vm != m_options.self && mayRemove(member, state, reports, now)) {
            return MemberChange{.vm = vm,
                                .join = false,
                                .zone = member.zone,
                                .peerAddress = member.peerAddress,
                                .incarnation = member.incarnation};
        }
    }
    return std::nullopt;
}

auto MembershipPlanner::join(const ClusterState &state, const PeerReports &reports,
                             TimePoint now) const -> std::optional<MemberChange>
{
    for (const auto &[vm, entry] : reports.all()) {
        if (!state.members.contains(vm) && mayJoin(vm, entry, now)) {
            return joinChange(vm, entry.report);
        }
    }
    return std::nullopt;
}

} // namespace figlanding
