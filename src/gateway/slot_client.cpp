#include "gateway/slot_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figlanding {

namespace {

// A receiver refuses a message with a time beyond maxRequestTime.
auto toMs(Duration duration) -> milliseconds
{
    return std::clamp(std::chrono::duration_cast<milliseconds>(duration), -maxRequestTime,
                      maxRequestTime);
}

// Returns whether an acquire of a known ticket asks for other servers.
auto differs(const KnownTicket &known, const KnownTicket &named) -> bool
{
    return known.service != named.service || known.owner != named.owner;
}

} // namespace

auto toText(TicketConflictKind kind) -> std::string_view
{
    switch (kind) {
    case TicketConflictKind::Acquire:
        return "acquire";
    case TicketConflictKind::Response:
        return "response";
    }
    return "unknown";
}

SlotClient::SlotClient(SlotClientOptions options, const FleetView &view,
                       SlotClientHandlers handlers)
    : m_options(std::move(options))
    , m_view(view)
    , m_handlers(std::move(handlers))
    , m_broker(m_options.broker, m_options.randomSeed)
    , m_fallbackBroker(m_options.broker, m_options.randomSeed + 1)
    , m_random(m_options.randomSeed + 2)
    , m_unconfirmedReleases(m_options.releases)
{ }

auto SlotClient::acquire(SlotRequest request, TimePoint now) -> void
{
    const auto service = request.service;
    const auto requestNumber = request.id.number;
    request.service = pickPool(request);
    request.zone = m_options.zone;
    acquireFrom(service, std::move(request), requestNumber, now);
}

auto SlotClient::acquireFrom(const ServiceId &service, SlotRequest request,
                             std::uint64_t requestNumber, TimePoint now) -> void
{
    const auto pool = request.service;
    request.service = pickGroup(request);
    const auto number = m_nextTicket++;
    request.id = {.vm = m_options.self, .process = m_options.process, .number = number};
    m_ticketNumbers[requestNumber] = number;
    auto &ticket = m_tickets[number];
    ticket = {.request = std::move(request),
              .service = service,
              .pool = pool,
              .requestNumber = requestNumber,
              .lastResponseAt = now};
    ticket.responsibleVm = findResponsibleVm(ticket.request.service, now);
    sendAcquire(number, ticket, now);
}

auto SlotClient::sendAcquire(std::uint64_t number, Ticket &ticket, TimePoint now) -> void
{
    const auto &request = ticket.request;
    ticket.sentAt = now;
    if (ticket.responsibleVm == m_options.self) {
        m_broker.acquire(request, now);
        deliver(m_broker, now);
        return;
    }
    m_handlers.send(ticket.responsibleVm,
                    SlotAcquire{.ticket = number,
                                .service = request.service,
                                .owner = request.owner,
                                .excluded = request.excluded,
                                .priority = request.priority,
                                .zone = request.zone,
                                .waited = toMs(now - request.arrivedAt),
                                .objectiveIn = toMs(request.objectiveAt - now),
                                .deadlineIn = toMs(request.deadline - now),
                                .route = request.route});
}

// Returns the VM that allocates the slots of a group, excluding VMs that did not respond recently.
// Liveness alone is not enough: when packets are lost in one direction, heartbeats of a VM arrive
// here although it does not receive requests of this VM.
auto SlotClient::findResponsibleVm(const ServiceId &group, TimePoint now) -> VmId
{
    std::erase_if(m_avoidedUntil, [&](const auto &item) { return item.second <= now; });
    auto avoided = std::set<VmId>{};
    for (const auto &[vm, until] : m_avoidedUntil) {
        avoided.insert(vm);
    }
    return m_view.responsibleVm(group.value(), now, avoided);
}

auto SlotClient::sendRelease(const VmId &to, const SlotRelease &release, TimePoint now) -> void
{
    m_handlers.send(to, release);
    m_unconfirmedReleases.add({.to = to, .release = release}, now);
}

// Withdraws an undecided request from the VM that it was sent to, which may be this one.
auto SlotClient::withdraw(const Ticket &ticket, TimePoint now) -> void
{
    const auto &id = ticket.request.id;
    if (ticket.responsibleVm == m_options.self) {
        m_broker.release(id, {.end = SlotEnd::Abandoned}, now);
        return;
    }
    sendRelease(ticket.responsibleVm, {.ticket = id.number, .end = SlotEnd::Abandoned}, now);
}

auto SlotClient::decideLocally(Ticket &ticket, TimePoint now) -> void
{
    withdraw(ticket, now);
    ticket.decidedLocally = true;
    m_fallbackBroker.acquire(ticket.request, now);
}

auto SlotClient::onLimitReports(const VmId &from, const std::vector<ServerLimit> &limits,
                                TimePoint now) -> void
{
    for (const auto &limit : limits) {
        m_broker.onLimitReport(from, limit, now);
        m_fallbackBroker.onLimitReport(from, limit, now);
    }
}

auto SlotClient::release(std::uint64_t request, const SlotResult &result, TimePoint now) -> void
{
    const auto number = m_ticketNumbers.extract(request);
    if (number.empty()) {
        return;
    }
    const auto entry = m_tickets.extract(number.mapped());
    const auto &id = entry.mapped().request.id;
    if (entry.mapped().granted && m_handlers.onResult) {
        m_handlers.onResult(entry.mapped().request.route, entry.mapped().server, result);
    }
    if (entry.mapped().decidedLocally) {
        m_fallbackBroker.release(id, result, now);
        deliver(m_fallbackBroker, now);
    } else if (entry.mapped().responsibleVm == m_options.self) {
        m_broker.release(id, result, now);
        deliver(m_broker, now);
    } else {
        sendRelease(entry.mapped().responsibleVm,
                    {.ticket = id.number,
                     .end = result.end,
                     .elapsed = toMs(result.elapsed),
                     .load = result.load,
                     .terms = result.terms},
                    now);
    }
}

auto SlotClient::deliver(SlotBroker &broker, TimePoint now) -> void
{
    for (const auto &decision : broker.takeDecisions()) {
        if (decision.id.vm == m_options.self) {
            resolveTicket(decision.id.number, decision.outcome, now);
            continue;
        }
        auto response = SlotResponse{.ticket = decision.id.number};
        response.process = decision.id.process;
        if (const auto *grant = std::get_if<SlotGrant>(&decision.outcome)) {
            response.state = SlotState::Granted;
            response.server = grant->server;
        } else {
            response.state = SlotState::Refused;
            response.retryAfter = toMs(std::get<SlotRefusal>(decision.outcome).retryAfter);
        }
        m_handlers.send(decision.id.vm, response);
    }
}

auto SlotClient::resolveTicket(std::uint64_t number,
                               const std::variant<SlotGrant, SlotRefusal> &outcome, TimePoint now)
    -> void
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || found->second.granted) {
        return;
    }
    const auto requestNumber = found->second.requestNumber;
    if (const auto *grant = std::get_if<SlotGrant>(&outcome)) {
        found->second.granted = true;
        found->second.server = grant->server;
    } else {
        m_ticketNumbers.erase(requestNumber);
        auto ticket = std::move(m_tickets.extract(found).mapped());
        if (const auto pool = fallbackPool(m_versionRules, ticket.service, ticket.pool)) {
            ticket.request.service = *pool;
            acquireFrom(ticket.service, std::move(ticket.request), requestNumber, now);
            return;
        }
    }
    m_handlers.onDecision(requestNumber, outcome);
}

auto SlotClient::onProcess(const VmId &vm, const std::string &process) -> void
{
    constexpr auto maxRemembered = std::size_t{8};
    auto &seen = m_processes[vm];
    if (std::find(seen.begin(), seen.end(), process) != seen.end()) {
        return;
    }
    seen.push_back(process);
    if (seen.size() > maxRemembered) {
        seen.pop_front();
    }
    m_broker.withdrawOthers(vm, process);
}

auto SlotClient::onMessage(const FleetMessage &message, TimePoint now) -> void
{
    onProcess(message.from, message.incarnation);
    if (const auto *acquire = std::get_if<SlotAcquire>(&message.payload)) {
        onAcquire(message, *acquire, now);
    } else if (const auto *response = std::get_if<SlotResponse>(&message.payload)) {
        onResponse(message, *response, now);
    } else if (const auto *release = std::get_if<SlotRelease>(&message.payload)) {
        onRelease(message, *release, now);
    }
}

auto SlotClient::onAcquire(const FleetMessage &message, const SlotAcquire &acquire, TimePoint now)
    -> void
{
    const auto id =
        TicketId{.vm = message.from, .process = message.incarnation, .number = acquire.ticket};
    if (const auto known = m_broker.find(id)) {
        const auto named = KnownTicket{.service = acquire.service, .owner = acquire.owner};
        if (differs(*known, named)) {
            m_handlers.onConflict({.kind = TicketConflictKind::Acquire,
                                   .from = message.from,
                                   .id = id,
                                   .known = *known,
                                   .named = named});
        }
    }
    m_broker.acquire({.id = id,
                      .service = acquire.service,
                      .owner = acquire.owner,
                      .excluded = acquire.excluded,
                      .priority = acquire.priority,
                      .zone = acquire.zone,
                      .arrivedAt = now - acquire.waited,
                      .objectiveAt = now + acquire.objectiveIn,
                      .deadline = now + acquire.deadlineIn,
                      .route = acquire.route},
                     now);
    deliver(m_broker, now);
    if (m_broker.isWaiting(id)) {
        auto response = SlotResponse{.ticket = acquire.ticket, .state = SlotState::Queued};
        response.process = message.incarnation;
        m_handlers.send(message.from, response);
    }
}

auto SlotClient::onRelease(const FleetMessage &message, const SlotRelease &release, TimePoint now)
    -> void
{
    m_broker.release({.vm = message.from, .process = message.incarnation, .number = release.ticket},
                     {.end = release.end,
                      .elapsed = release.elapsed,
                      .load = release.load,
                      .terms = release.terms},
                     now);
    deliver(m_broker, now);
    m_handlers.send(message.from,
                    SlotResponse{.ticket = release.ticket,
                                 .process = message.incarnation,
                                 .state = SlotState::Released});
}

auto SlotClient::onResponse(const FleetMessage &message, const SlotResponse &response,
                            TimePoint now) -> void
{
    const auto &from = message.from;
    // VMs of earlier releases do not name the process that they respond to.
    if (!response.process.empty() && response.process != m_options.process) {
        m_handlers.onConflict(
            {.kind = TicketConflictKind::Response,
             .from = from,
             .id = {.vm = m_options.self, .process = response.process, .number = response.ticket},
             .named = {.owner = response.server.server,
                       .granted = response.state == SlotState::Granted}});
        return;
    }
    if (response.state == SlotState::Released) {
        m_unconfirmedReleases.confirm(from, response.ticket);
        return;
    }
    const auto found = m_tickets.find(response.ticket);
    const auto expected = found != m_tickets.end() && !found->second.granted
        && !found->second.decidedLocally && found->second.responsibleVm == from;
    if (!expected) {
        const auto duplicate = found != m_tickets.end() && !found->second.decidedLocally
            && found->second.responsibleVm == from;
        if (response.state == SlotState::Granted && !duplicate) {
            sendRelease(from, {.ticket = response.ticket, .end = SlotEnd::Abandoned}, now);
        }
        return;
    }
    found->second.lastResponseAt = now;
    m_avoidedUntil.erase(from);
    if (response.state == SlotState::Granted) {
        resolveTicket(response.ticket, SlotGrant{response.server}, now);
    } else if (response.state == SlotState::Refused) {
        resolveTicket(response.ticket, SlotRefusal{response.retryAfter}, now);
    }
}

auto SlotClient::tick(TimePoint now) -> void
{
    moveStranded(now);
    updateColdGrants(now);
    // Without the responsible VM, each VM may be one of all that send to a server.
    m_fallbackBroker.setLimitShare(1.0 / static_cast<double>(m_view.aliveCount(now)));
    m_broker.tick(now);
    m_fallbackBroker.tick(now);
    // Requests that these granted or refused must not move below.
    deliver(m_broker, now);
    deliver(m_fallbackBroker, now);
    for (const auto &[to, release] : m_unconfirmedReleases.takeDue(now)) {
        m_handlers.send(to, release);
    }
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
        if (ticket.responsibleVm != m_options.self
            && now - ticket.lastResponseAt > m_options.failoverAfter) {
            m_avoidedUntil[ticket.responsibleVm] = now + m_options.avoidFor;
        }
        const auto responsibleVm = findResponsibleVm(ticket.request.service, now);
        if (responsibleVm == ticket.responsibleVm) {
            if (responsibleVm != m_options.self) {
                sendAcquire(number, ticket, now);
            }
            continue;
        }
        if (ticket.vmsTried > 1) {
            // A request to a third VM would use up the time that is left.
            decideLocally(ticket, now);
            continue;
        }
        withdraw(ticket, now);
        ticket.responsibleVm = responsibleVm;
        ticket.vmsTried += 1;
        ticket.lastResponseAt = now;
        sendAcquire(number, ticket, now);
    }
    deliver(m_broker, now);
    deliver(m_fallbackBroker, now);
}

} // namespace figlanding
