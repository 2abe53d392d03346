#include "figlanding/gateway/connection_trust.h"

#include <algorithm>
#include <utility>

namespace figlanding {

ConnectionTrust::ConnectionTrust(const ConnectionTrustOptions &options)
    : m_options(options)
{ }

auto ConnectionTrust::addRejection(const ServerIncarnation &server, bool proven, TimePoint now)
    -> void
{
    add(server, {.at = now, .unchecked = !proven});
}

auto ConnectionTrust::addViolation(const ServerIncarnation &server, TimePoint now) -> void
{
    const auto found = m_doubts.find(server);
    add(server, {.at = now, .unchecked = found != m_doubts.end() && found->second.unchecked});
}

auto ConnectionTrust::add(const ServerIncarnation &server, Doubt doubt) -> void
{
    m_doubts[server] = doubt;
    if (m_doubts.size() > m_options.maxServers) {
        const auto isEarlier = [](const auto &a, const auto &b) {
            return a.second.at < b.second.at;
        };
        m_doubts.erase(std::min_element(m_doubts.begin(), m_doubts.end(), isEarlier));
    }
}

auto ConnectionTrust::takeNewConnection(const ServerIncarnation &server,
                                        Repeatability repeatability, TimePoint now) -> bool
{
    const auto found = m_doubts.find(server);
    if (found == m_doubts.end() || !isRecent(found->second, now)) {
        return false;
    }
    const auto unchecked = std::exchange(found->second.unchecked, false);
    return unchecked || repeatability == Repeatability::AtMostOnce;
}

auto ConnectionTrust::expire(TimePoint now) -> void
{
    std::erase_if(m_doubts, [&](const auto &item) { return !isRecent(item.second, now); });
}

auto ConnectionTrust::size() const -> std::size_t
{
    return m_doubts.size();
}

auto ConnectionTrust::isRecent(const Doubt &doubt, TimePoint now) const -> bool
{
    return now - doubt.at < m_options.memory;
}

} // namespace figlanding
