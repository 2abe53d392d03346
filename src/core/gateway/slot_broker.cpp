#include "figlanding/gateway/slot_broker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace figlanding {

namespace {

constexpr seconds grantWindow{1};
constexpr milliseconds shortestRetryAfter{50};
constexpr milliseconds retryWithoutServers{300};

auto toMs(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto fromMs(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

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
    for (auto &[id, server] : m_servers) {
        if (server.service == service) {
            server.info.takesWork = false;
        }
    }
    for (const auto &info : servers) {
        const auto known = m_servers.find(info.life.server);
        if (known != m_servers.end() && known->second.info.life != info.life) {
            m_servers.erase(known);
        }
        auto &server = m_servers[info.life.server];
        server.info = info;
        server.service = service;
    }
    std::erase_if(m_servers, [](const auto &item) {
        return !item.second.info.takesWork && item.second.running == 0;
    });
}

auto SlotBroker::ask(const SlotRequest &request, TimePoint now) -> void
{
    if (const auto granted = m_granted.find(request.id); granted != m_granted.end()) {
        m_decisions.push_back({.id = request.id, .outcome = SlotGrant{granted->second.life}});
        return;
    }
    if (isWaiting(request.id)) {
        return;
    }
    const auto wait = expectedWait(request, countAhead(request), now);
    if (!wait) {
        refuse(request, retryWithoutServers);
        return;
    }
    const auto needed = *wait + fromMs(typicalServiceMs(request) * m_options.minTimeShare);
    if (now + needed > request.deadline) {
        refuse(request, *wait);
        return;
    }
    m_waiting.push_back(request);
    dispatch(now);
}

auto SlotBroker::finish(const TicketId &id, const SlotResult &result, TimePoint now) -> void
{
    std::erase_if(m_waiting, [&](const SlotRequest &request) { return request.id == id; });
    const auto granted = m_granted.find(id);
    if (granted == m_granted.end()) {
        return;
    }
    const auto server = m_servers.find(granted->second.server);
    if (server != m_servers.end() && server->second.info.life == granted->second.life) {
        note(server->second, granted->second.zone, result, now);
    }
    m_granted.erase(granted);
    dispatch(now);
}

auto SlotBroker::noteLoss(Server &server, const AvailabilityZoneId &zone, TimePoint now) -> void
{
    constexpr auto maxDoublings = 4U;
    auto &trouble = server.troubles[zone];
    const auto factor = std::exp2(std::min(trouble.losses, maxDoublings));
    const auto pause =
        std::min(toMs(m_options.firstPause) * factor, toMs(m_options.longestPause));
    trouble.losses += 1;
    trouble.probes = 0;
    trouble.pausedUntil = now + fromMs(pause);
}

auto SlotBroker::free(Server &server, const AvailabilityZoneId &zone) -> void
{
    server.running -= server.running > 0 ? 1 : 0;
    if (const auto trouble = server.troubles.find(zone); trouble != server.troubles.end()) {
        trouble->second.probes -= trouble->second.probes > 0 ? 1 : 0;
    }
}

auto SlotBroker::note(Server &server, const AvailabilityZoneId &zone, const SlotResult &result,
                      TimePoint now) -> void
{
    free(server, zone);
    if (result.load) {
        server.slowness = std::clamp(result.load->slowness, 0.1, 20.0);
        server.slownessAt = now;
    }
    switch (result.end) {
    case SlotEnd::Served:
    case SlotEnd::Failed: {
        server.troubles.erase(zone);
        // What the server would have taken at its usual speed.
        const auto sample =
            toMs(result.elapsed) / std::max(1.0, result.load ? result.load->slowness : 1.0);
        const auto update = [&](double &average, double value) {
            average = average == 0.0 ? value
                                     : average + m_options.serviceTimeWeight * (value - average);
        };
        update(server.averageMs, sample);
        update(server.grossMs, toMs(result.elapsed));
        break;
    }
    case SlotEnd::Declined:
        server.pausedUntil = std::max(server.pausedUntil, now + m_options.declinePause);
        break;
    case SlotEnd::Lost:
        noteLoss(server, zone, now);
        break;
    case SlotEnd::TimedOut:
        // A request that had little time left says nothing against its server.
        if (toMs(result.elapsed) > longRunMs(server) * m_options.timeoutToLoss) {
            noteLoss(server, zone, now);
        }
        break;
    case SlotEnd::Abandoned:
        break;
    }
}

// What counts for VMs of a zone: their own trouble with the server, or the trouble that two other
// zones have.
auto SlotBroker::troubleOf(const Server &server, const AvailabilityZoneId &zone) -> const Trouble *
{
    const auto own = server.troubles.find(zone);
    if (own != server.troubles.end()) {
        return &own->second;
    }
    return server.troubles.size() >= 2 ? &server.troubles.begin()->second : nullptr;
}

auto SlotBroker::restsUntil(const Server &server, const AvailabilityZoneId &zone) -> TimePoint
{
    const auto *trouble = troubleOf(server, zone);
    return trouble == nullptr ? server.pausedUntil
                              : std::max(server.pausedUntil, trouble->pausedUntil);
}

auto SlotBroker::mayTake(const Server &server, const AvailabilityZoneId &zone, TimePoint now) const
    -> bool
{
    if (!server.info.takesWork || restsUntil(server, zone) > now
        || server.running >= server.info.slots) {
        return false;
    }
    // After a lost request a single one shows whether the server is back.
    const auto *trouble = troubleOf(server, zone);
    if (trouble != nullptr && trouble->probes > 0) {
        return false;
    }
    if (server.info.coldUntil > now) {
        const auto recent = std::count_if(server.grants.begin(), server.grants.end(),
                                          [&](TimePoint at) { return now - at < grantWindow; });
        return static_cast<double>(recent) + 1.0 <= server.info.coldRequestsPerSecond;
    }
    return true;
}

auto SlotBroker::longRunMs(const Server &server) const -> double
{
    return server.grossMs > 0.0 ? server.grossMs : toMs(m_options.assumedServiceTime);
}

auto SlotBroker::expectedMs(const Server &server, TimePoint now) const -> double
{
    const auto usual =
        server.averageMs > 0.0 ? server.averageMs : toMs(m_options.assumedServiceTime);
    const auto current = now - server.slownessAt < m_options.slownessLifetime;
    return usual * (current ? server.slowness : 1.0);
}

auto SlotBroker::choose(const SlotRequest &request, TimePoint now) -> Server *
{
    if (!request.owner.empty()) {
        const auto found = m_servers.find(request.owner);
        return found != m_servers.end() && mayTake(found->second, request.zone, now) ? &found->second : nullptr;
    }
    auto *best = static_cast<Server *>(nullptr);
    auto bestMs = std::numeric_limits<double>::max();
    for (auto &[id, server] : m_servers) {
        if (server.service != request.service || !mayTake(server, request.zone, now) || excludes(request, id)) {
            continue;
        }
        const auto zoneCost = server.info.zone == request.zone ? 1.0 : m_options.otherZoneCost;
        // A server with other requests at work is often slower than an idle one.
        const auto busy = 1.0 + 0.1 * server.running / std::max(1U, server.info.slots);
        const auto ms = expectedMs(server, now) * zoneCost * busy;
        if (ms < bestMs) {
            best = &server;
            bestMs = ms;
        }
    }
    return best;
}

auto SlotBroker::typicalServiceMs(const SlotRequest &request) const -> double
{
    auto sum = 0.0;
    auto count = 0;
    for (const auto &[id, server] : m_servers) {
        if (server.service == request.service && server.averageMs > 0.0
            && (request.owner.empty() || id == request.owner)) {
            sum += longRunMs(server);
            ++count;
        }
    }
    return count > 0 ? sum / count : toMs(m_options.assumedServiceTime);
}

auto SlotBroker::throughput(const SlotRequest &request, TimePoint now) const -> Throughput
{
    auto result = Throughput{};
    for (const auto &[id, server] : m_servers) {
        const auto fits =
            request.owner.empty() ? server.service == request.service : id == request.owner;
        if (!fits || !server.info.takesWork || excludes(request, id)) {
            continue;
        }
        if (const auto until = restsUntil(server, request.zone); until > now) {
            const auto pause = until - now;
            result.pause = std::min(result.pause.value_or(pause), pause);
            continue;
        }
        result.free = result.free || mayTake(server, request.zone, now);
        const auto warm = server.info.slots / longRunMs(server);
        const auto cold = server.info.coldRequestsPerSecond / 1000.0;
        result.perMs += server.info.coldUntil > now ? std::min(warm, cold) : warm;
    }
    return result;
}

auto SlotBroker::countAhead(const SlotRequest &request) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const SlotRequest &other) {
            return other.service == request.service && other.owner == request.owner
                && other.priority <= request.priority;
        }));
}

auto SlotBroker::expectedWait(const SlotRequest &request, std::size_t ahead, TimePoint now) const
    -> std::optional<Duration>
{
    const auto servers = throughput(request, now);
    if (servers.perMs <= 0.0) {
        return servers.pause;
    }
    if (servers.free && ahead == 0) {
        return Duration::zero();
    }
    return fromMs(static_cast<double>(ahead + 1) / servers.perMs);
}

// Refuses each request that those ahead of it leave no time for.
auto SlotBroker::refuseHopeless(TimePoint now) -> void
{
    auto ahead = std::map<std::pair<ServiceId, BackendServerId>, std::size_t>{};
    std::erase_if(m_waiting, [&](const SlotRequest &request) {
        auto &count = ahead[{request.service, request.owner}];
        const auto wait = expectedWait(request, count, now);
        const auto needed = fromMs(typicalServiceMs(request) * m_options.minTimeShare);
        // Without servers a request waits on: the registry or the owner may change.
        if (now + wait.value_or(Duration::zero()) + needed <= request.deadline) {
            ++count;
            return false;
        }
        refuse(request, wait.value_or(retryWithoutServers));
        return true;
    });
}

auto SlotBroker::grant(const SlotRequest &request, Server &server, TimePoint now) -> void
{
    server.running += 1;
    for (auto &[zone, trouble] : server.troubles) {
        trouble.probes += zone == request.zone ? 1 : 0;
    }
    server.grants.push_back(now);
    m_granted[request.id] = {.server = server.info.life.server,
                             .life = server.info.life,
                             .zone = request.zone,
                             .expiresAt = request.deadline + m_options.ticketGrace};
    m_decisions.push_back({.id = request.id, .outcome = SlotGrant{server.info.life}});
}

auto SlotBroker::refuse(const SlotRequest &request, Duration retryAfter) -> void
{
    // Returns are spread, so that refused callers do not come back together.
    auto spread = std::uniform_real_distribution<double>(0.7, 1.6);
    const auto base = std::max<Duration>(retryAfter, shortestRetryAfter);
    m_decisions.push_back(
        {.id = request.id, .outcome = SlotRefusal{fromMs(toMs(base) * spread(m_random))}});
}

auto SlotBroker::dispatch(TimePoint now) -> void
{
    // Requests that can still meet their objective go before those that cannot.
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [&](const auto &left, const auto &right) {
        return std::tuple(left.priority, left.objectiveAt <= now, left.arrivedAt)
            < std::tuple(right.priority, right.objectiveAt <= now, right.arrivedAt);
    });
    std::erase_if(m_waiting, [&](const SlotRequest &request) {
        const auto needed = fromMs(typicalServiceMs(request) * m_options.minTimeShare);
        auto *server = now + needed <= request.deadline ? choose(request, now) : nullptr;
        if (server == nullptr) {
            return false;
        }
        grant(request, *server, now);
        return true;
    });
}

auto SlotBroker::tick(TimePoint now) -> void
{
    forgetOldGrants(now);
    refuseHopeless(now);
    dispatch(now);
}

auto SlotBroker::forgetOldGrants(TimePoint now) -> void
{
    for (auto &[id, server] : m_servers) {
        while (!server.grants.empty() && now - server.grants.front() >= grantWindow) {
            server.grants.pop_front();
        }
    }
    std::erase_if(m_granted, [&](const auto &item) {
        if (item.second.expiresAt > now) {
            return false;
        }
        const auto server = m_servers.find(item.second.server);
        if (server != m_servers.end() && server->second.info.life == item.second.life) {
            free(server->second, item.second.zone);
        }
        return true;
    });
}

auto SlotBroker::isWaiting(const TicketId &id) const -> bool
{
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [&](const SlotRequest &request) { return request.id == id; });
}

auto SlotBroker::takeDecisions() -> std::vector<SlotDecision>
{
    return std::exchange(m_decisions, {});
}

auto SlotBroker::serviceTimes() const -> std::map<BackendServerId, milliseconds>
{
    auto result = std::map<BackendServerId, milliseconds>{};
    for (const auto &[id, server] : m_servers) {
        if (server.averageMs > 0.0) {
            result.emplace(id, milliseconds(std::llround(server.averageMs)));
        }
    }
    return result;
}

} // namespace figlanding
