#pragma once

#include "figlanding/clock.h"
#include "figlanding/cluster_state.h"
#include "figlanding/peer_messages.h"

#include <map>

/// @file
/// Stores the last status report of each VM.

namespace figlanding {

/// The last report of each VM, including this VM's own.
class PeerReports
{
public:
    /// A report and the time of its receipt on this VM's clock.
    struct Entry
    {
        PeerReport report;
        TimePoint receivedAt;
    };

    /// Stores a report in place of the VM's previous one.
    auto onReport(PeerReport report, TimePoint now) -> void;
    /// Returns the last report of @p vm from any incarnation; nullptr if there is none.
    [[nodiscard]] auto find(const VmId &vm) const -> const Entry *;
    /// Returns the last report of a member's VM; nullptr if there is none or if it came from
    /// another incarnation than the one that joined.
    [[nodiscard]] auto findForMember(const Member &member) const -> const PeerReport *;
    /// Returns whether the last report of @p vm is younger than @p timeout at @p now.
    [[nodiscard]] auto isAlive(const VmId &vm, TimePoint now, Duration timeout) const -> bool;
    /// Returns all reports by VM.
    [[nodiscard]] auto all() const -> const std::map<VmId, Entry> &
    {
        return m_entries;
    }

private:
    std::map<VmId, Entry> m_entries;
};

} // namespace figlanding
