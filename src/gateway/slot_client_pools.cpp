#include "gateway/slot_client.h"

#include <algorithm>
#include <random>

/// @file
/// The pools of a SlotClient: which version's servers a request chooses among.

namespace figlanding {

auto SlotClient::pickPool(const SlotRequest &request) -> ServiceId
{
    if (!m_versionRules.contains(request.service)) {
        return request.service;
    }
    const auto &excluded = request.excluded;
    const auto failedOnTrial =
        std::any_of(excluded.begin(), excluded.end(),
                    [this](const auto &server) { return m_newVersionServers.contains(server); });
    auto unit = std::uniform_real_distribution<double>(0.0, 1.0);
    return choosePool(m_versionRules, request.service, failedOnTrial, unit(m_random));
}

auto SlotClient::moveStranded(TimePoint now) -> void
{
    if (m_versionRules.empty()) {
        return;
    }
    auto stranded = std::vector<std::uint64_t>{};
    for (const auto &[number, ticket] : m_tickets) {
        if (!ticket.granted && !mayWaitAt(m_versionRules, ticket.service, ticket.pool)) {
            stranded.push_back(number);
        }
    }
    for (const auto number : stranded) {
        // Moving another request may have brought about a decision on this one.
        const auto found = m_tickets.find(number);
        if (found == m_tickets.end() || found->second.granted) {
            continue;
        }
        auto entry = m_tickets.extract(found);
        auto &ticket = entry.mapped();
        if (ticket.decidedLocally) {
            m_fallbackBroker.release(ticket.request.id, {.end = SlotEnd::Abandoned}, now);
        } else {
            withdraw(ticket, now);
        }
        m_ticketNumbers.erase(ticket.requestNumber);
        ticket.request.service = ticket.service;
        ticket.request.service = pickPool(ticket.request);
        acquireFrom(ticket.service, std::move(ticket.request), ticket.requestNumber, now);
    }
}

auto SlotClient::countTickets(const ServiceId &pool,
                              const std::function<bool(const BackendServerId &)> &isMeant) const
    -> std::size_t
{
    const auto count = std::count_if(m_tickets.begin(), m_tickets.end(), [&](const auto &item) {
        const auto &ticket = item.second;
        if (ticket.granted) {
            return isMeant(ticket.server.server);
        }
        const auto &owner = ticket.request.owner;
        return owner.empty() ? ticket.pool == pool : isMeant(owner);
    });
    return static_cast<std::size_t>(count);
}

} // namespace figlanding
