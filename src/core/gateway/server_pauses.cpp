#include "figlanding/gateway/server_pauses.h"

#include <algorithm>

namespace figlanding {

auto ServerPauses::add(const ServerIncarnation &server, const ServiceId &service, TimePoint until)
    -> void
{
    auto &pause = m_pauses[server];
    pause.service = service;
    pause.until = std::max(pause.until, until);
}

auto ServerPauses::isPaused(const ServerIncarnation &server, TimePoint now) const -> bool
{
    const auto found = m_pauses.find(server);
    return found != m_pauses.end() && found->second.until > now;
}

auto ServerPauses::pausedServers(const ServiceId &service, TimePoint now) const
    -> std::vector<BackendServerId>
{
    auto result = std::vector<BackendServerId>{};
    for (const auto &[server, pause] : m_pauses) {
        if (pause.service == service && pause.until > now) {
            result.push_back(server.server);
        }
    }
    return result;
}

auto ServerPauses::expire(TimePoint now) -> void
{
    std::erase_if(m_pauses, [&](const auto &item) { return item.second.until <= now; });
}

} // namespace figlanding
