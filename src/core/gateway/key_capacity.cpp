#include "figlanding/gateway/key_capacity.h"

#include <algorithm>
#include <vector>

namespace figlanding {

namespace {

constexpr double referenceMs = 150.0; ///< service time of a server whose slots count once
constexpr double minMedianShare = 0.5; ///< a server counts as twice as fast as the median at most
constexpr double maxMedianMultiple = 3.0; ///< and as three times as slow at most
/// A limit lowers a server's share of the keys to this part at most: limits may change within
/// seconds, and keys that move are slow for a while.
constexpr double maxLimitedMultiple = 3.0;

} // namespace

ServerCapacities::ServerCapacities(const ServerRegistry &registry, const ServiceId &service,
                                   const std::map<BackendServerId, milliseconds> &serviceTimes,
                                   const std::map<BackendServerId, double> *limits)
    : m_serviceTimes(serviceTimes)
    , m_limits(limits)
{
    auto times = std::vector<double>{};
    for (const auto &[id, server] : registry.servers()) {
        const auto time = serviceTimes.find(id);
        if (server.entry.service == service && time != serviceTimes.end()) {
            times.push_back(std::max(1.0, static_cast<double>(time->second.count())));
        }
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_medianMs = times.empty() ? referenceMs : *middle;
}

auto ServerCapacities::of(const RegisteredServer &server) const -> double
{
    const auto time = m_serviceTimes.find(server.entry.id);
    const auto ms =
        time == m_serviceTimes.end() ? m_medianMs : static_cast<double>(time->second.count());
    const auto credible =
        std::clamp(ms, m_medianMs * minMedianShare, m_medianMs * maxMedianMultiple);
    const auto bySlots = server.entry.slots * referenceMs / credible;
    if (m_limits == nullptr || !m_limits->contains(server.entry.id)) {
        return bySlots;
    }
    constexpr auto msPerSecond = 1000.0;
    const auto byLimit = m_limits->at(server.entry.id) * referenceMs / msPerSecond;
    return std::clamp(byLimit, bySlots / maxLimitedMultiple, bySlots);
}

} // namespace figlanding
