#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

constexpr std::uint32_t closedPortsToEnd = 3;

} // namespace

KeyController::KeyController(KeyControllerOptions options)
    : m_options(std::move(options))
{ }

auto KeyController::leaseWithDrift() const -> Duration
{
    const auto lease =
        std::chrono::duration<double, std::milli>(m_options.lease) * (1.0 + m_options.clockDrift);
    return std::chrono::duration_cast<Duration>(lease) + m_options.margin;
}

auto KeyController::learnAddresses(const ServerRegistry &registry) -> void
{
    for (const auto &[id, server] : registry.servers()) {
        m_addresses[{.server = id, .bornUnixMs = server.entry.bornUnixMs}] = server.entry.address;
    }
}

auto KeyController::addressOf(const ServerLife &life) const -> std::optional<SocketAddress>
{
    const auto found = m_addresses.find(life);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

auto KeyController::onStoreContact(TimePoint sentAt) -> void
{
    m_storeContactAt = std::max(m_storeContactAt, sentAt);
}

auto KeyController::onSuspended() -> void
{
    m_storeContactAt = TimePoint{};
}

auto KeyController::setDuty(bool duty) -> void
{
    m_duty = duty;
}

auto KeyController::holdsClaim() const -> bool
{
    const auto &claim = m_view.claim;
    return claim.vm == m_options.self && claim.incarnation == m_options.incarnation
        && claim.term > 0;
}

auto KeyController::onView(const OwnershipView &view, TimePoint now) -> void
{
    if (m_viewed && view.end < m_view.end) {
        return;
    }
    m_view = view;
    m_viewed = true;
    if (m_active && !holdsClaim()) {
        m_active = false;
        m_append.reset();
        m_awaitsView = false;
        m_services.clear();
        m_orders.clear();
        return;
    }
    settleConflict(now);
}

// The record that stands where an append was to go may be that append itself, done without an
// answer. The topic tells which one it is, as soon as it is read up to there.
auto KeyController::settleConflict(TimePoint now) -> void
{
    if (!m_awaitsView || !m_append) {
        return;
    }
    const auto expectedEnd =
        std::visit([](const auto &append) { return append.expectedEnd; }, *m_append);
    if (m_view.end <= expectedEnd) {
        return;
    }
    m_awaitsView = false;
    m_append.reset();
    if (!holdsClaim()) {
        return;
    }
    if (!std::exchange(m_active, true)) {
        m_previousHolder = true; // the claim may have replaced another one
        m_previousRenewsUntil = now + m_options.controllerLease;
    }
    adopt(now);
}

auto KeyController::adopt(TimePoint now) -> void
{
    m_services.clear();
    m_orders.clear();
    for (const auto &[id, table] : m_view.tables) {
        auto &service = m_services[id];
        service.rebalancedAt = now;
        service.hadOwners = true;
        for (const auto &owned : table.ranges) {
            const auto free = owned.owner.server.empty();
            service.ranges.push_back({.owned = owned,
                                      .phase = free ? Phase::Free : Phase::Held,
                                      .needsFence = !free,
                                      .sentAt = now});
        }
    }
}

auto KeyController::onAppend(AppendEnd end, LogOffset expectedEnd, TimePoint now) -> void
{
    const auto mine = m_append
        && std::visit([](const auto &append) { return append.expectedEnd; }, *m_append)
            == expectedEnd;
    if (!mine) {
        return; // of a claim that has been lost since
    }
    m_appendUnderWay = false;
    if (end == AppendEnd::Unknown) {
        // tick() sends it again: the same condition lets it take effect once at most.
        m_appendAgainAt = now + m_options.retryInterval;
        return;
    }
    if (end == AppendEnd::Conflict) {
        m_awaitsView = true;
        settleConflict(now);
        return;
    }
    const auto done = *std::exchange(m_append, std::nullopt);
    m_view.end = std::max(m_view.end, expectedEnd + 1);
    if (const auto *claim = std::get_if<AppendClaim>(&done)) {
        m_previousHolder = m_view.claim.term > 0;
        m_previousRenewsUntil = now + m_options.controllerLease;
        m_view.claim = claim->claim;
        m_active = true;
        adopt(now);
        return;
    }
    const auto &record = std::get<AppendTable>(done);
    m_view.tables[record.service] = record.table;
    auto &service = m_services[record.service];
    service.hadOwners = true;
    for (auto &range : service.ranges) {
        const auto *recorded = findRange(record.table, range.owned.keys.from);
        if (recorded == nullptr || recorded->fence != record.expectedEnd + 1) {
            continue;
        }
        const auto sameOwner = range.phase == Phase::Held && range.owned.owner == recorded->owner;
        const auto keys = range.owned.keys;
        auto next = Range{.owned = *recorded, .phase = Phase::Held, .needsFence = false};
        next.owned.keys = keys;
        next.sentAt = sameOwner ? range.sentAt : now;
        next.lostSince = sameOwner ? range.lostSince : std::nullopt;
        next.closedPort = sameOwner ? range.closedPort : 0;
        next.unanswered = sameOwner && range.unanswered;
        range = std::move(next);
    }
}

auto KeyController::rangesOf(const Order &order, const auto &apply) -> void
{
    const auto service = m_services.find(order.service);
    if (service == m_services.end()) {
        return;
    }
    for (auto &range : service->second.ranges) {
        const auto inside =
            range.owned.keys.from >= order.keys.from && range.owned.keys.to <= order.keys.to;
        if (inside && range.owned.fence == order.fence) {
            apply(range);
        }
    }
}

auto KeyController::onGrant(std::uint64_t id, OrderEnd end, TimePoint now) -> void
{
    const auto order = m_orders.extract(id);
    if (order.empty()) {
        return;
    }
    rangesOf(order.mapped(), [&](Range &range) {
        range.underWay = false;
        range.closedPort = end == OrderEnd::NoProcess ? range.closedPort + 1 : 0;
        range.dueAt = now + m_options.retryInterval;
        switch (end) {
        case OrderEnd::Accepted:
            range.dueAt = range.sentAt + m_options.renewInterval;
            range.confirmed = true;
            range.unanswered = false;
            range.lostSince.reset();
            break;
        case OrderEnd::Refused:
            range.needsFence = true;
            break;
        case OrderEnd::OtherServer:
            range.otherServer = true;
            break;
        case OrderEnd::Lost:
            range.unanswered = true;
            [[fallthrough]];
        case OrderEnd::NotSent:
        case OrderEnd::NoProcess:
            // The next grant may meet another life, which must not get the same fence.
            range.needsFence = true;
            range.lostSince = range.lostSince.value_or(now);
            break;
        }
    });
}

auto KeyController::onRelease(std::uint64_t id, OrderEnd end, const std::string &handOver,
                              TimePoint now) -> void
{
    const auto order = m_orders.extract(id);
    if (order.empty()) {
        return;
    }
    rangesOf(order.mapped(), [&](Range &range) {
        if (range.phase != Phase::Releasing) {
            return;
        }
        if (end == OrderEnd::Accepted) {
            range.phase = Phase::Free;
            range.owned.owner = {};
            range.owned.handOver = handOver;
            return;
        }
        // The release may have taken effect or not: a new fence makes the owner certain again.
        range.phase = Phase::Held;
        range.dueAt = now + m_options.retryInterval;
        range.needsFence = true;
        range.target.reset();
        range.lostSince = range.lostSince.value_or(now);
        range.closedPort = end == OrderEnd::NoProcess ? range.closedPort + 1 : 0;
        range.otherServer = end == OrderEnd::OtherServer;
    });
}

auto KeyController::shouldResign(TimePoint now) const -> bool
{
    // By server, not by range: a few servers may hold most ranges while keys are hot.
    auto silent = std::map<ServerLife, bool>{};
    for (const auto &[id, service] : m_services) {
        for (const auto &range : service.ranges) {
            if (range.phase == Phase::Held) {
                const auto lost =
                    range.lostSince && now - *range.lostSince > m_options.unreachableAfter;
                silent[range.owned.owner] = silent[range.owned.owner] || lost;
            }
        }
    }
    const auto count =
        std::count_if(silent.begin(), silent.end(), [](const auto &item) { return item.second; });
    constexpr auto fewest = std::size_t{3}; // of less, nothing can be said about this VM
    return m_active && silent.size() >= fewest
        && static_cast<std::size_t>(count) * 3 > silent.size() * 2;
}

auto KeyController::tick(const ControllerInputs &inputs, TimePoint now)
    -> std::vector<ControllerAction>
{
    auto actions = std::vector<ControllerAction>{};
    learnAddresses(inputs.registry);
    if (m_append && !m_appendUnderWay && !m_awaitsView && now >= m_appendAgainAt) {
        m_appendUnderWay = true;
        std::visit([&](const auto &append) { actions.emplace_back(append); }, *m_append);
    }
    if (!m_active) {
        if (m_duty && m_viewed && !m_append && !m_awaitsView) {
            m_append = AppendClaim{.expectedEnd = m_view.end,
                                   .claim = {.term = m_view.claim.term + 1,
                                             .vm = m_options.self,
                                             .incarnation = m_options.incarnation}};
            m_appendUnderWay = true;
            actions.emplace_back(std::get<AppendClaim>(*m_append));
        }
        return actions;
    }
    if (now - m_storeContactAt > m_options.controllerLease) {
        return actions; // another VM may hold the claim by now
    }
    for (const auto &id : inputs.keyedServices) {
        auto &service = m_services[id];
        if (service.ranges.empty()) {
            service.ranges.push_back({.owned = unownedTable().ranges.front(),
                                      .phase = Phase::Free,
                                      .needsFence = false});
            service.rebalancedAt = now;
        }
        tickService(id, service, inputs, now, actions);
    }
    return actions;
}

auto KeyController::tickService(const ServiceId &id, Service &service,
                                const ControllerInputs &inputs, TimePoint now,
                                std::vector<ControllerAction> &actions) -> void
{
    freeLost(service, inputs, now);
    releaseLeaving(id, service, inputs, now, actions);
    rebalance(id, service, inputs, now, actions);
    record(id, service, inputs, now, actions);
    renew(id, service, inputs, now, actions);
}

auto KeyController::leaseEnd(const Range &range) const -> TimePoint
{
    auto lastArrival = range.sentAt + m_options.callTimeout;
    if (m_previousHolder) {
        lastArrival = std::max(lastArrival, m_previousRenewsUntil + m_options.callTimeout);
    }
    return lastArrival + leaseWithDrift();
}

auto KeyController::hasEnded(const Range &range, const ControllerInputs &inputs) -> bool
{
    const auto *server = inputs.registry.find(range.owned.owner.server);
    if (range.otherServer) {
        return true; // an address is used again only after its server has ended
    }
    // A closed port alone proves nothing: a full server refuses connections as well.
    return server == nullptr && range.closedPort >= closedPortsToEnd;
}

auto KeyController::freeLost(Service &service, const ControllerInputs &inputs, TimePoint now)
    -> void
{
    for (auto &range : service.ranges) {
        if (range.phase == Phase::Free) {
            continue;
        }
        const auto ended = hasEnded(range, inputs);
        const auto ranOut = !range.underWay && now >= leaseEnd(range);
        if (ranOut && !ended) {
            m_avoidedUntil[range.owned.owner] = now + m_options.avoidAfter;
        }
        if (ended || ranOut) {
            range.phase = Phase::Free;
            range.owned.owner = {};
            range.owned.handOver.clear();
            range.target.reset();
        }
    }
}

auto KeyController::release(const ServiceId &id, Range &range,
                            std::vector<ControllerAction> &actions) -> void
{
    const auto address = addressOf(range.owned.owner);
    if (!address) {
        return;
    }
    range.phase = Phase::Releasing;
    const auto order = m_nextOrder++;
    m_orders[order] = {.service = id, .keys = range.owned.keys, .fence = range.owned.fence};
    actions.emplace_back(ReleaseOrder{.id = order,
                                      .service = id,
                                      .from = range.owned.owner,
                                      .address = *address,
                                      .keys = range.owned.keys,
                                      .fence = range.owned.fence});
}

// Every earlier grant of the range has been answered, or has a lower fence than one that was.
auto KeyController::isMovable(const Range &range) -> bool
{
    return range.phase == Phase::Held && range.confirmed && !range.needsFence && !range.underWay;
}

auto KeyController::newLifeOf(const Range &range, const ServerRegistry &registry)
    -> const RegisteredServer *
{
    const auto *server = registry.find(range.owned.owner.server);
    const auto reborn =
        server != nullptr && server->entry.bornUnixMs != range.owned.owner.bornUnixMs;
    return reborn ? server : nullptr;
}

auto KeyController::releaseLeaving(const ServiceId &id, Service &service,
                                   const ControllerInputs &inputs, TimePoint now,
                                   std::vector<ControllerAction> &actions) -> void
{
    for (auto &range : service.ranges) {
        const auto *server = inputs.registry.find(range.owned.owner.server);
        // A server whose entry is gone may live on, out of the store's reach.
        const auto leaving = server == nullptr || !inputs.registry.takesWork(*server);
        if (const auto *reborn = newLifeOf(range, inputs.registry)) {
            // A grant that was sent before the new life began ended with the old one.
            const auto sentBefore =
                reborn->firstHeardAt - range.sentAt >= m_options.longestUnannounced;
            const auto settled = !range.underWay && (!range.unanswered || sentBefore);
            if (range.phase == Phase::Held && settled && now >= range.dueAt) {
                m_addresses[range.owned.owner] = reborn->entry.address;
                release(id, range, actions);
            }
        } else if (leaving && isMovable(range)) {
            release(id, range, actions);
        }
    }
}

auto KeyController::split(Service &service, const KeyRange &keys) -> void
{
    auto result = std::vector<Range>{};
    for (auto &range : service.ranges) {
        for (const auto &part : splitAround({.ranges = {range.owned}}, keys).ranges) {
            auto copy = range;
            copy.owned = part;
            result.push_back(std::move(copy));
        }
    }
    service.ranges = std::move(result);
}

auto KeyController::rebalance(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                              TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    const auto inMotion =
        std::count_if(service.ranges.begin(), service.ranges.end(), [](const Range &range) {
            return range.phase != Phase::Held && !range.owned.owner.server.empty();
        });
    const auto loads = inputs.loads.find(id);
    if (inMotion > 0 || m_append || now - service.rebalancedAt < m_options.rebalanceInterval) {
        return;
    }
    service.rebalancedAt = now;
    const auto known = loads == inputs.loads.end() ? std::span<const float>{}
                                                   : std::span<const float>(loads->second);
    const auto moves =
        planRebalance(tableOf(service), candidates(id, inputs, now), known, m_options.plan);
    for (const auto &move : moves) {
        split(service, move.keys);
        for (auto &range : service.ranges) {
            const auto inside =
                range.owned.keys.from >= move.keys.from && range.owned.keys.to <= move.keys.to;
            if (inside && isMovable(range)) {
                range.target = move.to;
                release(id, range, actions);
            }
        }
    }
}

auto KeyController::tableOf(const Service &service) -> OwnershipTable
{
    auto table = OwnershipTable{};
    for (const auto &range : service.ranges) {
        table.ranges.push_back(range.owned);
    }
    return table;
}

auto KeyController::candidates(const ServiceId &id, const ControllerInputs &inputs,
                               TimePoint now) const -> std::vector<OwnerCandidate>
{
    constexpr auto usualMs = 150.0; // of a server without a known service time
    auto result = std::vector<OwnerCandidate>{};
    for (const auto &[name, server] : inputs.registry.servers()) {
        const auto life = ServerLife{.server = name, .bornUnixMs = server.entry.bornUnixMs};
        const auto avoided = m_avoidedUntil.find(life);
        const auto silent = avoided != m_avoidedUntil.end() && avoided->second > now;
        if (server.entry.service != id || !inputs.registry.takesWork(server) || silent) {
            continue;
        }
        const auto time = inputs.serviceTimes.find(name);
        const auto ms = time == inputs.serviceTimes.end()
            ? usualMs
            : std::max(1.0, static_cast<double>(time->second.count()));
        result.push_back({.life = life,
                          .capacity = server.entry.slots * usualMs / ms,
                          .cold = server.coldUntil > now});
    }
    return result;
}

// Servers announce themselves one after the other when all start at once. Keys given to the first
// one would have to move again.
auto KeyController::awaitsServers(Service &service, std::size_t candidateCount, TimePoint now) const
    -> bool
{
    if (service.hadOwners || candidateCount == 0) {
        return false;
    }
    service.firstCandidateAt = service.firstCandidateAt.value_or(now);
    if (candidateCount != service.candidateCount) {
        service.candidateCount = candidateCount;
        service.candidatesChangedAt = now;
    }
    return now - service.candidatesChangedAt < m_options.firstOwnersPause
        && now - *service.firstCandidateAt < m_options.firstOwnersLatest;
}

// Chooses the next owners of free ranges.
auto KeyController::planFree(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                             TimePoint now) -> void
{
    const auto servers = candidates(id, inputs, now);
    const auto anyFree = std::any_of(service.ranges.begin(), service.ranges.end(),
                                     [](const Range &range) { return range.phase == Phase::Free; });
    if (!anyFree || awaitsServers(service, servers.size(), now)) {
        return;
    }
    const auto isCandidate = [&](const ServerLife &life) {
        return std::any_of(servers.begin(), servers.end(),
                           [&](const OwnerCandidate &server) { return server.life == life; });
    };
    auto unplaced = tableOf(service);
    for (std::size_t i = 0; i < unplaced.ranges.size(); ++i) {
        auto &range = service.ranges[i];
        if (range.target && !isCandidate(*range.target)) {
            range.target.reset();
        }
        if (range.phase == Phase::Free && range.target) {
            unplaced.ranges[i].owner = *range.target;
        }
    }
    const auto loads = inputs.loads.find(id);
    const auto known = loads == inputs.loads.end() ? std::span<const float>{}
                                                   : std::span<const float>(loads->second);
    for (const auto &move : planUnowned(unplaced, servers, known, m_options.plan)) {
        split(service, move.keys);
        for (auto &range : service.ranges) {
            if (range.owned.keys.from >= move.keys.from && range.owned.keys.to <= move.keys.to) {
                range.target = move.to;
            }
        }
    }
}

auto KeyController::record(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                           TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    if (m_append) {
        return;
    }
    planFree(id, service, inputs, now);
    const auto fence = m_view.end + 1;
    auto table = OwnershipTable{};
    auto changed = false;
    for (const auto &range : service.ranges) {
        auto owned = range.owned;
        const auto placed = range.phase == Phase::Free && range.target;
        const auto renewed = range.phase == Phase::Held && range.needsFence && !range.underWay
            && newLifeOf(range, inputs.registry) == nullptr;
        if (placed) {
            owned.owner = *range.target;
        }
        if (placed || renewed) {
            owned.fence = fence;
            changed = true;
        }
        table.ranges.push_back(std::move(owned));
    }
    if (!changed) {
        return;
    }
    m_append = AppendTable{.expectedEnd = m_view.end, .service = id, .table = std::move(table)};
    m_appendUnderWay = true;
    actions.emplace_back(std::get<AppendTable>(*m_append));
}

auto KeyController::renew(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                          TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    for (auto &range : service.ranges) {
        const auto gaveUp = range.lostSince && now - *range.lostSince > m_options.unreachableAfter;
        const auto leaving = [&] {
            const auto *server = inputs.registry.find(range.owned.owner.server);
            return server == nullptr || server->entry.bornUnixMs != range.owned.owner.bornUnixMs;
        }();
        if (range.phase != Phase::Held || range.underWay || range.needsFence || leaving || gaveUp) {
            continue;
        }
        const auto address = addressOf(range.owned.owner);
        if (now < range.dueAt || !address) {
            continue;
        }
        range.sentAt = now;
        range.underWay = true;
        const auto order = m_nextOrder++;
        m_orders[order] = {.service = id, .keys = range.owned.keys, .fence = range.owned.fence};
        actions.emplace_back(GrantOrder{.id = order,
                                        .service = id,
                                        .to = range.owned.owner,
                                        .address = *address,
                                        .keys = range.owned.keys,
                                        .fence = range.owned.fence,
                                        .handOver = range.owned.handOver});
    }
}

} // namespace figlanding
