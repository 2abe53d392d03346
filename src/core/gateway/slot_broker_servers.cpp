#include "figlanding/gateway/slot_broker.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>

/// @file
/// What a SlotBroker knows of its servers: losses, service times, cold phases and limits.

namespace figlanding {

namespace {

/// A request that takes less counts as one of this time, so that no route is without work.
constexpr double minSampleMs = 0.1;

} // namespace

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

auto SlotBroker::setGrantsCold(const ServiceId &service, bool grantsCold) -> void
{
    if (grantsCold) {
        m_withoutCold.erase(service);
    } else {
        m_withoutCold.insert(service);
    }
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
    recordEnd(server, granted, result, now);
}

auto SlotBroker::recordDecline(Server &server, const ActiveGrant &granted, const SlotResult &result,
                               TimePoint now) -> void
{
    const auto kind = rejectionKindOf(result, server.info.coldUntil > now);
    const auto waiting = result.load ? result.load->waiting : 0U;
    const auto meanMs = expectedMs(server, now) * m_groups[granted.service].work.mean();
    const auto freeIn = timeToFreeSlot(fromMilliseconds(meanMs), server.info.slots, waiting);
    const auto rest = server.declines.onRejection(
        {.kind = kind, .timeToFreeSlot = freeIn, .grantedAt = granted.grantedAt},
        m_options.declineRest, now);
    m_statistics.rejections[kind] += 1;
    m_statistics.rest += rest;
}

auto SlotBroker::recordRun(Server &server, const SlotResult &result, TimePoint now) -> void
{
    const auto slotIsFree = result.load && result.load->waiting == 0;
    server.declines.onRun(slotIsFree, now);
}

// Keeps the scale of the factors where an average request has about one.
auto SlotBroker::rebaseTimes(ServiceGroup &group) -> void
{
    const auto scale = group.work.rebase();
    for (auto &[id, server] : group.servers) {
        server.normalizedMs *= scale;
        server.observedMs *= scale;
    }
}

// Ignores a time that no request can take, as its slot is reclaimed before: with such an average,
// the server would seem too slow for every request, and no further one would correct it.
auto SlotBroker::recordServiceTime(Server &server, const ActiveGrant &granted,
                                   const SlotResult &result) -> void
{
    if (result.elapsed > granted.expiresAt - granted.grantedAt) {
        return;
    }
    // Service time normalized to the server's usual speed.
    const auto sample =
        toMilliseconds(result.elapsed) / std::max(1.0, result.load ? result.load->slowness : 1.0);
    auto &work = m_groups[granted.service].work;
    if (server.normalizedMs > 0.0) {
        work.add(granted.route, std::max(sample, minSampleMs) / server.normalizedMs);
    }
    rebaseTimes(m_groups[granted.service]);
    const auto factor = work.factor(granted.route);
    const auto update = [&](double &average, double value) {
        average =
            average == 0.0 ? value : average + m_options.serviceTimeWeight * (value - average);
    };
    update(server.normalizedMs, sample / factor);
    update(server.observedMs, toMilliseconds(result.elapsed) / factor);
}

auto SlotBroker::recordEnd(Server &server, const ActiveGrant &granted, const SlotResult &result,
                           TimePoint now) -> void
{
    const auto &zone = granted.zone;
    switch (result.end) {
    case SlotEnd::Served:
    case SlotEnd::Failed:
        recordResponse(server, zone, now);
        recordRun(server, result, now);
        recordServiceTime(server, granted, result);
        break;
    case SlotEnd::Declined:
        recordDecline(server, granted, result, now);
        break;
    case SlotEnd::Misdirected:
        server.pausedUntil = std::max(server.pausedUntil, now + m_options.misdirectedBackoff);
        break;
    case SlotEnd::Lost:
        recordLoss(server, zone, true, now);
        break;
    case SlotEnd::Unreachable:
        recordLoss(server, zone, false, now);
        break;
    case SlotEnd::TimedOut:
        // The timeout of a request that had little time left is no evidence of a server failure.
        if (toMilliseconds(result.elapsed) > observedServiceMs(server)
                * m_groups[granted.service].work.factor(granted.route)
                * m_options.timeoutLossFactor) {
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
    const auto until = std::max(server.pausedUntil, server.declines.until());
    return failures == nullptr ? until : std::max(until, failures->pausedUntil);
}

auto SlotBroker::canAccept(const Server &server, const SlotRequest &request, TimePoint now) const
    -> bool
{
    const auto &zone = request.zone;
    if (!acceptsRequests(server) || unavailableUntil(server, zone) > now
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
        return !m_withoutCold.contains(request.service)
            && static_cast<double>(recent) + 1.0 <= coldRate(server);
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

// Returns the rate at which a server completes requests of factor 1, within its cold rate and its
// limit.
auto SlotBroker::requestsPerMs(const Server &server, const SlotRequest &request,
                               TimePoint now) const -> double
{
    constexpr auto msPerSecond = 1000.0;
    const auto group = m_groups.find(request.service);
    const auto mean = group == m_groups.end() ? 1.0 : group->second.work.mean();
    auto result = server.info.slots / observedServiceMs(server);
    if (isCold(server, request, now)) {
        const auto rate = m_withoutCold.contains(request.service) ? 0.0 : coldRate(server);
        result = std::min(result, rate * mean / msPerSecond);
    }
    if (const auto pace = server.limit.pace(m_limitShare, now)) {
        result = std::min(result, *pace * mean / msPerSecond);
    }
    return result;
}

auto SlotBroker::serviceTimes() const -> std::map<BackendServerId, milliseconds>
{
    auto result = std::map<BackendServerId, milliseconds>{};
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, server] : group.servers) {
            if (server.normalizedMs > 0.0) {
                const auto mean = server.normalizedMs * group.work.mean();
                result.emplace(id, milliseconds(std::llround(mean)));
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
