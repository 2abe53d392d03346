#include "figlanding/peer_reports.h"

#include <utility>

namespace figlanding {

auto PeerReports::onReport(PeerReport report, TimePoint now) -> void
{
    auto vm = report.vm;
    m_entries.insert_or_assign(std::move(vm),
                               Entry{.report = std::move(report), .receivedAt = now});
}

auto PeerReports::find(const VmId &vm) const -> const Entry *
{
    const auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto PeerReports::findForMember(const Member &member) const -> const PeerReport *
{
    const auto *entry = find(member.vm);
    const auto current = entry != nullptr && entry->report.incarnation == member.incarnation;
    return current ? &entry->report : nullptr;
}

auto PeerReports::isAlive(const VmId &vm, TimePoint now, Duration timeout) const -> bool
{
    const auto *entry = find(vm);
    return entry != nullptr && now - entry->receivedAt < timeout;
}

} // namespace figlanding
