#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/peer_reports.h"
#include "figlanding/timing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// Plans changes of the cluster's member set from heartbeats and from the platform's list of VMs.

namespace figlanding {

/// Settings of FlapDamper.
struct FlapDampingOptions
{
    milliseconds initialHoldDown{500}; ///< required healthy time after one failure
    milliseconds maxHoldDown{60000}; ///< upper limit of the hold-down time
    milliseconds failureWindow{120000}; ///< the count restarts if the last failure is older

    auto operator==(const FlapDampingOptions &) const -> bool = default;
};

/// Exponential hold-down for items that fail repeatedly.
///
/// An item must stay healthy for its hold-down time before it is accepted again. Each further
/// failure within FlapDampingOptions::failureWindow of the previous one doubles that time.
/// @tparam Id identifier type of the items
template <typename Id>
class FlapDamper
{
public:
    explicit FlapDamper(FlapDampingOptions options = {})
        : m_options(options)
    { }

    /// Records a failure of @p id at @p now.
    auto onFailure(const Id &id, TimePoint now) -> void
    {
        auto &history = m_histories[id];
        const auto recent = history.failures > 0 && now - history.last < m_options.failureWindow;
        history.failures = recent ? history.failures + 1 : 1;
        history.last = now;
    }

    /// Returns how long @p id must stay healthy before it is accepted again; zero if it has not
    /// failed within FlapDampingOptions::failureWindow.
    [[nodiscard]] auto holdDownTime(const Id &id, TimePoint now) const -> milliseconds
    {
        const auto found = m_histories.find(id);
        if (found == m_histories.end() || now - found->second.last >= m_options.failureWindow) {
            return milliseconds::zero();
        }
        auto hold = m_options.initialHoldDown;
        for (std::uint32_t i = 1; i < found->second.failures && hold < m_options.maxHoldDown; ++i) {
            hold *= 2;
        }
        return hold < m_options.maxHoldDown ? hold : m_options.maxHoldDown;
    }

private:
    struct History
    {
        std::uint32_t failures = 0;
        TimePoint last;
    };

    FlapDampingOptions m_options;
    std::map<Id, History> m_histories;
};

/// An entry of the platform's list of VMs.
struct VmListEntry
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress peerAddress;
    bool leaving = false;

    auto operator==(const VmListEntry &) const -> bool = default;
};

/// Time without an entry in the platform's list after which a silent VM counts as removed by the
/// platform. Also the age from which the list itself is too old to be used.
inline constexpr milliseconds vmAbsenceTimeout{10000};

/// Settings of MembershipPlanner.
struct MembershipOptions
{
    VmId self;
    Timing timing;
    FlapDampingOptions damping;
};

/// Proposes the next member change. The caller appends one change to the log at a time.
///
/// A member is silent if no heartbeat of it has arrived for the suspicion timeout.
class MembershipPlanner
{
public:
    explicit MembershipPlanner(MembershipOptions options);

    /// Records the platform's list of VMs as read at @p now.
    auto onVmList(const std::vector<VmListEntry> &entries, TimePoint now) -> void;

    /// Updates liveness and failure counts from the members and the reports. Call at every tick.
    auto update(const ClusterState &state, const PeerReports &reports, TimePoint now) -> void;

    /// Returns the next member change, if any. In order of priority: a restarted member rejoins
    /// with its new incarnation, a leaving or silent member is removed, a new VM joins.
    [[nodiscard]] auto next(const ClusterState &state, const PeerReports &reports,
                            TimePoint now) const -> std::optional<MemberChange>;

    /// Returns the members without a heartbeat for the suspicion timeout.
    [[nodiscard]] auto silentMembers(const ClusterState &state, const PeerReports &reports,
                                     TimePoint now) const -> std::vector<VmId>;

    /// Returns the members that are silent and have been absent from the platform's list for
    /// vmAbsenceTimeout.
    [[nodiscard]] auto removedByPlatform(const ClusterState &state, const PeerReports &reports,
                                         TimePoint now) const -> std::set<VmId>;

private:
    [[nodiscard]] auto isSilent(const VmId &vm, const PeerReports &reports, TimePoint now) const
        -> bool;
    /// Returns whether @p member may be removed: it is leaving, or it is silent and either has been
    /// removed by the platform or, with a majority of the members alive, is also suspected by a
    /// member other than this VM.
    [[nodiscard]] auto mayRemove(const Member &member, const ClusterState &state,
                                 const PeerReports &reports, TimePoint now) const -> bool;
    /// Returns whether @p vm may join: it is alive, can confirm, is not leaving, and its hold-down
    /// time has passed.
    [[nodiscard]] auto mayJoin(const VmId &vm, const PeerReports::Entry &entry, TimePoint now) const
        -> bool;
    /// Returns whether @p vm has been absent from the platform's list for vmAbsenceTimeout.
    [[nodiscard]] auto isDelisted(const VmId &vm, TimePoint now) const -> bool;
    [[nodiscard]] auto rejoin(const ClusterState &state, const PeerReports &reports,
                              TimePoint now) const -> std::optional<MemberChange>;
    [[nodiscard]] auto removal(const ClusterState &state, const PeerReports &reports,
                               TimePoint now) const -> std::optional<MemberChange>;
    [[nodiscard]] auto join(const ClusterState &state, const PeerReports &reports,
                            TimePoint now) const -> std::optional<MemberChange>;

    MembershipOptions m_options;
    FlapDamper<VmId> m_damper;
    std::map<VmId, TimePoint> m_memberFirstSeenAt; ///< first update() with this member
    std::map<VmId, TimePoint> m_aliveSince; ///< start of uninterrupted heartbeats
    std::map<VmId, TimePoint> m_lastListedAt; ///< newest list that has the VM
    std::set<VmId> m_listedLeaving;
    std::optional<TimePoint> m_firstListAt;
    std::optional<TimePoint> m_lastListAt;
};

} // namespace figlanding
