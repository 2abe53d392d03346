#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <utility>

namespace figlanding {

auto withLongestLease(KeyControllerOptions options, milliseconds longest) -> KeyControllerOptions
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
    if (m_viewed && view.end < m_view.end) {
        return;
    }
    m_view = view;
    m_viewed = true;
    if (m_active && !holdsClaim()) {
        m_append.reset();
        m_awaitsView = false;
        endTerm();
        return;
    }
    settleConflict(now);
}

auto KeyController::beginTerm(TimePoint now) -> void
{
    m_active = true;
    m_fenceCount = 0;
    m_previousRenewsUntil = now + m_options.controllerLease;
}

auto KeyController::endTerm() -> void
{
    m_active = false;
    m_services.clear();
    m_orders.clear();
}

// The record that stands where an append was to go may be that append itself, done without an
// answer. The topic tells which one it is, as soon as it is read up to there.
auto KeyController::settleConflict(TimePoint now) -> void
{
    if (!m_awaitsView || !m_append) {
        return;
    }
    if (m_view.end <= expectedEndOf(*m_append)) {
        return;
    }
    m_awaitsView = false;
    m_append.reset();
    if (!holdsClaim()) {
        return;
    }
    if (!m_active) {
        m_previousHolder = true; // the claim may have replaced another one
        beginTerm(now);
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
                                      .unanswered = !free,
                                      .sentAt = now});
        }
    }
}

auto KeyController::onAppend(AppendEnd end, LogOffset expectedEnd, TimePoint now) -> void
{
    if (!m_append || expectedEndOf(*m_append) != expectedEnd) {
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
        m_view.claim = claim->claim;
        beginTerm(now);
        adopt(now);
        return;
    }
    const auto &record = std::get<AppendTable>(done);
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
        next.lostSince = sameOwner ? range.lostSince : std::nullopt;
        next.lostAt = range.lostAt;
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
        if (order.keys.contains(range.owned.keys) && range.owned.fence == order.fence) {
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
        range.confirmed = end == OrderEnd::Accepted;
        switch (end) {
        case OrderEnd::Accepted:
            range.dueAt = range.sentAt + m_options.renewInterval;
            range.unanswered = false;
            range.owned.handOver.clear();
            range.lostSince.reset();
            break;
        case OrderEnd::Refused:
            range.needsRecord = true;
            break;
        case OrderEnd::OtherServer:
            range.otherServer = true;
            break;
        case OrderEnd::Lost:
            range.unanswered = true;
            [[fallthrough]];
        case OrderEnd::NotSent:
        case OrderEnd::NoProcess:
            range.lostSince = range.lostSince.value_or(now);
            range.lostAt = now;
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
        // The release may have taken effect or not: a new grant makes the owner certain again.
        range.phase = Phase::Held;
        range.dueAt = now + m_options.retryInterval;
        range.confirmed = false;
        range.target.reset();
        range.lostSince = range.lostSince.value_or(now);
        range.lostAt = now;
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
    if (m_active && !m_append && m_fenceCount >= m_options.fencesPerTerm) {
        endTerm();
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
            service.ranges.push_back(
                {.owned = unownedTable().ranges.front(), .phase = Phase::Free});
            service.rebalancedAt = now;
        }
        tickService(id, service, inputs, now, actions);
    }
    return actions;
}

} // namespace figlanding
