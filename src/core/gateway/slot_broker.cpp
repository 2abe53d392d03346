#include "figlanding/gateway/slot_broker.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace figlanding {

namespace {

constexpr milliseconds minRetryAfter{50};

auto excludes(const SlotRequest &request, const BackendServerId &server) -> bool
{
    const auto &list = request.excluded;
    return std::find(list.begin(), list.end(), server) != list.end();
}

// Returns the service of a request that any of its servers may run, or an empty name.
auto serviceOfAnyServer(const SlotRequest &request) -> ServiceId
{
    return request.owner.empty() ? request.service : ServiceId();
}

} // namespace

SlotBroker::SlotBroker(const SlotBrokerOptions &options, std::uint64_t randomSeed)
    : m_options(options)
    , m_random(randomSeed)
{ }

auto SlotBroker::setServers(const ServiceId &service, const std::vector<BrokeredServer> &servers)
    -> void
{
    auto &known = m_groups[service].servers;
    for (auto &[id, server] : known) {
        server.info.acceptsRequests = false;
    }
    for (const auto &info : servers) {
        const auto found = known.find(info.incarnation.server);
        if (found != known.end() && found->second.info.incarnation != info.incarnation) {
            known.erase(found);
        }
        known[info.incarnation.server].info = info;
    }
    std::erase_if(known, [](const auto &item) {
        return !item.second.info.acceptsRequests && item.second.running == 0;
    });
}

auto SlotBroker::acquire(const SlotRequest &request, TimePoint now) -> void
{
    if (const auto granted = m_activeGrants.find(request.id); granted != m_activeGrants.end()) {
        m_decisions.push_back({.id = request.id,
                               .outcome = SlotGrant{granted->second.incarnation},
                               .service = serviceOfAnyServer(request)});
        return;
    }
    if (isWaiting(request.id)) {
        return;
    }
    auto &group = m_groups[request.service];
    const auto wait = expectedWait(group, request, workAhead(group, request), now);
    if (!wait) {
        refuse(request, retryAfterWithoutServers);
        return;
    }
    if (now + *wait + minServiceTime(group, request) > request.deadline) {
        refuse(request, *wait);
        return;
    }
    group.waiting.push_back(request);
    m_waiting[request.id] = {.service = request.service, .queuedAt = now, .expectedWait = *wait};
    dispatch(group, now);
}

auto SlotBroker::release(const TicketId &id, const SlotResult &result, TimePoint now) -> void
{
    if (const auto waiting = m_waiting.extract(id); !waiting.empty()) {
        std::erase_if(m_groups[waiting.mapped().service].waiting,
                      [&](const SlotRequest &request) { return request.id == id; });
    }
    const auto granted = m_activeGrants.extract(id);
    if (granted.empty()) {
        return;
    }
    if (auto *server = findServer(granted.mapped())) {
        recordResult(*server, granted.mapped(), result, now);
    }
    dispatch(m_groups[granted.mapped().service], now);
}

auto SlotBroker::withdrawOthers(const VmId &vm, const std::string &process) -> void
{
    const auto isEarlier = [&](const TicketId &id) { return id.vm == vm && id.process != process; };
    if (std::erase_if(m_waiting, [&](const auto &item) { return isEarlier(item.first); }) == 0) {
        return;
    }
    for (auto &[service, group] : m_groups) {
        std::erase_if(group.waiting,
                      [&](const SlotRequest &request) { return isEarlier(request.id); });
    }
}

auto SlotBroker::findServer(const ActiveGrant &granted) -> Server *
{
    auto &servers = m_groups[granted.service].servers;
    const auto found = servers.find(granted.incarnation.server);
    return found != servers.end() && found->second.info.incarnation == granted.incarnation
        ? &found->second
        : nullptr;
}

auto SlotBroker::selectServer(ServiceGroup &group, const SlotRequest &request, TimePoint now)
    -> Server *
{
    if (!request.owner.empty()) {
        const auto found = group.servers.find(request.owner);
        return found != group.servers.end() && canAccept(found->second, request, now)
            ? &found->second
            : nullptr;
    }
    auto *best = static_cast<Server *>(nullptr);
    auto bestMs = std::numeric_limits<double>::max();
    for (auto &[id, server] : group.servers) {
        if (!canAccept(server, request, now) || excludes(request, id)) {
            continue;
        }
        const auto zoneCost = server.info.zone == request.zone ? 1.0 : m_options.crossZonePenalty;
        // A server that runs other requests is often slower than an idle one.
        const auto busy = 1.0 + 0.1 * server.running / std::max(1U, server.info.slots);
        // Each rejection costs an attempt at another server.
        const auto attempts = 1.0 / (1.0 - server.declines.rejectedShare(now));
        const auto ms = expectedMs(server, now) * zoneCost * busy * attempts;
        if (ms < bestMs) {
            best = &server;
            bestMs = ms;
        }
    }
    return best;
}

auto SlotBroker::typicalServiceMs(const ServiceGroup &group, const SlotRequest &request) const
    -> double
{
    if (!request.owner.empty()) {
        const auto found = group.servers.find(request.owner);
        return found == group.servers.end() ? toMilliseconds(m_options.assumedServiceTime)
                                            : observedServiceMs(found->second);
    }
    auto sum = 0.0;
    auto count = 0;
    for (const auto &[id, server] : group.servers) {
        if (server.observedMs > 0.0) {
            sum += server.observedMs;
            ++count;
        }
    }
    return count > 0 ? sum / count : toMilliseconds(m_options.assumedServiceTime);
}

auto SlotBroker::minServiceTime(const ServiceGroup &group, const SlotRequest &request) const
    -> Duration
{
    return fromMilliseconds(typicalServiceMs(group, request) * group.work.factor(request.route)
                            * m_options.minServiceTimeFraction);
}

auto SlotBroker::throughput(const ServiceGroup &group, const SlotRequest &request,
                            TimePoint now) const -> Throughput
{
    auto result = Throughput{};
    const auto add = [&](const Server &server) {
        if (!acceptsRequests(server)) {
            return;
        }
        if (const auto until = unavailableUntil(server, request.zone); until > now) {
            const auto pause = until - now;
            result.pause = std::min(result.pause.value_or(pause), pause);
            return;
        }
        result.hasFreeSlot = result.hasFreeSlot || canAccept(server, request, now);
        result.perMs += requestsPerMs(server, request, now);
    };
    if (!request.owner.empty()) {
        if (const auto found = group.servers.find(request.owner); found != group.servers.end()) {
            add(found->second);
        }
        return result;
    }
    for (const auto &[id, server] : group.servers) {
        if (!excludes(request, id)) {
            add(server);
        }
    }
    return result;
}

auto SlotBroker::grant(const SlotRequest &request, Server &server, TimePoint now) -> void
{
    const auto &queued = m_waiting.at(request.id);
    m_statistics.granted += 1;
    m_statistics.expectedWait += queued.expectedWait;
    m_statistics.actualWait += now - queued.queuedAt;
    m_waiting.erase(request.id);
    server.running += 1;
    for (auto &[zone, failures] : server.failuresByZone) {
        failures.probes += zone == request.zone ? 1 : 0;
    }
    server.grants.push_back(now);
    server.limit.onRequest(m_limitShare, now);
    m_activeGrants[request.id] = {.service = request.service,
                                  .owner = request.owner,
                                  .incarnation = server.info.incarnation,
                                  .zone = request.zone,
                                  .route = request.route,
                                  .grantedAt = now,
                                  .expiresAt = request.deadline + m_options.ticketGrace};
    m_decisions.push_back({.id = request.id,
                           .outcome = SlotGrant{server.info.incarnation},
                           .service = serviceOfAnyServer(request)});
}

auto SlotBroker::refuse(const SlotRequest &request, Duration retryAfter) -> void
{
    m_statistics.refused += 1;
    // Adds jitter, so that refused callers do not retry simultaneously.
    auto spread = std::uniform_real_distribution<double>(0.7, 1.6);
    const auto base = std::max<Duration>(retryAfter, minRetryAfter);
    m_decisions.push_back(
        {.id = request.id,
         .outcome = SlotRefusal{fromMilliseconds(toMilliseconds(base) * spread(m_random))},
         .service = serviceOfAnyServer(request)});
}

auto SlotBroker::tick(TimePoint now) -> void
{
    expireGrants(now);
    for (auto &[service, group] : m_groups) {
        if (!group.waiting.empty()) {
            refuseInfeasible(group, now);
            dispatch(group, now);
        }
    }
}

auto SlotBroker::expireGrants(TimePoint now) -> void
{
    for (auto &[service, group] : m_groups) {
        for (auto &[id, server] : group.servers) {
            while (!server.grants.empty() && now - server.grants.front() >= grantWindow) {
                server.grants.pop_front();
            }
        }
    }
    std::erase_if(m_activeGrants, [&](const auto &item) {
        if (item.second.expiresAt > now) {
            return false;
        }
        if (auto *server = findServer(item.second)) {
            releaseSlot(*server, item.second.zone);
        }
        return true;
    });
}

auto SlotBroker::find(const TicketId &id) const -> std::optional<KnownTicket>
{
    if (const auto granted = m_activeGrants.find(id); granted != m_activeGrants.end()) {
        const auto &grant = granted->second;
        return KnownTicket{.service = grant.service, .owner = grant.owner, .granted = true};
    }
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end()) {
        return std::nullopt;
    }
    for (const auto &request : m_groups.at(waiting->second.service).waiting) {
        if (request.id == id) {
            return KnownTicket{.service = request.service, .owner = request.owner};
        }
    }
    return std::nullopt;
}

auto SlotBroker::isWaiting(const TicketId &id) const -> bool
{
    return m_waiting.contains(id);
}

auto SlotBroker::waiting() const -> std::size_t
{
    return m_waiting.size();
}

auto SlotBroker::takeDecisions() -> std::vector<SlotDecision>
{
    return std::exchange(m_decisions, {});
}

auto SlotBroker::takeStatistics() -> SlotStatistics
{
    return std::exchange(m_statistics, {});
}

} // namespace figlanding
