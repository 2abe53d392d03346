#include "figlanding/gateway/unidentified_rejections.h"

#include <algorithm>
#include <utility>

namespace figlanding {

UnidentifiedRejections::UnidentifiedRejections(const UnidentifiedRejectionsOptions &options)
    : m_options(options)
{ }

auto UnidentifiedRejections::add(const ServerIncarnation &server, bool proven, TimePoint now)
    -> void
{
    m_rejections[server] = {.at = now, .unchecked = !proven};
    if (m_rejections.size() > m_options.maxServers) {
        const auto isEarlier = [](const auto &a, const auto &b) {
            return a.second.at < b.second.at;
        };
        m_rejections.erase(std::min_element(m_rejections.begin(), m_rejections.end(), isEarlier));
    }
}

auto UnidentifiedRejections::takeNewConnection(const ServerIncarnation &server,
                                               Repeatability repeatability, TimePoint now) -> bool
{
    const auto found = m_rejections.find(server);
    if (found == m_rejections.end() || !isRecent(found->second, now)) {
        return false;
    }
    const auto unchecked = std::exchange(found->second.unchecked, false);
    return unchecked || repeatability == Repeatability::AtMostOnce;
}

auto UnidentifiedRejections::expire(TimePoint now) -> void
{
    std::erase_if(m_rejections, [&](const auto &item) { return !isRecent(item.second, now); });
}

auto UnidentifiedRejections::size() const -> std::size_t
{
    return m_rejections.size();
}

auto UnidentifiedRejections::isRecent(const Rejection &rejection, TimePoint now) const -> bool
{
    return now - rejection.at < m_options.memory;
}

} // namespace figlanding
