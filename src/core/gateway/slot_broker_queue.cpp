#include "figlanding/gateway/slot_broker.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

/// @file
/// The queue of a SlotBroker: how long a request waits, who is next and who is refused.

namespace figlanding {

// Returns the work of the requests that wait ahead of a request that arrives, as a sum of factors.
auto SlotBroker::workAhead(const ServiceGroup &group, const SlotRequest &request) -> double
{
    auto result = 0.0;
    for (const auto &other : group.waiting) {
        const auto isAhead = other.owner == request.owner && other.priority <= request.priority;
        result += isAhead ? group.work.factor(other.route) : 0.0;
    }
    return result;
}

auto SlotBroker::expectedWait(const ServiceGroup &group, const SlotRequest &request, double ahead,
                              TimePoint now) const -> std::optional<Duration>
{
    const auto servers = throughput(group, request, now);
    if (servers.perMs <= 0.0) {
        return servers.pause;
    }
    if (servers.hasFreeSlot && ahead <= 0.0) {
        return Duration::zero();
    }
    // Besides those ahead, one of the running requests has to end.
    return fromMilliseconds((ahead + group.work.mean()) / servers.perMs);
}

// Refuses each request that cannot be served in time after those ahead of it in the queue.
auto SlotBroker::refuseInfeasible(ServiceGroup &group, TimePoint now) -> void
{
    auto workByOwner = std::map<BackendServerId, double>{};
    std::erase_if(group.waiting, [&](const SlotRequest &request) {
        auto &work = workByOwner[request.owner];
        const auto wait = expectedWait(group, request, work, now);
        // Without available servers a request keeps waiting: the registry or the owner may change.
        const auto needed = wait.value_or(Duration::zero()) + minServiceTime(group, request);
        if (now + needed <= request.deadline) {
            work += group.work.factor(request.route);
            return false;
        }
        m_waiting.erase(request.id);
        refuse(request, wait.value_or(retryAfterWithoutServers));
        return true;
    });
}

auto SlotBroker::overdueShare(ServiceGroup &group, const BackendServerId &owner) -> OverdueShare *
{
    if (owner.empty()) {
        return &group.overdue;
    }
    const auto found = group.servers.find(owner);
    return found == group.servers.end() ? nullptr : &found->second.overdue;
}

// Returns the oldest request of each owner that is past its objective and behind more urgent ones,
// as far as the share of overdue requests has room for it.
auto SlotBroker::findOverdue(ServiceGroup &group, TimePoint now) -> std::set<TicketId>
{
    auto mostUrgent = std::map<BackendServerId, std::uint32_t>{};
    auto oldest = std::map<BackendServerId, const SlotRequest *>{};
    for (const auto &request : group.waiting) {
        auto &urgent = mostUrgent.try_emplace(request.owner, request.priority).first->second;
        urgent = std::min(urgent, request.priority);
    }
    for (const auto &request : group.waiting) {
        if (request.objectiveAt > now || request.priority == mostUrgent.at(request.owner)) {
            continue;
        }
        auto *&first = oldest[request.owner];
        if (first == nullptr || request.arrivedAt < first->arrivedAt) {
            first = &request;
        }
    }
    auto result = std::set<TicketId>{};
    for (const auto &[owner, request] : oldest) {
        const auto *share = overdueShare(group, owner);
        if (share != nullptr && share->isDue(group.work.factor(request->route))) {
            result.insert(request->id);
        }
    }
    return result;
}

auto SlotBroker::sortQueue(ServiceGroup &group, TimePoint now) -> std::set<TicketId>
{
    auto &queue = group.waiting;
    const auto isOther = [&](const auto &request) {
        return request.priority != queue.front().priority;
    };
    const auto mixed = std::any_of(queue.begin(), queue.end(), isOther);
    auto overdue = mixed ? findOverdue(group, now) : std::set<TicketId>{};
    // Within a priority, requests that can still meet their objective precede those that cannot.
    const auto order = [&](const SlotRequest &request) {
        return std::tuple(!overdue.contains(request.id), request.priority,
                          request.objectiveAt <= now, request.arrivedAt);
    };
    const auto before = [&](const auto &left, const auto &right) {
        return order(left) < order(right);
    };
    if (!std::is_sorted(queue.begin(), queue.end(), before)) {
        std::stable_sort(queue.begin(), queue.end(), before);
    }
    return overdue;
}

auto SlotBroker::dispatch(ServiceGroup &group, TimePoint now) -> void
{
    const auto overdue = sortQueue(group, now);
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
        if (auto *share = overdueShare(group, request.owner)) {
            const auto work = group.work.factor(request.route);
            overdue.contains(request.id) ? share->onOverdueGrant(work) : share->onGrant(work);
        }
        grant(request, *server, now);
        return true;
    });
}

} // namespace figlanding
