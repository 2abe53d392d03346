#include "figlanding/lease_renewal.h"

#include <algorithm>

namespace figlanding {

auto LeaseRenewal::onState(const std::vector<OpenMove> &moves,
                           std::optional<TimePoint> olderViewUntil) -> void
{
    auto next = decltype(m_renewUntil){};
    for (const auto &move : moves) {
        for (const auto &[owner, items] : move.owners) {
            const auto key = std::pair(owner, move.begin);
            const auto known = m_renewUntil.find(key);
            next.emplace(key, known == m_renewUntil.end() ? olderViewUntil : known->second);
        }
    }
    m_renewUntil = std::move(next);
}

auto LeaseRenewal::mayRenew(const BackendServerId &server, TimePoint now) const -> bool
{
    const auto first = m_renewUntil.lower_bound({server, 0});
    for (auto entry = first; entry != m_renewUntil.end() && entry->first.first == server; ++entry) {
        if (!entry->second || now >= *entry->second) {
            return false;
        }
    }
    return true;
}

} // namespace figlanding
