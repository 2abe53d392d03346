#include "figlanding/gateway/slot_broker.h"

#include <cmath>
#include <cstdint>

/// @file
/// What a SlotBroker tells other VMs of its groups.

namespace figlanding {

auto SlotBroker::room(const ServiceId &service, TimePoint now) const -> GroupRoom
{
    constexpr auto msPerSecond = 1000.0;
    /// Such a pause is over before most VMs choose by what is told here.
    constexpr auto briefPause = milliseconds(250);
    const auto found = m_groups.find(service);
    if (found == m_groups.end()) {
        return {};
    }
    const auto &group = found->second;
    auto anyRequest = SlotRequest{};
    anyRequest.service = service;
    auto result = GroupRoom{};
    for (const auto &[id, server] : group.servers) {
        if (!acceptsRequests(server)
            || unavailableUntil(server, anyRequest.zone) > now + briefPause) {
            continue;
        }
        result.requestsPerSecond += requestsPerMs(server, anyRequest, now) * msPerSecond;
        if (canAccept(server, anyRequest, now)) {
            // A cold server is limited by its rate, not by its slots.
            const auto slots = server.info.slots - server.running;
            result.freeSlots += isCold(server, anyRequest, now) ? 1 : slots;
        }
    }
    // The rate is that of requests of factor 1.
    auto work = 0.0;
    for (const auto &request : group.waiting) {
        work += request.owner.empty() ? group.work.factor(request.route) : 0.0;
    }
    result.waiting = static_cast<std::uint32_t>(std::lround(work));
    return result;
}

} // namespace figlanding
