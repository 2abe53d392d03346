#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

// Returns whether a record took effect. No two records have the same fence.
auto hasRecord(const OwnershipView &view, const AppendTable &record) -> bool
{
    const auto table = view.tables.find(record.service);
    return table != view.tables.end()
        && std::any_of(table->second.ranges.begin(), table->second.ranges.end(),
                       [&](const OwnedRange &range) { return range.fence == record.fence; });
}

} // namespace

auto withMaxLease(KeyControllerOptions options, milliseconds longest) -> KeyControllerOptions
{
    if (longest < options.lease) {
        const auto scale = [&](milliseconds span) {
            return span * longest.count() / options.lease.count();
        };
        options.renewInterval = scale(options.renewInterval);
        options.controllerLease = scale(options.controllerLease);
        options.lease = longest;
    }
    return options;
}

KeyController::KeyController(KeyControllerOptions options)
    : m_options(std::move(options))
{ }

auto KeyController::updateAddresses(const ServerRegistry &registry) -> void
{
    for (const auto &[id, server] : registry.servers()) {
        m_addresses[{.server = id, .startedUnixMs = server.entry.startedUnixMs}] =
            server.entry.address;
    }
}

auto KeyController::addressOf(const ServerIncarnation &incarnation) const
    -> std::optional<SocketAddress>
{
    const auto found = m_addresses.find(incarnation);
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

auto KeyController::setElected(bool elected) -> void
{
    m_elected = elected;
}

auto KeyController::expectedEndOf(const Append &append) -> LogOffset
{
    return std::visit([](const auto &content) { return content.expectedEnd; }, append);
}

auto KeyController::holdsClaim() const -> bool
{
    const auto &claim = m_view.claim;
    return claim.vm == m_options.self && claim.incarnation == m_options.incarnation
        && claim.term > 0;
}

auto KeyController::nextFence() -> FencingToken
{
    m_fenceCount += 1;
    return (m_view.claim.term << fenceCountBits) + m_fenceCount;
}

auto KeyController::onView(const OwnershipView &view, TimePoint now) -> void
{
    if (m_hasView && view.end < m_view.end) {
        return;
    }
    if (!m_hasView || view.claim != m_view.claim) {
        m_claimSeenAt = now;
    }
    m_view = view;
    m_hasView = true;
    if (m_active && !holdsClaim()) {
        m_append.reset();
        m_awaitsView = false;
        endTerm();
        return;
    }
    resolveConflict(now);
}

auto KeyController::beginTerm(TimePoint now) -> void
{
    m_active = true;
    m_fenceCount = 0;
    m_claimSeenAt = now;
    takeOverLeases(now);
}

auto KeyController::endTerm() -> void
{
    m_active = false;
    noteGrantsInFlight();
    m_services.clear();
    m_pendingCommands.clear();
}

// After a conflict, the record at the expected offset may be this VM's own append, which took
// effect without a response. The view shows which VM wrote it once it covers that offset.
auto KeyController::resolveConflict(TimePoint now) -> void
{
    if (!m_awaitsView || !m_append) {
        return;
    }
    if (m_view.end <= expectedEndOf(*m_append)) {
        return;
    }
    m_awaitsView = false;
    const auto append = *std::exchange(m_append, std::nullopt);
    if (!holdsClaim()) {
        return;
    }
    if (!m_active) {
        m_claimOffset = expectedEndOf(append);
        beginTerm(now);
        rebuildServices(now);
        return;
    }
    // Only the holder of the claim changes owners. Other records, such as the address of a VM that
    // has started, leave what is known of the leases as it was.
    const auto *record = std::get_if<AppendTable>(&append);
    if (record != nullptr && hasRecord(m_view, *record)) {
        applyRecord(*record, now);
    }
}

auto KeyController::rebuildServices(TimePoint now) -> void
{
    m_services.clear();
    m_pendingCommands.clear();
    for (const auto &[id, table] : m_view.tables) {
        auto &service = m_services[id];
        service.rebalancedAt = now;
        service.hadOwners = true;
        for (const auto &owned : table.ranges) {
            const auto free = owned.owner.server.empty();
            service.ranges.push_back({.owned = owned,
                                      .phase = free ? Phase::Free : Phase::Held,
                                      .grantMayArriveLate = !free,
                                      .sentAt = now});
        }
    }
}

auto KeyController::onAppend(AppendOutcome end, LogOffset expectedEnd, TimePoint now) -> void
{
    if (!m_append || expectedEndOf(*m_append) != expectedEnd) {
        return; // the append belongs to a claim that was lost since
    }
    m_appendInFlight = false;
    if (end == AppendOutcome::Unknown) {
        // tick() retries it. The condition on the end of the topic makes the retry idempotent.
        m_appendRetryAt = now + m_options.retryInterval;
        return;
    }
    if (end == AppendOutcome::Conflict) {
        m_awaitsView = true;
        resolveConflict(now);
        return;
    }
    const auto appended = *std::exchange(m_append, std::nullopt);
    m_view.end = std::max(m_view.end, expectedEnd + 1);
    if (const auto *claim = std::get_if<AppendClaim>(&appended)) {
        m_claimOffset = expectedEnd;
        m_view.claim = claim->claim;
        beginTerm(now);
        rebuildServices(now);
        return;
    }
    applyRecord(std::get<AppendTable>(appended), now);
}

// Takes over the owners of a record of this VM that took effect.
auto KeyController::applyRecord(const AppendTable &record, TimePoint now) -> void
{
    m_view.tables[record.service] = record.table;
    auto &service = m_services[record.service];
    service.hadOwners = true;
    for (auto &range : service.ranges) {
        const auto *recorded = findRange(record.table, range.owned.keys.from);
        if (recorded == nullptr || recorded->fence != record.fence) {
            continue;
        }
        const auto sameOwner = range.phase == Phase::Held && range.owned.owner == recorded->owner;
        const auto keys = range.owned.keys;
        auto next = Range{.owned = *recorded, .phase = Phase::Held};
        next.owned.keys = keys;
        next.sentAt = sameOwner ? range.sentAt : now;
        next.arrivedBy = sameOwner ? range.arrivedBy : now;
        next.unansweredSince = sameOwner ? range.unansweredSince : std::nullopt;
        next.lastUnansweredAt = range.lastUnansweredAt;
        next.grantMayArriveLate = sameOwner && range.grantMayArriveLate;
        range = std::move(next);
    }
}

auto KeyController::forEachRange(const PendingCommand &command, const auto &apply) -> void
{
    const auto service = m_services.find(command.service);
    if (service == m_services.end()) {
        return;
    }
    for (auto &range : service->second.ranges) {
        if (command.keys.contains(range.owned.keys) && range.owned.fence == command.fence) {
            apply(range);
        }
    }
}

auto KeyController::onGrant(std::uint64_t id, CommandOutcome end, TimePoint now) -> void
{
    const auto command = m_pendingCommands.extract(id);
    if (command.empty()) {
        return;
    }
    forEachRange(command.mapped(), [&](Range &range) {
        range.grantInFlight = false;
        range.dueAt = now + m_options.retryInterval;
        range.confirmed = end == CommandOutcome::Accepted;
        // A grant that was not sent leaves the lease as it was.
        if (end != CommandOutcome::NotSent) {
            range.sentAt = range.grantSentAt;
            range.arrivedBy = now;
            noteGrant(range.owned.owner, now);
        }
        switch (end) {
        case CommandOutcome::Accepted:
            range.dueAt = range.sentAt + m_options.renewInterval;
            range.grantMayArriveLate = false;
            range.owned.handOver.clear();
            range.unansweredSince.reset();
            break;
        case CommandOutcome::Refused:
            range.needsRecord = true;
            break;
        case CommandOutcome::OtherServer:
            range.addressReused = true;
            break;
        case CommandOutcome::Lost:
            range.grantMayArriveLate = true;
            [[fallthrough]];
        case CommandOutcome::NotSent:
            range.unansweredSince = range.unansweredSince.value_or(now);
            range.lastUnansweredAt = now;
            break;
        }
    });
}

auto KeyController::onRelease(std::uint64_t id, CommandOutcome end, const std::string &handOver,
                              TimePoint now) -> void
{
    const auto command = m_pendingCommands.extract(id);
    if (command.empty()) {
        return;
    }
    forEachRange(command.mapped(), [&](Range &range) {
        if (range.phase != Phase::Releasing) {
            return;
        }
        if (end == CommandOutcome::Accepted) {
            range.phase = Phase::Free;
            range.owned.owner = {};
            range.owned.handOver = handOver;
            return;
        }
        // The release may or may not have taken effect. Another grant makes the state known again.
        range.phase = Phase::Held;
        range.dueAt = now + m_options.retryInterval;
        range.confirmed = false;
        range.target.reset();
        range.unansweredSince = range.unansweredSince.value_or(now);
        range.lastUnansweredAt = now;
        range.addressReused = end == CommandOutcome::OtherServer;
    });
}

auto KeyController::shouldResign(TimePoint now) const -> bool
{
    // Counts servers rather than ranges: with hot keys, a few servers may own most ranges.
    auto unreachable = std::map<ServerIncarnation, bool>{};
    for (const auto &[id, service] : m_services) {
        for (const auto &range : service.ranges) {
            if (range.phase == Phase::Held) {
                const auto lost = range.unansweredSince
                    && now - *range.unansweredSince > m_options.unreachableAfter;
                unreachable[range.owned.owner] = unreachable[range.owned.owner] || lost;
            }
        }
    }
    const auto count = std::count_if(unreachable.begin(), unreachable.end(),
                                     [](const auto &item) { return item.second; });
    constexpr auto minServers = std::size_t{3}; // fewer do not show that this VM is at fault
    return m_active && unreachable.size() >= minServers
        && static_cast<std::size_t>(count) * 3 > unreachable.size() * 2;
}

auto KeyController::tick(const ControllerInputs &inputs, TimePoint now)
    -> std::vector<ControllerAction>
{
    auto actions = std::vector<ControllerAction>{};
    updateAddresses(inputs.registry);
    if (m_append && !m_appendInFlight && !m_awaitsView && now >= m_appendRetryAt) {
        m_appendInFlight = true;
        std::visit([&](const auto &append) { actions.emplace_back(append); }, *m_append);
    }
    if (m_active && !m_append && m_fenceCount >= m_options.fencesPerTerm) {
        endTerm();
    }
    if (!m_active) {
        if (m_elected && m_hasView && !m_append && !m_awaitsView) {
            m_append = AppendClaim{.expectedEnd = m_view.end,
                                   .claim = {.term = m_view.claim.term + 1,
                                             .vm = m_options.self,
                                             .incarnation = m_options.incarnation,
                                             .earlier = earlierControllers(now)}};
            m_appendInFlight = true;
            actions.emplace_back(std::get<AppendClaim>(*m_append));
        }
        return actions;
    }
    if (!hasStoreContact(now)) {
        return actions; // another VM may hold the claim by now
    }
    for (const auto &id : inputs.keyedServices) {
        auto &service = m_services[id];
        if (service.ranges.empty()) {
            service.ranges.push_back(
                {.owned = unownedTable().ranges.front(), .phase = Phase::Free});
            service.rebalancedAt = now;
        }
        tickService(id, service, inputs, now, actions);
    }
    return actions;
}

} // namespace figlanding
