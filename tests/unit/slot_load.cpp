#include "slot_load.h"

#include <algorithm>

namespace figlanding::test {

namespace {

const auto service = ServiceId("rooms#0");
const auto zone = AvailabilityZoneId("a");
constexpr auto tickInterval = milliseconds(25);
constexpr auto rejectionTime = milliseconds(2); ///< to a server and back
constexpr auto retriesPerRequest = 0.2;

} // namespace

SlotLoad::SlotLoad(const std::vector<LoadedServer> &servers, std::uint64_t seed)
    : m_broker({}, seed)
    , m_random(seed)
    , m_now(TimePoint{} + seconds(100))
{
    auto brokered = std::vector<BrokeredServer>{};
    for (const auto &server : servers) {
        auto &info = brokered.emplace_back();
        info.incarnation = {.server = server.id, .startedUnixMs = 1};
        info.zone = zone;
        info.slots = server.slots;
        m_servers[server.id] = server;
    }
    m_broker.setServers(service, brokered);
}

auto SlotLoad::run(const std::vector<LoadedRoute> &routes, Duration time)
    -> std::map<RouteId, CallerOutcomes>
{
    m_outcomes.clear();
    const auto end = m_now + time;
    for (const auto &route : routes) {
        const auto interval = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1.0 / route.perSecond));
        const auto begin = Duration(route.from);
        for (auto at = begin; at < time; at += interval) {
            const auto isFirst = at == begin && route.firstWork > milliseconds(0);
            const auto work = isFirst ? route.firstWork : route.work;
            after(at, [this, &route, work, at = m_now + at] {
                arrive(
                    {.route = &route, .work = work, .firstAt = at, .returnsLeft = route.returns});
            });
        }
    }
    auto nextTick = m_now;
    while (m_now < end || !m_callers.empty() || !m_events.empty()) {
        if (m_events.empty() || m_events.begin()->first >= nextTick) {
            m_now = nextTick;
            m_broker.tick(m_now);
            nextTick += tickInterval;
        } else {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        takeDecisions();
    }
    return m_outcomes;
}

auto SlotLoad::arrive(const Caller &caller) -> void
{
    m_outcomes[caller.route->id].callers += 1;
    m_retries += retriesPerRequest;
    acquire(caller);
}

auto SlotLoad::acquire(const Caller &caller) -> void
{
    const auto &route = *caller.route;
    const auto id = TicketId{.vm = VmId("vm"), .number = m_nextTicket++};
    m_callers[id] = caller;
    m_broker.acquire({.id = id,
                      .service = service,
                      .owner = route.owner,
                      .excluded = caller.excluded,
                      .priority = route.priority,
                      .zone = zone,
                      .arrivedAt = m_now,
                      .objectiveAt = caller.firstAt + route.objective,
                      .deadline = caller.firstAt + route.deadline,
                      .route = route.id},
                     m_now);
}

auto SlotLoad::takeDecisions() -> void
{
    for (const auto &decision : m_broker.takeDecisions()) {
        const auto caller = m_callers.extract(decision.id).mapped();
        if (const auto *grant = std::get_if<SlotGrant>(&decision.outcome)) {
            send(decision.id, caller, grant->server.server);
        } else {
            refuse(caller, std::get<SlotRefusal>(decision.outcome).retryAfter);
        }
    }
}

auto SlotLoad::send(const TicketId &id, const Caller &caller, const BackendServerId &name) -> void
{
    const auto &server = m_servers.at(name);
    auto uniform = std::uniform_real_distribution<double>(0.0, 1.0);
    const auto isFull = m_running[name] + server.takenSlots >= server.slots;
    if (isFull || uniform(m_random) < server.shedding) {
        after(rejectionTime, [this, id, caller, &server] { reject(id, caller, server); });
        return;
    }
    m_running[name] += 1;
    auto scattered = std::lognormal_distribution<double>(0.0, caller.route->spread);
    const auto factor =
        caller.route->spread > 0.0 ? scattered(m_random) : 0.7 + 0.6 * uniform(m_random);
    const auto work = std::chrono::duration_cast<Duration>(caller.work * factor / server.speed);
    after(work, [this, id, caller, name, work] {
        m_running[name] -= 1;
        const auto load = LoadReport{.running = m_running[name], .slots = m_servers[name].slots};
        m_broker.release(id, {.end = SlotEnd::Served, .elapsed = work, .load = load}, m_now);
        const auto elapsed = m_now - caller.firstAt;
        auto &outcome = m_outcomes[caller.route->id];
        if (elapsed > caller.route->deadline) {
            outcome.refused += 1;
        } else {
            outcome.inAim += elapsed <= caller.route->objective ? 1 : 0;
            outcome.late += elapsed <= caller.route->objective ? 0 : 1;
        }
    });
}

auto SlotLoad::reject(const TicketId &id, Caller caller, const LoadedServer &server) -> void
{
    m_rejections[server.id] += 1;
    const auto load =
        LoadReport{.running = m_running[server.id] + server.takenSlots, .slots = server.slots};
    m_broker.release(id, {.end = SlotEnd::Declined, .elapsed = rejectionTime, .load = load}, m_now);
    if (m_retries < 1.0) {
        refuse(std::move(caller), milliseconds(100));
        return;
    }
    m_retries -= 1.0;
    caller.excluded.push_back(server.id);
    acquire(caller);
}

auto SlotLoad::refuse(Caller caller, Duration retryAfter) -> void
{
    auto &outcome = m_outcomes[caller.route->id];
    outcome.refusals += 1;
    const auto timeLeft = caller.firstAt + caller.route->deadline - m_now;
    if (caller.returnsLeft == 0 || timeLeft <= Duration::zero()) {
        outcome.refused += 1;
        return;
    }
    caller.returnsLeft -= 1;
    caller.excluded.clear();
    after(std::min<Duration>(retryAfter, timeLeft / 3), [this, caller] {
        m_retries += retriesPerRequest;
        acquire(caller);
    });
}

auto SlotLoad::after(Duration delay, std::function<void()> event) -> void
{
    m_events.emplace(m_now + delay, std::move(event));
}

} // namespace figlanding::test
