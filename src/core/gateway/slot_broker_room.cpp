#include "figlanding/gateway/slot_broker.h"

#include <algorithm>

/// @file
/// What a SlotBroker tells other VMs of its groups.

namespace figlanding {

auto SlotBroker::room(const ServiceId &service, TimePoint now) const -> GroupRoom
{
    constexpr auto msPerSecond = 1000.0;
    const auto found = m_groups.find(service);
    if (found == m_groups.end()) {
        return {};
    }
    const auto &group = found->second;
    auto anyRequest = SlotRequest{};
    anyRequest.service = service;
    auto result = GroupRoom{};
    for (const auto &[id, server] : group.servers) {
        if (!server.info.acceptsRequests || unavailableUntil(server, anyRequest.zone) > now) {
            continue;
        }
        result.requestsPerSecond += requestsPerMs(server, anyRequest, now) * msPerSecond;
        if (canAccept(server, anyRequest, now)) {
            // A cold server is limited by its rate, not by its slots.
            const auto slots = server.info.slots - server.running;
            result.freeSlots += isCold(server, anyRequest, now) ? 1 : slots;
        }
    }
    result.waiting = static_cast<std::uint32_t>(
        std::count_if(group.waiting.begin(), group.waiting.end(),
                      [](const SlotRequest &request) { return request.owner.empty(); }));
    return result;
}

} // namespace figlanding
