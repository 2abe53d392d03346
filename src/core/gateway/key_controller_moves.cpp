#include "figlanding/gateway/key_capacity.h"
#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <utility>

// Processing of the ranges of one service in a tick. Claims, appends and the outcomes of commands
// are in key_controller.cpp, leases in key_controller_leases.cpp.

namespace figlanding {

namespace {

constexpr double maxRangesFloor = 64.0; ///< lower bound of the limit on ranges, for small fleets

} // namespace

auto KeyController::tickService(const ServiceId &id, Service &service,
                                const ControllerInputs &inputs, TimePoint now,
                                std::vector<ControllerAction> &actions) -> void
{
    noteUnserved(service, inputs.registry, now);
    freeAbandonedRanges(service, inputs, now);
    releaseFromLeavingServers(id, service, inputs, now, actions);
    rebalance(id, service, inputs, now, actions);
    record(id, service, inputs, now, actions);
    mergeDueRanges(service, now);
    renew(id, service, inputs, now, actions);
}

auto KeyController::release(const ServiceId &id, Range &range,
                            std::vector<ControllerAction> &actions) -> void
{
    const auto address = addressOf(range.owned.owner);
    if (!address) {
        return;
    }
    range.phase = Phase::Releasing;
    const auto command = m_nextCommandId++;
    m_pendingCommands[command] = {
        .service = id, .keys = range.owned.keys, .fence = range.owned.fence};
    actions.emplace_back(ReleaseCommand{.id = command,
                                        .service = id,
                                        .from = range.owned.owner,
                                        .address = *address,
                                        .keys = range.owned.keys,
                                        .fence = range.owned.fence});
}

// Requires that the last grant was accepted: every unanswered grant then has a lower fence, and the
// server refuses it if it arrives late.
auto KeyController::isMovable(const Range &range) -> bool
{
    return range.phase == Phase::Held && range.confirmed && !range.needsRecord
        && !range.grantInFlight;
}

auto KeyController::newIncarnationOf(const Range &range, const ServerRegistry &registry)
    -> const RegisteredServer *
{
    const auto *server = registry.find(range.owned.owner.server);
    const auto restarted =
        server != nullptr && server->entry.startedUnixMs > range.owned.owner.startedUnixMs;
    return restarted ? server : nullptr;
}

auto KeyController::releaseFromLeavingServers(const ServiceId &id, Service &service,
                                              const ControllerInputs &inputs, TimePoint now,
                                              std::vector<ControllerAction> &actions) -> void
{
    for (auto &range : service.ranges) {
        const auto *server = inputs.registry.find(range.owned.owner.server);
        // A server without an entry may still run but be cut off from the store.
        const auto leaving = server == nullptr || !inputs.registry.acceptsKeys(*server);
        if (const auto *restarted = newIncarnationOf(range, inputs.registry)) {
            // A grant sent before the restart can have reached only the earlier incarnation.
            const auto sentBefore =
                restarted->firstSeenAt - range.sentAt >= m_options.maxAnnouncementDelay;
            const auto noGrantPending =
                !range.grantInFlight && (!range.grantMayArriveLate || sentBefore);
            if (range.phase == Phase::Held && noGrantPending && now >= range.dueAt) {
                m_addresses[range.owned.owner] = restarted->entry.address;
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
    const auto movesInFlight =
        std::count_if(service.ranges.begin(), service.ranges.end(), [](const Range &range) {
            return range.phase != Phase::Held && !range.owned.owner.server.empty();
        });
    if (m_append || now - service.rebalancedAt < m_options.rebalanceInterval) {
        return;
    }
    const auto servers = candidates(id, inputs, now);
    if (static_cast<std::size_t>(movesInFlight) >= maxMoves(servers.size(), m_options.plan)) {
        return;
    }
    service.rebalancedAt = now;
    auto planned = plannedTable(service);
    const auto loads = loadsOf(id, inputs);
    const auto &plan = m_options.plan;
    const auto maxRanges = plan.maxRangesPerServer * static_cast<double>(servers.size());
    const auto isLong =
        static_cast<double>(planned.ranges.size()) > std::max(maxRanges, maxRangesFloor);
    auto moves = planRebalance(planned, servers, loads, plan,
                               isLong ? RangeSplits::Forbidden : RangeSplits::Allowed);
    for (const auto &move : moves) {
        planned = withMove(std::move(planned), move);
    }
    const auto merges = planMerges(planned, servers, loads, plan, maxMoves(servers.size(), plan));
    moves.insert(moves.end(), merges.begin(), merges.end());
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
    const auto capacities =
        ServerCapacities(inputs.registry, id, inputs.serviceTimes, inputs.limits);
    auto result = std::vector<OwnerCandidate>{};
    for (const auto &[name, server] : inputs.registry.servers()) {
        const auto incarnation =
            ServerIncarnation{.server = name, .startedUnixMs = server.entry.startedUnixMs};
        const auto avoided = m_avoidedUntil.find(incarnation);
        const auto isAvoided = avoided != m_avoidedUntil.end() && avoided->second > now;
        if (server.entry.service != id || !inputs.registry.acceptsKeys(server) || isAvoided) {
            continue;
        }
        result.push_back({.incarnation = incarnation,
                          .capacity = capacities.of(server),
                          .cold = server.coldUntil > now});
    }
    return result;
}

// Returns the table with ranges that are being moved assigned to their next owners.
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

// When all servers start at once, their announcements arrive one by one. If the first server got
// all keys at once, most of them would have to move again.
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
    return now - service.candidatesChangedAt < m_options.firstOwnersQuietPeriod
        && now - *service.firstCandidateAt < m_options.firstOwnersMaxWait;
}

// Chooses the next owners of free ranges. A target that is no longer a candidate is replaced.
auto KeyController::assignFreeRanges(const ServiceId &id, Service &service,
                                     const ControllerInputs &inputs, TimePoint now) -> void
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
    const auto isCandidate = [&](const ServerIncarnation &incarnation) {
        return std::any_of(servers.begin(), servers.end(), [&](const OwnerCandidate &server) {
            return server.incarnation == incarnation;
        });
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
    if (m_append || now < service.nextRecordAt) {
        return;
    }
    assignFreeRanges(id, service, inputs, now);
    const auto hasNewOwner = [](const Range &range) {
        return range.phase == Phase::Free && range.target.has_value();
    };
    const auto isChanged = [&](const Range &range) {
        const auto confirmsClaim = range.phase == Phase::Held && range.needsRecord
            && !range.grantInFlight && newIncarnationOf(range, inputs.registry) == nullptr;
        return hasNewOwner(range) || confirmsClaim;
    };
    if (std::none_of(service.ranges.begin(), service.ranges.end(), isChanged)) {
        return;
    }
    const auto fence = nextFence();
    auto table = tableOf(service);
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        const auto &range = service.ranges[i];
        auto &owned = table.ranges[i];
        owned.owner = hasNewOwner(range) ? *range.target : owned.owner;
        owned.fence = isChanged(range) ? fence : owned.fence;
    }
    service.nextRecordAt = now + m_options.recordPausePerRange * table.ranges.size();
    m_append = AppendTable{
        .expectedEnd = m_view.end, .service = id, .fence = fence, .table = std::move(table)};
    m_appendInFlight = true;
    actions.emplace_back(std::get<AppendTable>(*m_append));
}

auto KeyController::mayRetryGrant(const Range &range) const -> bool
{
    return !range.unansweredSince || (m_elected && m_storeContactAt > range.lastUnansweredAt);
}

// A merged range has one state, so only ranges without a pending move or an unanswered grant can be
// merged.
auto KeyController::isMergeable(const Range &range) -> bool
{
    return isMovable(range) && !range.grantMayArriveLate && !range.unansweredSince && !range.target;
}

// Merges adjacent ranges of one owner, which moves have split, when a renewal is due. Each range
// costs a call per renewal and a row in every record.
auto KeyController::mergeDueRanges(Service &service, TimePoint now) -> void
{
    auto merged = std::vector<Range>{};
    merged.reserve(service.ranges.size());
    for (auto &range : service.ranges) {
        const auto merges = !merged.empty() && isMergeable(merged.back()) && isMergeable(range)
            && merged.back().owned.owner == range.owned.owner
            && std::min(merged.back().dueAt, range.dueAt) <= now;
        if (!merges) {
            merged.push_back(std::move(range));
            continue;
        }
        auto &front = merged.back();
        front.owned.keys.to = range.owned.keys.to;
        front.owned.fence = std::max(front.owned.fence, range.owned.fence);
        front.sentAt = std::max(front.sentAt, range.sentAt);
        front.arrivedBy = std::max(front.arrivedBy, range.arrivedBy);
        front.dueAt = std::min(front.dueAt, range.dueAt);
    }
    service.ranges = std::move(merged);
}

auto KeyController::renew(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                          TimePoint now, std::vector<ControllerAction> &actions) -> void
{
    for (auto &range : service.ranges) {
        const auto unreachable =
            range.unansweredSince && now - *range.unansweredSince > m_options.unreachableAfter;
        // A restarted owner is asked to release the range. If an unanswered grant may still reach
        // it, it gets another grant first, whose higher fence makes it refuse the late one.
        const auto *restarted = newIncarnationOf(range, inputs.registry);
        const auto gone = inputs.registry.find(range.owned.owner.server) == nullptr
            || (restarted != nullptr && !range.grantMayArriveLate);
        if (range.phase != Phase::Held || range.grantInFlight || range.needsRecord || gone
            || unreachable || !mayRetryGrant(range)) {
            continue;
        }
        const auto address = restarted != nullptr ? std::optional(restarted->entry.address)
                                                  : addressOf(range.owned.owner);
        if (now < range.dueAt || !address) {
            continue;
        }
        range.owned.fence = nextFence();
        range.grantSentAt = now;
        range.grantInFlight = true;
        const auto command = m_nextCommandId++;
        m_pendingCommands[command] = {
            .service = id, .keys = range.owned.keys, .fence = range.owned.fence};
        actions.emplace_back(
            GrantCommand{.id = command,
                         .service = id,
                         .to = range.owned.owner,
                         .address = *address,
                         .keys = range.owned.keys,
                         .fence = range.owned.fence,
                         .handOver = range.owned.handOver,
                         .needsProof = !range.confirmed || range.grantMayArriveLate});
    }
}

} // namespace figlanding
