#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <utility>

// What one tick does with the ranges of a service. The claim, the appends and the ends of orders
// are in key_controller.cpp.

namespace figlanding {

namespace {

constexpr std::uint32_t closedPortsToEnd = 3;
constexpr double fewestRanges = 64.0; ///< that may be split at any number of servers

} // namespace

auto KeyController::tickService(const ServiceId &id, Service &service,
                                const ControllerInputs &inputs, TimePoint now,
                                std::vector<ControllerAction> &actions) -> void
{
    freeLost(service, inputs, now);
    releaseLeaving(id, service, inputs, now, actions);
    rebalance(id, service, inputs, now, actions);
    record(id, service, inputs, now, actions);
    joinDue(service, now);
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
    if (range.otherServer) {
        return true; // an address is used again only after its server has ended
    }
    // A closed port alone proves nothing: a full server refuses connections as well.
    return inputs.registry.find(range.owned.owner.server) == nullptr
        && range.closedPort >= closedPortsToEnd;
}

auto KeyController::freeLost(Service &service, const ControllerInputs &inputs, TimePoint now)
    -> void
{
    for (auto &range : service.ranges) {
        // A grant under way may meet a new life at the address.
        if (range.phase == Phase::Free || range.underWay) {
            continue;
        }
        const auto ended = hasEnded(range, inputs);
        const auto ranOut = now >= leaseEnd(range);
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

// A grant that was not answered has a lower fence than one that was.
auto KeyController::isMovable(const Range &range) -> bool
{
    return range.phase == Phase::Held && range.confirmed && !range.needsRecord && !range.underWay;
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
                reborn->firstSeenAt - range.sentAt >= m_options.longestUnannounced;
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
    if (m_append || now - service.rebalancedAt < m_options.rebalanceInterval) {
        return;
    }
    const auto servers = candidates(id, inputs, now);
    if (static_cast<std::size_t>(inMotion) >= maxMoves(servers.size(), m_options.plan)) {
        return;
    }
    service.rebalancedAt = now;
    auto planned = plannedTable(service);
    const auto loads = loadsOf(id, inputs);
    const auto &plan = m_options.plan;
    const auto mostRanges = plan.mostRangesPerServer * static_cast<double>(servers.size());
    auto moves = std::vector<PlannedMove>{};
    if (static_cast<double>(planned.ranges.size()) <= std::max(mostRanges, fewestRanges)) {
        moves = planRebalance(planned, servers, loads, plan);
    }
    for (const auto &move : moves) {
        planned = withMove(std::move(planned), move);
    }
    const auto joins = planJoins(planned, servers, loads, plan, maxMoves(servers.size(), plan));
    moves.insert(moves.end(), joins.begin(), joins.end());
    for (const auto &move : moves) {
        split(service, move.keys);
        for (auto &range : service.ranges) {
            if (move.keys.contains(range.owned.keys) && isMovable(range)) {
                range.target = move.to;
                release(id, range, actions);
            }
        }
    }
}

auto KeyController::loadsOf(const ServiceId &id, const ControllerInputs &inputs)
    -> std::span<const float>
{
    const auto loads = inputs.loads.find(id);
    return loads == inputs.loads.end() ? std::span<const float>{}
                                       : std::span<const float>(loads->second);
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

// Ranges that are under way count as their next owner's.
auto KeyController::plannedTable(const Service &service) -> OwnershipTable
{
    auto table = tableOf(service);
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        const auto &range = service.ranges[i];
        if (range.phase != Phase::Held && range.target) {
            table.ranges[i].owner = *range.target;
        }
    }
    return table;
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
    const auto anyFree = std::any_of(service.ranges.begin(), service.ranges.end(),
                                     [](const Range &range) { return range.phase == Phase::Free; });
    if (!anyFree) {
        return;
    }
    const auto servers = candidates(id, inputs, now);
    if (awaitsServers(service, servers.size(), now)) {
        return;
    }
    const auto isCandidate = [&](const ServerLife &life) {
        return std::any_of(servers.begin(), servers.end(),
                           [&](const OwnerCandidate &server) { return server.life == life; });
    };
    for (auto &range : service.ranges) {
        if (range.target && !isCandidate(*range.target)) {
            range.target.reset();
        }
    }
    for (const auto &move :
         planUnowned(plannedTable(service), servers, loadsOf(id, inputs), m_options.plan)) {
        split(service, move.keys);
        for (auto &range : service.ranges) {
            if (move.keys.contains(range.owned.keys)) {
                range.target = move.to;
            }
        }
    }
}

auto KeyController::record(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                           TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    if (m_append || now < service.recordAt) {
        return;
    }
    planFree(id, service, inputs, now);
    const auto isPlaced = [](const Range &range) {
        return range.phase == Phase::Free && range.target.has_value();
    };
    const auto isChanged = [&](const Range &range) {
        const auto confirms = range.phase == Phase::Held && range.needsRecord && !range.underWay
            && newLifeOf(range, inputs.registry) == nullptr;
        return isPlaced(range) || confirms;
    };
    if (std::none_of(service.ranges.begin(), service.ranges.end(), isChanged)) {
        return;
    }
    const auto fence = nextFence();
    auto table = tableOf(service);
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        const auto &range = service.ranges[i];
        auto &owned = table.ranges[i];
        owned.owner = isPlaced(range) ? *range.target : owned.owner;
        owned.fence = isChanged(range) ? fence : owned.fence;
    }
    service.recordAt = now + m_options.recordPausePerRange * table.ranges.size();
    m_append = AppendTable{
        .expectedEnd = m_view.end, .service = id, .fence = fence, .table = std::move(table)};
    m_appendUnderWay = true;
    actions.emplace_back(std::get<AppendTable>(*m_append));
}

auto KeyController::mayGrantAgain(const Range &range) const -> bool
{
    return !range.lostSince || (m_duty && m_storeContactAt > range.lostAt);
}

// Nothing is known of the range that a join could lose.
auto KeyController::isJoinable(const Range &range) -> bool
{
    return isMovable(range) && !range.unanswered && !range.lostSince && !range.target;
}

// Moves split ranges. Neighbours of one owner are renewed as one range, since each costs a call for
// each renewal and a row of every record.
auto KeyController::joinDue(Service &service, TimePoint now) -> void
{
    auto joined = std::vector<Range>{};
    joined.reserve(service.ranges.size());
    for (auto &range : service.ranges) {
        const auto joins = !joined.empty() && isJoinable(joined.back()) && isJoinable(range)
            && joined.back().owned.owner == range.owned.owner
            && std::min(joined.back().dueAt, range.dueAt) <= now;
        if (!joins) {
            joined.push_back(std::move(range));
            continue;
        }
        auto &front = joined.back();
        front.owned.keys.to = range.owned.keys.to;
        front.owned.fence = std::max(front.owned.fence, range.owned.fence);
        front.sentAt = std::max(front.sentAt, range.sentAt);
        front.dueAt = std::min(front.dueAt, range.dueAt);
    }
    service.ranges = std::move(joined);
}

auto KeyController::renew(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                          TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    for (auto &range : service.ranges) {
        const auto gaveUp = range.lostSince && now - *range.lostSince > m_options.unreachableAfter;
        // A new life is released; a grant that it accepts first outdates those that may arrive
        // late.
        const auto *reborn = newLifeOf(range, inputs.registry);
        const auto gone = inputs.registry.find(range.owned.owner.server) == nullptr
            || (reborn != nullptr && !range.unanswered);
        if (range.phase != Phase::Held || range.underWay || range.needsRecord || gone || gaveUp
            || !mayGrantAgain(range)) {
            continue;
        }
        const auto address =
            reborn != nullptr ? std::optional(reborn->entry.address) : addressOf(range.owned.owner);
        if (now < range.dueAt || !address) {
            continue;
        }
        range.owned.fence = nextFence();
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
