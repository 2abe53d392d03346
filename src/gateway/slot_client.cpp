#include "gateway/slot_client.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace figlanding {

namespace {

auto toMs(Duration duration) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

auto groupName(const ServiceId &service, std::size_t group) -> ServiceId
{
    return ServiceId(service.value() + "#" + std::to_string(group));
}

} // namespace

SlotClient::SlotClient(SlotClientOptions options, const FleetView &view,
                       SlotClientHandlers handlers)
    : m_options(std::move(options))
    , m_view(view)
    , m_handlers(std::move(handlers))
    , m_broker(m_options.broker, m_options.randomSeed)
    , m_fallbackBroker(m_options.broker, m_options.randomSeed + 1)
    , m_random(m_options.randomSeed + 2)
{ }

auto SlotClient::groupOf(const ServiceId &service, const BackendServerId &server) const -> ServiceId
{
    const auto count = m_groupCounts.find(service);
    const auto groups = count == m_groupCounts.end() ? std::size_t{1} : count->second;
    const auto &name = server.value();
    return groupName(service, XXH3_64bits(name.data(), name.size()) % groups);
}

auto SlotClient::pickGroup(const SlotRequest &request) -> ServiceId
{
    if (!request.owner.empty()) {
        return groupOf(request.service, request.owner);
    }
    const auto count = m_groupCounts.find(request.service);
    const auto groups = count == m_groupCounts.end() ? std::size_t{1} : count->second;
    return groupName(request.service, m_random() % groups);
}

auto SlotClient::setServers(const ServerRegistry &registry,
                            const std::map<ServiceId, double> &coldRates) -> void
{
    auto counts = std::map<ServiceId, std::size_t>{};
    for (const auto &[id, server] : registry.servers()) {
        counts[server.entry.service] += 1;
    }
    for (const auto &[service, count] : counts) {
        // The number of groups never shrinks: with fewer groups the hash would assign servers to
        // other groups whenever servers are lost.
        auto &groups = m_groupCounts[service];
        groups = std::max(groups, (count + m_options.groupSize - 1) / m_options.groupSize);
    }
    auto groups = std::map<ServiceId, std::vector<BrokeredServer>>{};
    for (const auto &[service, count] : m_groupCounts) {
        for (std::size_t i = 0; i < count; ++i) {
            groups[groupName(service, i)];
        }
    }
    for (const auto &[id, server] : registry.servers()) {
        const auto &entry = server.entry;
        const auto rate = coldRates.find(entry.service);
        groups[groupOf(entry.service, id)].push_back(
            {.life = {.server = id, .bornUnixMs = entry.bornUnixMs},
             .zone = entry.zone,
             .slots = entry.slots,
             .coldRequestsPerSecond = rate == coldRates.end() ? 0.0 : rate->second,
             .coldUntil = server.coldUntil,
             .takesWork = registry.takesWork(server)});
    }
    for (auto &[group, servers] : groups) {
        m_broker.setServers(group, servers);
        for (auto &server : servers) {
            server.slots = 1;
            // Nothing for cold servers: other VMs may be sending to them as well.
            server.coldRequestsPerSecond = 0.0;
        }
        m_fallbackBroker.setServers(group, servers);
    }
}

auto SlotClient::ask(SlotRequest request, TimePoint now) -> void
{
    request.service = pickGroup(request);
    request.id.vm = m_options.self;
    request.zone = m_options.zone;
    const auto number = request.id.number;
    auto &ticket = m_tickets[number];
    ticket = {.request = std::move(request), .lastAnswerAt = now};
    ticket.home = homeOf(ticket.request.service, now);
    sendAsk(number, ticket, now);
}

auto SlotClient::sendAsk(std::uint64_t number, Ticket &ticket, TimePoint now) -> void
{
    const auto &request = ticket.request;
    ticket.sentAt = now;
    if (ticket.home == m_options.self) {
        m_broker.ask(request, now);
        deliver(m_broker);
        return;
    }
    m_handlers.send(ticket.home,
                    SlotAcquire{.ticket = number,
                                .service = request.service,
                                .owner = request.owner,
                                .excluded = request.excluded,
                                .priority = request.priority,
                                .zone = request.zone,
                                .waited = toMs(now - request.arrivedAt),
                                .objectiveIn = toMs(request.objectiveAt - now),
                                .deadlineIn = toMs(request.deadline - now)});
}

// Returns the VM that hands out the slots of a group, excluding VMs that did not answer recently.
// Liveness alone is not enough: when packets are lost in one direction, heartbeats of a VM arrive
// here although it does not receive requests of this VM.
auto SlotClient::homeOf(const ServiceId &group, TimePoint now) -> VmId
{
    std::erase_if(m_avoidedUntil, [&](const auto &item) { return item.second <= now; });
    auto avoided = std::set<VmId>{};
    for (const auto &[vm, until] : m_avoidedUntil) {
        avoided.insert(vm);
    }
    return m_view.home(group.value(), now, avoided);
}

auto SlotClient::decideLocally(std::uint64_t number, Ticket &ticket, TimePoint now) -> void
{
    m_handlers.send(ticket.home, SlotRelease{.ticket = number, .end = SlotEnd::Abandoned});
    ticket.decidedLocally = true;
    m_fallbackBroker.ask(ticket.request, now);
}

auto SlotClient::finish(std::uint64_t ticket, const SlotResult &result, TimePoint now) -> void
{
    const auto entry = m_tickets.extract(ticket);
    if (entry.empty()) {
        return;
    }
    const auto id = TicketId{.vm = m_options.self, .number = ticket};
    if (entry.mapped().decidedLocally) {
        m_fallbackBroker.finish(id, result, now);
        deliver(m_fallbackBroker);
    } else if (entry.mapped().home == m_options.self) {
        m_broker.finish(id, result, now);
        deliver(m_broker);
    } else {
        m_handlers.send(entry.mapped().home,
                        SlotRelease{.ticket = ticket,
                                    .end = result.end,
                                    .elapsed = toMs(result.elapsed),
                                    .load = result.load});
    }
}

auto SlotClient::deliver(SlotBroker &broker) -> void
{
    for (const auto &decision : broker.takeDecisions()) {
        if (decision.id.vm == m_options.self) {
            resolveTicket(decision.id.number, decision.outcome);
            continue;
        }
        auto answer = SlotResponse{.ticket = decision.id.number};
        if (const auto *grant = std::get_if<SlotGrant>(&decision.outcome)) {
            answer.state = SlotState::Granted;
            answer.server = grant->server;
        } else {
            answer.state = SlotState::Refused;
            answer.retryAfter = toMs(std::get<SlotRefusal>(decision.outcome).retryAfter);
        }
        m_handlers.send(decision.id.vm, answer);
    }
}

auto SlotClient::resolveTicket(std::uint64_t number,
                               const std::variant<SlotGrant, SlotRefusal> &outcome) -> void
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || found->second.granted) {
        return;
    }
    if (std::holds_alternative<SlotGrant>(outcome)) {
        found->second.granted = true;
    } else {
        m_tickets.erase(found);
    }
    m_handlers.decided(number, outcome);
}

auto SlotClient::onMessage(const VmId &from, const FleetPayload &payload, TimePoint now) -> void
{
    if (const auto *ask = std::get_if<SlotAcquire>(&payload)) {
        onAsk(from, *ask, now);
    } else if (const auto *answer = std::get_if<SlotResponse>(&payload)) {
        onAnswer(from, *answer, now);
    } else if (const auto *done = std::get_if<SlotRelease>(&payload)) {
        m_broker.finish({.vm = from, .number = done->ticket},
                        {.end = done->end, .elapsed = done->elapsed, .load = done->load}, now);
        deliver(m_broker);
    }
}

auto SlotClient::onAsk(const VmId &from, const SlotAcquire &ask, TimePoint now) -> void
{
    const auto id = TicketId{.vm = from, .number = ask.ticket};
    m_broker.ask({.id = id,
                  .service = ask.service,
                  .owner = ask.owner,
                  .excluded = ask.excluded,
                  .priority = ask.priority,
                  .zone = ask.zone,
                  .arrivedAt = now - ask.waited,
                  .objectiveAt = now + ask.objectiveIn,
                  .deadline = now + ask.deadlineIn},
                 now);
    deliver(m_broker);
    if (m_broker.isWaiting(id)) {
        m_handlers.send(from, SlotResponse{.ticket = ask.ticket, .state = SlotState::Queued});
    }
}

auto SlotClient::onAnswer(const VmId &from, const SlotResponse &answer, TimePoint now) -> void
{
    const auto found = m_tickets.find(answer.ticket);
    const auto expected = found != m_tickets.end() && !found->second.granted
        && !found->second.decidedLocally && found->second.home == from;
    if (!expected) {
        const auto duplicate = found != m_tickets.end() && found->second.home == from;
        if (answer.state == SlotState::Granted && !duplicate) {
            m_handlers.send(from, SlotRelease{.ticket = answer.ticket, .end = SlotEnd::Abandoned});
        }
        return;
    }
    found->second.lastAnswerAt = now;
    m_avoidedUntil.erase(from);
    if (answer.state == SlotState::Granted) {
        resolveTicket(answer.ticket, SlotGrant{answer.server});
    } else if (answer.state == SlotState::Refused) {
        resolveTicket(answer.ticket, SlotRefusal{answer.retryAfter});
    }
}

auto SlotClient::tick(TimePoint now) -> void
{
    m_broker.tick(now);
    m_fallbackBroker.tick(now);
    auto overdue = std::vector<std::uint64_t>{};
    for (const auto &[number, ticket] : m_tickets) {
        if (!ticket.granted && !ticket.decidedLocally
            && now - ticket.sentAt >= m_options.resendAfter) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        const auto found = m_tickets.find(number);
        if (found == m_tickets.end()) {
            continue;
        }
        auto &ticket = found->second;
        if (ticket.home != m_options.self && now - ticket.lastAnswerAt > m_options.failoverAfter) {
            m_avoidedUntil[ticket.home] = now + m_options.avoidFor;
        }
        const auto home = homeOf(ticket.request.service, now);
        if (home == ticket.home) {
            if (home != m_options.self) {
                sendAsk(number, ticket, now);
            }
            continue;
        }
        if (ticket.homesTried > 1) {
            // Asking a third VM would use up the time that is left.
            decideLocally(number, ticket, now);
            continue;
        }
        m_handlers.send(ticket.home, SlotRelease{.ticket = number, .end = SlotEnd::Abandoned});
        ticket.home = home;
        ticket.homesTried += 1;
        ticket.lastAnswerAt = now;
        sendAsk(number, ticket, now);
    }
    deliver(m_broker);
    deliver(m_fallbackBroker);
}

} // namespace figlanding
