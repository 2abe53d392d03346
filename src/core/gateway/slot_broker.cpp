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
constexpr milliseconds shortestRetryAfter{50};
constexpr milliseconds retryWithoutServers{300};

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
        server.info.takesWork = false;
    }
    for (const auto &info : servers) {
        const auto found = known.find(info.life.server);
        if (found != known.end() && found->second.info.life != info.life) {
            known.erase(found);
        }
        known[info.life.server].info = info;
    }
    std::erase_if(known, [](const auto &item) {
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
    auto &group = m_groups[request.service];
    const auto wait = expectedWait(group, request, countAhead(group, request), now);
    if (!wait) {
        refuse(request, retryWithoutServers);
        return;
    }
    if (now + *wait + timeNeeded(group, request) > request.deadline) {
        refuse(request, *wait);
        return;
    }
    group.waiting.push_back(request);
    m_waiting.emplace(request.id, request.service);
    dispatch(group, now);
}

auto SlotBroker::finish(const TicketId &id, const SlotResult &result, TimePoint now) -> void
{
    if (const auto waiting = m_waiting.extract(id); !waiting.empty()) {
        std::erase_if(m_groups[waiting.mapped()].waiting,
                      [&](const SlotRequest &request) { return request.id == id; });
    }
    const auto granted = m_granted.extract(id);
    if (granted.empty()) {
        return;
    }
    if (auto *server = findServer(granted.mapped())) {
        note(*server, granted.mapped().zone, result, now);
    }
    dispatch(m_groups[granted.mapped().service], now);
}

auto SlotBroker::findServer(const Granted &granted) -> Server *
{
    auto &servers = m_groups[granted.service].servers;
    const auto found = servers.find(granted.life.server);
    return found != servers.end() && found->second.info.life == granted.life ? &found->second
                                                                             : nullptr;
}

auto SlotBroker::noteLoss(Server &server, const AvailabilityZoneId &zone, bool reached,
                          TimePoint now) -> void
{
    constexpr auto maxDoublings = 4U;
    auto &trouble = server.troubles[zone];
    trouble.losses += 1;
    trouble.probes = 0;
    trouble.mayHaveRestarted = trouble.mayHaveRestarted || !reached;
    if (reached && trouble.losses == 1) {
        return; // one lost answer: the next request shows whether the server lives
    }
    const auto factor = std::exp2(std::min(trouble.losses - 1, maxDoublings));
    const auto pause = std::min(toMilliseconds(m_options.firstPause) * factor,
                                toMilliseconds(m_options.longestPause));
    trouble.pausedUntil = now + fromMilliseconds(pause);
}

auto SlotBroker::noteAnswer(Server &server, const AvailabilityZoneId &zone, TimePoint now) -> void
{
    const auto trouble = server.troubles.find(zone);
    if (trouble == server.troubles.end()) {
        return;
    }
    if (trouble->second.mayHaveRestarted) {
        server.mayBeColdUntil = now + m_options.unannouncedStart;
    }
    server.troubles.erase(trouble);
}

// A keyed server that started anew refuses everything until it is granted keys, and by then its
// start is known.
auto SlotBroker::isCold(const Server &server, const SlotRequest &request, TimePoint now) -> bool
{
    const auto maybe = request.owner.empty() && server.mayBeColdUntil > now
        && server.info.coldRequestsPerSecond > 0.0;
    return maybe || server.info.coldUntil > now;
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
        noteAnswer(server, zone, now);
        // What the server would have taken at its usual speed.
        const auto sample = toMilliseconds(result.elapsed)
            / std::max(1.0, result.load ? result.load->slowness : 1.0);
        const auto update = [&](double &average, double value) {
            average =
                average == 0.0 ? value : average + m_options.serviceTimeWeight * (value - average);
        };
        update(server.averageMs, sample);
        update(server.grossMs, toMilliseconds(result.elapsed));
        break;
    }
    case SlotEnd::Declined:
        server.pausedUntil = std::max(server.pausedUntil, now + m_options.declinePause);
        break;
    case SlotEnd::Lost:
        noteLoss(server, zone, true, now);
        break;
    case SlotEnd::Unreachable:
        noteLoss(server, zone, false, now);
        break;
    case SlotEnd::TimedOut:
        // A request that had little time left says nothing against its server.
        if (toMilliseconds(result.elapsed) > longRunMs(server) * m_options.timeoutToLoss) {
            noteLoss(server, zone, true, now);
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

auto SlotBroker::mayTake(const Server &server, const SlotRequest &request, TimePoint now) const
    -> bool
{
    const auto &zone = request.zone;
    if (!server.info.takesWork || restsUntil(server, zone) > now
        || server.running >= server.info.slots) {
        return false;
    }
    // After a lost request a single one shows whether the server is back.
    const auto *trouble = troubleOf(server, zone);
    if (trouble != nullptr && trouble->probes > 0) {
        return false;
    }
    if (isCold(server, request, now)) {
        const auto recent = std::count_if(server.grants.begin(), server.grants.end(),
                                          [&](TimePoint at) { return now - at < grantWindow; });
        return static_cast<double>(recent) + 1.0 <= coldRate(server);
    }
    return true;
}

auto SlotBroker::longRunMs(const Server &server) const -> double
{
    return server.grossMs > 0.0 ? server.grossMs : toMilliseconds(m_options.assumedServiceTime);
}

auto SlotBroker::coldRate(const Server &server) const -> double
{
    return server.info.coldRequestsPerSecond * m_options.coldShare;
}

auto SlotBroker::expectedMs(const Server &server, TimePoint now) const -> double
{
    const auto usual =
        server.averageMs > 0.0 ? server.averageMs : toMilliseconds(m_options.assumedServiceTime);
    const auto current = now - server.slownessAt < m_options.slownessLifetime;
    return usual * (current ? server.slowness : 1.0);
}

auto SlotBroker::choose(Group &group, const SlotRequest &request, TimePoint now) -> Server *
{
    if (!request.owner.empty()) {
        const auto found = group.servers.find(request.owner);
        return found != group.servers.end() && mayTake(found->second, request, now) ? &found->second
                                                                                    : nullptr;
    }
    auto *best = static_cast<Server *>(nullptr);
    auto bestMs = std::numeric_limits<double>::max();
    for (auto &[id, server] : group.servers) {
        if (!mayTake(server, request, now) || excludes(request, id)) {
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

auto SlotBroker::typicalServiceMs(const Group &group, const SlotRequest &request) const -> double
{
    if (!request.owner.empty()) {
        const auto found = group.servers.find(request.owner);
        return found == group.servers.end() ? toMilliseconds(m_options.assumedServiceTime)
                                            : longRunMs(found->second);
    }
    auto sum = 0.0;
    auto count = 0;
    for (const auto &[id, server] : group.servers) {
        if (server.grossMs > 0.0) {
            sum += server.grossMs;
            ++count;
        }
    }
    return count > 0 ? sum / count : toMilliseconds(m_options.assumedServiceTime);
}

auto SlotBroker::timeNeeded(const Group &group, const SlotRequest &request) const -> Duration
{
    return fromMilliseconds(typicalServiceMs(group, request) * m_options.minTimeShare);
}

auto SlotBroker::throughput(const Group &group, const SlotRequest &request, TimePoint now) const
    -> Throughput
{
    auto result = Throughput{};
    const auto add = [&](const Server &server) {
        if (!server.info.takesWork) {
            return;
        }
        if (const auto until = restsUntil(server, request.zone); until > now) {
            const auto pause = until - now;
            result.pause = std::min(result.pause.value_or(pause), pause);
            return;
        }
        result.free = result.free || mayTake(server, request, now);
        const auto warm = server.info.slots / longRunMs(server);
        const auto cold = coldRate(server) / 1000.0;
        result.perMs += isCold(server, request, now) ? std::min(warm, cold) : warm;
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

auto SlotBroker::countAhead(const Group &group, const SlotRequest &request) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(group.waiting.begin(), group.waiting.end(), [&](const SlotRequest &other) {
            return other.owner == request.owner && other.priority <= request.priority;
        }));
}

auto SlotBroker::expectedWait(const Group &group, const SlotRequest &request, std::size_t ahead,
                              TimePoint now) const -> std::optional<Duration>
{
    const auto servers = throughput(group, request, now);
    if (servers.perMs <= 0.0) {
        return servers.pause;
    }
    if (servers.free && ahead == 0) {
        return Duration::zero();
    }
    return fromMilliseconds(static_cast<double>(ahead + 1) / servers.perMs);
}

// Refuses each request that those ahead of it leave no time for.
auto SlotBroker::refuseHopeless(Group &group, TimePoint now) -> void
{
    auto ahead = std::map<BackendServerId, std::size_t>{};
    std::erase_if(group.waiting, [&](const SlotRequest &request) {
        auto &count = ahead[request.owner];
        const auto wait = expectedWait(group, request, count, now);
        // Without servers a request waits on: the registry or the owner may change.
        const auto needed = wait.value_or(Duration::zero()) + timeNeeded(group, request);
        if (now + needed <= request.deadline) {
            ++count;
            return false;
        }
        m_waiting.erase(request.id);
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
    m_granted[request.id] = {.service = request.service,
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
        {.id = request.id,
         .outcome = SlotRefusal{fromMilliseconds(toMilliseconds(base) * spread(m_random))}});
}

auto SlotBroker::dispatch(Group &group, TimePoint now) -> void
{
    // Requests that can still meet their objective go before those that cannot.
    const auto order = [&](const SlotRequest &request) {
        return std::tuple(request.priority, request.objectiveAt <= now, request.arrivedAt);
    };
    const auto before = [&](const auto &left, const auto &right) {
        return order(left) < order(right);
    };
    if (!std::is_sorted(group.waiting.begin(), group.waiting.end(), before)) {
        std::stable_sort(group.waiting.begin(), group.waiting.end(), before);
    }
    // What found no slot for one request has none for the next one of the same kind.
    auto full = std::set<std::pair<BackendServerId, AvailabilityZoneId>>{};
    std::erase_if(group.waiting, [&](const SlotRequest &request) {
        const auto kind = std::pair(request.owner, request.zone);
        if (full.contains(kind) || now + timeNeeded(group, request) > request.deadline) {
            return false;
        }
        auto *server = choose(group, request, now);
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
    forgetOldGrants(now);
    for (auto &[service, group] : m_groups) {
        if (!group.waiting.empty()) {
            refuseHopeless(group, now);
            dispatch(group, now);
        }
    }
}

auto SlotBroker::forgetOldGrants(TimePoint now) -> void
{
    for (auto &[service, group] : m_groups) {
        for (auto &[id, server] : group.servers) {
            while (!server.grants.empty() && now - server.grants.front() >= grantWindow) {
                server.grants.pop_front();
            }
        }
    }
    std::erase_if(m_granted, [&](const auto &item) {
        if (item.second.expiresAt > now) {
            return false;
        }
        if (auto *server = findServer(item.second)) {
            free(*server, item.second.zone);
        }
        return true;
    });
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
            if (server.averageMs > 0.0) {
                result.emplace(id, milliseconds(std::llround(server.averageMs)));
            }
        }
    }
    return result;
}

} // namespace figlanding
