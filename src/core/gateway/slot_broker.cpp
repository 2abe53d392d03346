#include "figlanding/gateway/slot_broker.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace figlanding {

namespace {

constexpr seconds grantWindow{1};
constexpr milliseconds minRetryAfter{50};
constexpr milliseconds retryAfterWithoutServers{300};

auto excludes(const SlotRequest &request, const BackendServerId &server) -> bool
{
    const auto &list = request.excluded;
    return std::find(list.begin(), list.end(), server) != list.end();
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
        m_decisions.push_back(
            {.id = request.id, .outcome = SlotGrant{granted->second.incarnation}});
        return;
    }
    if (isWaiting(request.id)) {
        return;
    }
    auto &group = m_groups[request.service];
    const auto wait = expectedWait(group, request, countAhead(group, request), now);
    if (!wait) {
        refuse(request, retryAfterWithoutServers);
        return;
    }
    if (now + *wait + minServiceTime(group, request) > request.deadline) {
        refuse(request, *wait);
        return;
    }
    group.waiting.push_back(request);
    m_waiting.emplace(request.id, request.service);
    dispatch(group, now);
}

auto SlotBroker::release(const TicketId &id, const SlotResult &result, TimePoint now) -> void
{
    if (const auto waiting = m_waiting.extract(id); !waiting.empty()) {
        std::erase_if(m_groups[waiting.mapped()].waiting,
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

auto SlotBroker::recordLoss(Server &server, const AvailabilityZoneId &zone, bool reached,
                            TimePoint now) -> void
{
    constexpr auto maxDoublings = 4U;
    auto &failures = server.failuresByZone[zone];
    failures.losses += 1;
    failures.probes = 0;
    failures.mayHaveRestarted = failures.mayHaveRestarted || !reached;
    if (reached && failures.losses == 1) {
        return; // after a single lost response, the next request probes the server without a pause
    }
    const auto factor = std::exp2(std::min(failures.losses - 1, maxDoublings));
    const auto pause = std::min(toMilliseconds(m_options.initialBackoff) * factor,
                                toMilliseconds(m_options.maxBackoff));
    failures.pausedUntil = now + fromMilliseconds(pause);
}

auto SlotBroker::recordResponse(Server &server, const AvailabilityZoneId &zone, TimePoint now)
    -> void
{
    const auto failures = server.failuresByZone.find(zone);
    if (failures == server.failuresByZone.end()) {
        return;
    }
    if (failures->second.mayHaveRestarted) {
        server.mayBeColdUntil = now + m_options.unannouncedRestartWindow;
    }
    server.failuresByZone.erase(failures);
}

// A keyed server that restarted declines all requests until it owns keys again, and by then its
// announcement has arrived. The suspected restart therefore matters only for unkeyed requests.
auto SlotBroker::isCold(const Server &server, const SlotRequest &request, TimePoint now) -> bool
{
    const auto maybe = request.owner.empty() && server.mayBeColdUntil > now
        && server.info.coldRequestsPerSecond > 0.0;
    return maybe || server.info.coldUntil > now;
}

auto SlotBroker::releaseSlot(Server &server, const AvailabilityZoneId &zone) -> void
{
    server.running -= server.running > 0 ? 1 : 0;
    if (const auto failures = server.failuresByZone.find(zone);
        failures != server.failuresByZone.end()) {
        failures->second.probes -= failures->second.probes > 0 ? 1 : 0;
    }
}

auto SlotBroker::recordResult(Server &server, const ActiveGrant &granted, const SlotResult &result,
                              TimePoint now) -> void
{
    releaseSlot(server, granted.zone);
    if (result.load) {
        server.slowness = std::clamp(result.load->slowness, 0.1, 20.0);
        server.loadReportedAt = now;
    }
    if (result.terms) {
        server.limit.onTerms(*result.terms, granted.grantedAt, now);
    }
    recordEnd(server, granted.zone, result, now);
}

auto SlotBroker::recordEnd(Server &server, const AvailabilityZoneId &zone, const SlotResult &result,
                           TimePoint now) -> void
{
    switch (result.end) {
    case SlotEnd::Served:
    case SlotEnd::Failed: {
        recordResponse(server, zone, now);
        // Service time normalized to the server's usual speed.
        const auto sample = toMilliseconds(result.elapsed)
            / std::max(1.0, result.load ? result.load->slowness : 1.0);
        const auto update = [&](double &average, double value) {
            average =
                average == 0.0 ? value : average + m_options.serviceTimeWeight * (value - average);
        };
        update(server.normalizedMs, sample);
        update(server.observedMs, toMilliseconds(result.elapsed));
        break;
    }
    case SlotEnd::Declined:
        server.pausedUntil = std::max(server.pausedUntil, now + m_options.declineBackoff);
        break;
    case SlotEnd::Lost:
        recordLoss(server, zone, true, now);
        break;
    case SlotEnd::Unreachable:
        recordLoss(server, zone, false, now);
        break;
    case SlotEnd::TimedOut:
        // The timeout of a request that had little time left is no evidence of a server failure.
        if (toMilliseconds(result.elapsed)
            > observedServiceMs(server) * m_options.timeoutLossFactor) {
            recordLoss(server, zone, true, now);
        }
        break;
    case SlotEnd::Abandoned:
        break;
    }
}

// Returns the losses that apply to VMs of a zone: those seen in the zone itself, or those of
// another zone if at least two zones have seen losses.
auto SlotBroker::failuresFor(const Server &server, const AvailabilityZoneId &zone)
    -> const ZoneFailures *
{
    const auto own = server.failuresByZone.find(zone);
    if (own != server.failuresByZone.end()) {
        return &own->second;
    }
    return server.failuresByZone.size() >= 2 ? &server.failuresByZone.begin()->second : nullptr;
}

auto SlotBroker::unavailableUntil(const Server &server, const AvailabilityZoneId &zone) -> TimePoint
{
    const auto *failures = failuresFor(server, zone);
    return failures == nullptr ? server.pausedUntil
                               : std::max(server.pausedUntil, failures->pausedUntil);
}

auto SlotBroker::canAccept(const Server &server, const SlotRequest &request, TimePoint now) const
    -> bool
{
    const auto &zone = request.zone;
    if (!server.info.acceptsRequests || unavailableUntil(server, zone) > now
        || server.running >= server.info.slots || !server.limit.accepts(m_limitShare, now)) {
        return false;
    }
    // After a loss, only one request at a time probes whether the server has recovered.
    const auto *failures = failuresFor(server, zone);
    if (failures != nullptr && failures->probes > 0) {
        return false;
    }
    if (isCold(server, request, now)) {
        const auto recent = std::count_if(server.grants.begin(), server.grants.end(),
                                          [&](TimePoint at) { return now - at < grantWindow; });
        return static_cast<double>(recent) + 1.0 <= coldRate(server);
    }
    return true;
}

auto SlotBroker::observedServiceMs(const Server &server) const -> double
{
    return server.observedMs > 0.0 ? server.observedMs
                                   : toMilliseconds(m_options.assumedServiceTime);
}

auto SlotBroker::coldRate(const Server &server) const -> double
{
    return server.info.coldRequestsPerSecond * m_options.coldRateFraction;
}

auto SlotBroker::expectedMs(const Server &server, TimePoint now) const -> double
{
    const auto usual = server.normalizedMs > 0.0 ? server.normalizedMs
                                                 : toMilliseconds(m_options.assumedServiceTime);
    const auto current = now - server.loadReportedAt < m_options.loadReportLifetime;
    return usual * (current ? server.slowness : 1.0);
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
        const auto ms = expectedMs(server, now) * zoneCost * busy;
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
    return fromMilliseconds(typicalServiceMs(group, request) * m_options.minServiceTimeFraction);
}

// Returns the rate at which a server completes requests, within its cold rate and its limit.
auto SlotBroker::requestsPerMs(const Server &server, const SlotRequest &request,
                               TimePoint now) const -> double
{
    constexpr auto msPerSecond = 1000.0;
    auto result = server.info.slots / observedServiceMs(server);
    if (isCold(server, request, now)) {
        result = std::min(result, coldRate(server) / msPerSecond);
    }
    if (const auto pace = server.limit.pace(m_limitShare, now)) {
        result = std::min(result, *pace / msPerSecond);
    }
    return result;
}

auto SlotBroker::throughput(const ServiceGroup &group, const SlotRequest &request,
                            TimePoint now) const -> Throughput
{
    auto result = Throughput{};
    const auto add = [&](const Server &server) {
        if (!server.info.acceptsRequests) {
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

auto SlotBroker::countAhead(const ServiceGroup &group, const SlotRequest &request) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(group.waiting.begin(), group.waiting.end(), [&](const SlotRequest &other) {
            return other.owner == request.owner && other.priority <= request.priority;
        }));
}

auto SlotBroker::expectedWait(const ServiceGroup &group, const SlotRequest &request,
                              std::size_t ahead, TimePoint now) const -> std::optional<Duration>
{
    const auto servers = throughput(group, request, now);
    if (servers.perMs <= 0.0) {
        return servers.pause;
    }
    if (servers.hasFreeSlot && ahead == 0) {
        return Duration::zero();
    }
    return fromMilliseconds(static_cast<double>(ahead + 1) / servers.perMs);
}

// Refuses each request that cannot be served in time after those ahead of it in the queue.
auto SlotBroker::refuseInfeasible(ServiceGroup &group, TimePoint now) -> void
{
    auto ahead = std::map<BackendServerId, std::size_t>{};
    std::erase_if(group.waiting, [&](const SlotRequest &request) {
        auto &count = ahead[request.owner];
        const auto wait = expectedWait(group, request, count, now);
        // Without available servers a request keeps waiting: the registry or the owner may change.
        const auto needed = wait.value_or(Duration::zero()) + minServiceTime(group, request);
        if (now + needed <= request.deadline) {
            ++count;
            return false;
        }
        m_waiting.erase(request.id);
        refuse(request, wait.value_or(retryAfterWithoutServers));
        return true;
    });
}

auto SlotBroker::grant(const SlotRequest &request, Server &server, TimePoint now) -> void
{
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
                                  .grantedAt = now,
                                  .expiresAt = request.deadline + m_options.ticketGrace};
    m_decisions.push_back({.id = request.id, .outcome = SlotGrant{server.info.incarnation}});
}

auto SlotBroker::refuse(const SlotRequest &request, Duration retryAfter) -> void
{
    // Adds jitter, so that refused callers do not retry simultaneously.
    auto spread = std::uniform_real_distribution<double>(0.7, 1.6);
    const auto base = std::max<Duration>(retryAfter, minRetryAfter);
    m_decisions.push_back(
        {.id = request.id,
         .outcome = SlotRefusal{fromMilliseconds(toMilliseconds(base) * spread(m_random))}});
}

auto SlotBroker::dispatch(ServiceGroup &group, TimePoint now) -> void
{
    // Within a priority, requests that can still meet their objective precede those that cannot.
    const auto order = [&](const SlotRequest &request) {
        return std::tuple(request.priority, request.objectiveAt <= now, request.arrivedAt);
    };
    const auto before = [&](const auto &left, const auto &right) {
        return order(left) < order(right);
    };
    if (!std::is_sorted(group.waiting.begin(), group.waiting.end(), before)) {
        std::stable_sort(group.waiting.begin(), group.waiting.end(), before);
    }
    // If there is no slot for a request, there is none for the next one of the same owner and zone.
    auto full = std::set<std::pair<BackendServerId, AvailabilityZoneId>>{};
    std::erase_if(group.waiting, [&](const SlotRequest &request) {
        const auto kind = std::pair(request.owner, request.zone);
        if (full.contains(kind) || now + minServiceTime(group, request) > request.deadline) {
            return false;
        }
        auto *server = selectServer(group, request, now);
        if (server == nullptr) {
            if (request.excluded.empty()) {
                full.insert(kind);
            }
            return false;
        }
        m_waiting.erase(request.id);
        grant(request, *server, now);
        return true;
    });
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
    for (const auto &request : m_groups.at(waiting->second).waiting) {
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

auto SlotBroker::serviceTimes() const -> std::map<BackendServerId, milliseconds>
{
    auto result = std::map<BackendServerId, milliseconds>{};
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, server] : group.servers) {
            if (server.normalizedMs > 0.0) {
                result.emplace(id, milliseconds(std::llround(server.normalizedMs)));
            }
        }
    }
    return result;
}

auto SlotBroker::limits(TimePoint now) const -> std::map<BackendServerId, double>
{
    auto result = std::map<BackendServerId, double>{};
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, server] : group.servers) {
            if (const auto limit = server.limit.requestsPerSecond(now)) {
                result.emplace(id, *limit);
            }
        }
    }
    return result;
}

auto SlotBroker::statedLimits(TimePoint now) const -> std::vector<ServerLimit>
{
    auto result = std::vector<ServerLimit>{};
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, server] : group.servers) {
            if (const auto limit = server.limit.report(now)) {
                result.push_back({.server = server.info.incarnation, .limit = *limit});
            }
        }
    }
    return result;
}

auto SlotBroker::onLimitReport(const VmId &from, const ServerLimit &limit, TimePoint now) -> void
{
    for (auto &[service, group] : m_groups) {
        const auto found = group.servers.find(limit.server.server);
        if (found != group.servers.end() && found->second.info.incarnation == limit.server) {
            found->second.limit.onReport(from, limit.limit, now);
        }
    }
}

} // namespace figlanding
