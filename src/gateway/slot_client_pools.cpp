#include "gateway/slot_client.h"

#include <algorithm>
#include <random>

/// @file
/// The pools of a SlotClient: which version's servers a request chooses among,
/// and how it begins to wait for one of them.

namespace figlanding {

auto SlotClient::pickPool(const SlotRequest &request) -> ServiceId
{
    if (!m_versionRules.contains(request.service)) {
        return request.service;
    }
    const auto &failed = request.failedOn;
    const auto failedOnTrial =
        std::any_of(failed.begin(), failed.end(),
                    [this](const auto &server) { return m_newVersionServers.contains(server); });
    auto unit = std::uniform_real_distribution<double>(0.0, 1.0);
    return choosePool(m_versionRules, request.service, failedOnTrial, unit(m_random));
}

auto SlotClient::revisionOf(const ServiceId &service) const -> std::uint64_t
{
    const auto rule = m_versionRules.find(service);
    return rule == m_versionRules.end() ? 0 : rule->second.revision;
}

auto SlotClient::startIn(const ServiceId &pool, Ticket ticket, TimePoint now) -> void
{
    ticket.pool = pool;
    ticket.request.service = pool;
    ticket.request.service = pickGroup(ticket.request, now);
    start(std::move(ticket), now);
}

auto SlotClient::start(Ticket ticket, TimePoint now) -> void
{
    const auto number = m_nextTicket++;
    ticket.request.id = {.vm = m_options.self, .process = m_options.process, .number = number};
    ticket.decidedLocally = false;
    ticket.responsibleVm = findResponsibleVm(ticket.request.service, now);
    ticket.vmsTried = 1;
    ticket.lastResponseAt = now;
    m_ticketNumbers[ticket.requestNumber] = number;
    m_groupChoice.onSent(ticket.groupOfAnyServer());
    auto &started = m_tickets[number];
    started = std::move(ticket);
    const auto isOwn = started.responsibleVm == m_options.self;
    sendAcquire(number, started, now);
    if (isOwn) {
        moveIfEarlier(number, now);
    }
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
        const auto pool = pickPool(ticket.request);
        startIn(pool, std::move(ticket), now);
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
