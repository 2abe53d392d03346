#include "gateway/slot_client.h"

#include <algorithm>
#include <utility>

/// @file
/// How the requests of a SlotClient choose among the groups of their service, and what it tells
/// other VMs for their choices.

namespace figlanding {

auto SlotClient::pickGroup(const SlotRequest &request, TimePoint now) -> ServiceId
{
    if (!request.owner.empty()) {
        return groupOf(request.service, request.owner);
    }
    const auto groups = groupsOf(request.service);
    if (groups.size() == 1) {
        return groups.front();
    }
    updateOwnRooms(now);
    auto &counts = m_groupChoiceCounts;
    const auto &reports = m_groupChoice.reports();
    const auto isKnown = std::any_of(groups.begin(), groups.end(),
                                     [&](const auto &group) { return reports.contains(group); });
    (isKnown ? counts.informed : counts.uninformed) += 1;
    return m_groupChoice.choose(groups, now, m_random);
}

// Returns whether a request may still ask another group: with less time left than a failover takes,
// it could not be refused in time if that group's VM is silent.
auto SlotClient::mayChangeGroup(const Ticket &ticket, TimePoint now) const -> bool
{
    return !ticket.granted && !ticket.decidedLocally
        && ticket.request.deadline - now > m_options.failoverAfter
        && m_dividedGroups.contains(ticket.groupOfAnyServer());
}

auto SlotClient::moveIfEarlier(std::uint64_t number, TimePoint now) -> void
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || found->second.moves >= m_options.maxMoves
        || !mayChangeGroup(found->second, now)) {
        return;
    }
    updateOwnRooms(now);
    const auto earlier = m_groupChoice.chooseForWaiting(
        found->second.groupOfAnyServer(), groupsOf(found->second.pool), now, m_random);
    if (!earlier) {
        return;
    }
    m_groupChoiceCounts.movedWaiting += 1;
    auto ticket = std::move(m_tickets.extract(found).mapped());
    withdraw(ticket, now);
    ticket.request.service = *earlier;
    ticket.moves += 1;
    start(std::move(ticket), now);
}

auto SlotClient::retryElsewhere(std::uint64_t number, TimePoint now) -> bool
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || found->second.wasRefused
        || !mayChangeGroup(found->second, now)) {
        return false;
    }
    updateOwnRooms(now);
    const auto other = m_groupChoice.chooseForRefused(found->second.groupOfAnyServer(),
                                                      groupsOf(found->second.pool), now, m_random);
    if (!other) {
        return false;
    }
    m_groupChoiceCounts.movedRefused += 1;
    auto ticket = std::move(m_tickets.extract(found).mapped());
    ticket.request.service = *other;
    ticket.wasRefused = true;
    start(std::move(ticket), now);
    return true;
}

auto SlotClient::groupRooms(TimePoint now) const -> std::map<ServiceId, GroupRoom>
{
    auto result = std::map<ServiceId, GroupRoom>{};
    for (const auto &group : m_groupsOfAnyServer) {
        if (knowsGrants(group, now)) {
            result.emplace(group, m_broker.room(group, now));
        }
    }
    return result;
}

auto SlotClient::onGroupRooms(const std::map<ServiceId, GroupRoom> &rooms, TimePoint now) -> void
{
    for (const auto &[group, room] : rooms) {
        onRoom(group, room, now);
    }
}

auto SlotClient::roomOf(const ServiceId &group, TimePoint now) const -> std::optional<GroupRoom>
{
    return m_dividedGroups.contains(group) && knowsGrants(group, now)
        ? std::optional(m_broker.room(group, now))
        : std::nullopt;
}

auto SlotClient::onAskedForAnyServer(const ServiceId &group) -> void
{
    if (m_dividedGroups.contains(group)) {
        m_groupsOfAnyServer.insert(group);
    }
}

// The rooms of the groups that this VM is responsible for need no message.
auto SlotClient::updateOwnRooms(TimePoint now) -> void
{
    onGroupRooms(groupRooms(now), now);
}

// A room of an unknown group comes from a VM that knows more servers than this one does yet.
auto SlotClient::onRoom(const ServiceId &group, const std::optional<GroupRoom> &room, TimePoint now)
    -> void
{
    if (room && m_dividedGroups.contains(group)) {
        m_groupChoice.onRoom(group, *room, now);
    }
}

} // namespace figlanding
