#include "figlanding/gateway/key_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

// Leases of ranges: when they end, what earlier controllers may have renewed, and which ranges have
// no live owner.

namespace figlanding {

namespace {

/// Time for which grants are remembered; the leases that they began are over by then.
constexpr seconds grantMemory{30};
/// Time after the claim of another VM in which this one reports to it.
constexpr seconds reportDuration{3};

} // namespace

auto toText(OwnerWait wait) -> std::string_view
{
    switch (wait) {
    case OwnerWait::Store:
        return "store";
    case OwnerWait::Release:
        return "release";
    case OwnerWait::Lease:
        return "lease";
    case OwnerWait::Candidate:
        return "candidate";
    case OwnerWait::Record:
        return "record";
    }
    return "unknown";
}

auto KeyController::leaseWithDrift() const -> Duration
{
    const auto lease =
        std::chrono::duration<double, std::milli>(m_options.lease) * (1.0 + m_options.clockDrift);
    return std::chrono::duration_cast<Duration>(lease) + m_options.timerMargin;
}

// Returns the controllers that may still renew leases when this VM claims ownership; nothing if the
// present claim does not tell. Those before the present claim have stopped once it is old enough.
auto KeyController::earlierControllers(TimePoint now) const
    -> std::optional<std::vector<ControllerProcess>>
{
    const auto &claim = m_view.claim;
    auto result = std::vector<ControllerProcess>{};
    if (claim.term == 0) {
        return m_view.tables.empty() ? std::optional(result) : std::nullopt;
    }
    result.push_back({.vm = claim.vm, .incarnation = claim.incarnation});
    if (now - m_claimSeenAt >= m_options.controllerLease) {
        return result;
    }
    if (!claim.earlier) {
        return std::nullopt;
    }
    std::copy_if(claim.earlier->begin(), claim.earlier->end(), std::back_inserter(result),
                 [&](const ControllerProcess &process) { return process != result.front(); });
    return result;
}

// Notes which processes may have renewed leases before this VM's claim.
auto KeyController::takeOverLeases(TimePoint now) -> void
{
    m_earlierControllers.clear();
    std::erase_if(m_lastGrants, [&](const auto &item) { return item.second + grantMemory < now; });
    const auto renewsUntil = now + m_options.controllerLease;
    m_unlistedRenewUntil = m_view.claim.earlier ? TimePoint{} : renewsUntil + m_options.callTimeout;
    for (const auto &earlier : m_view.claim.earlier.value_or(std::vector<ControllerProcess>{})) {
        // Two processes of a VM never run at the same time.
        const auto hasEnded = earlier.vm == m_options.self;
        m_earlierControllers.push_back(
            {.process = earlier, .renewsUntil = hasEnded ? now : renewsUntil});
        if (earlier == process()) {
            m_earlierControllers.back().grants = m_lastGrants;
        }
    }
}

// The outcomes of grants in flight are not awaited when the term ends.
auto KeyController::noteGrantsInFlight() -> void
{
    for (const auto &[id, service] : m_services) {
        for (const auto &range : service.ranges) {
            if (range.grantInFlight) {
                noteGrant(range.owned.owner, range.grantSentAt + m_options.callTimeout);
            }
        }
    }
}

auto KeyController::noteGrant(const ServerIncarnation &server, TimePoint arrivedBy) -> void
{
    auto &last = m_lastGrants[server];
    last = std::max(last, arrivedBy);
}

// Returns until when grants of earlier controllers may have arrived at a server.
auto KeyController::grantedByOthersUntil(const ServerIncarnation &owner) const -> TimePoint
{
    auto result = m_unlistedRenewUntil;
    for (const auto &earlier : m_earlierControllers) {
        if (!earlier.grants) {
            result = std::max(result, earlier.renewsUntil + m_options.callTimeout);
        } else if (const auto grant = earlier.grants->find(owner); grant != earlier.grants->end()) {
            result = std::max(result, grant->second);
        }
    }
    return result;
}

// A process that has read this VM's claim is either the earlier controller, which then stops, or a
// later process of its VM: the earlier controller claimed before, and did not run beside it.
auto KeyController::onProgress(const ProcessProgress &progress, TimePoint now) -> void
{
    if (!m_active || progress.ownershipEnd <= m_claimOffset) {
        return;
    }
    for (auto &earlier : m_earlierControllers) {
        if (earlier.process.vm == progress.process.vm) {
            const auto ended = earlier.process == progress.process ? now : now - progress.uptime;
            earlier.renewsUntil = std::min<TimePoint>(earlier.renewsUntil, ended);
        }
    }
}

auto KeyController::leaseReport(TimePoint now) const -> std::optional<LeaseReport>
{
    if (m_active || !m_hasView || holdsClaim() || now - m_claimSeenAt > reportDuration) {
        return std::nullopt;
    }
    auto report = LeaseReport{.term = m_view.claim.term, .grants = {}};
    for (const auto &[server, arrivedBy] : m_lastGrants) {
        if (arrivedBy + grantMemory >= now) {
            report.grants.push_back(
                {.server = server, .ago = std::chrono::floor<milliseconds>(now - arrivedBy)});
        }
    }
    return report.grants.empty() ? std::nullopt : std::optional(std::move(report));
}

// A process that reports for this VM's term has read its claim, and grants nothing more.
auto KeyController::onLeaseReport(const ControllerProcess &from, const LeaseReport &report,
                                  TimePoint now) -> void
{
    if (!m_active || report.term != m_view.claim.term) {
        return;
    }
    for (auto &earlier : m_earlierControllers) {
        if (earlier.process != from || earlier.grants) {
            continue;
        }
        earlier.grants.emplace();
        for (const auto &grant : report.grants) {
            earlier.grants->emplace(grant.server, now - grant.ago);
        }
    }
}

auto KeyController::leaseEnd(const Range &range) const -> TimePoint
{
    return std::max(range.arrivedBy, grantedByOthersUntil(range.owned.owner)) + leaseWithDrift();
}

// An address is reused only after its server has exited. Whatever a cut can cause is no proof.
auto KeyController::ownerExited(const Range &range, const ServerRegistry &registry) const -> bool
{
    if (range.addressReused || registry.find(range.owned.owner.server) != nullptr) {
        return range.addressReused;
    }
    const auto address = m_addresses.find(range.owned.owner);
    return address != m_addresses.end()
        && registry.hasLaterServerAt(address->second, range.owned.owner.startedUnixMs);
}

// Returns whether the next grant may renew the lease, or begin it anew if it has ended, as after a
// time without a controller.
auto KeyController::isRenewable(const Range &range, const ServerRegistry &registry) -> bool
{
    return !range.unansweredSince && registry.ownerState(range.owned.owner) != OwnerState::Restarted
        && registry.find(range.owned.owner.server) != nullptr;
}

auto KeyController::freeAbandonedRanges(Service &service, const ControllerInputs &inputs,
                                        TimePoint now) -> void
{
    for (auto &range : service.ranges) {
        // A grant in flight may reach a new incarnation at the same address.
        if (range.phase == Phase::Free || range.grantInFlight) {
            continue;
        }
        const auto exited = ownerExited(range, inputs.registry);
        const auto expired = !isRenewable(range, inputs.registry) && now >= leaseEnd(range);
        if (expired && !exited) {
            m_avoidedUntil[range.owned.owner] = now + m_options.avoidDuration;
        }
        if (exited || expired) {
            range.phase = Phase::Free;
            range.owned.owner = {};
            range.owned.handOver.clear();
            range.target.reset();
        }
    }
}

auto KeyController::hasStoreContact(TimePoint now) const -> bool
{
    return now - m_storeContactAt <= m_options.controllerLease;
}

auto KeyController::noteUnserved(Service &service, const ServerRegistry &registry, TimePoint now)
    -> void
{
    for (auto &range : service.ranges) {
        const auto served = range.phase == Phase::Held && !range.unansweredSince
            && registry.ownerState(range.owned.owner) == OwnerState::Usable;
        range.unservedSince =
            served ? std::nullopt : std::optional(range.unservedSince.value_or(now));
    }
}

auto KeyController::waitOf(const Range &range, TimePoint now) const -> OwnerWait
{
    if (!hasStoreContact(now)) {
        return OwnerWait::Store;
    }
    if (range.phase == Phase::Releasing) {
        return OwnerWait::Release;
    }
    if (range.phase == Phase::Held) {
        return range.needsRecord ? OwnerWait::Record : OwnerWait::Lease;
    }
    return range.target ? OwnerWait::Record : OwnerWait::Candidate;
}

auto KeyController::unservedRanges(TimePoint now) const -> std::vector<UnservedRange>
{
    auto result = std::vector<UnservedRange>{};
    for (const auto &[id, service] : m_services) {
        for (const auto &range : service.ranges) {
            if (range.unservedSince) {
                result.push_back({.service = id,
                                  .keys = range.owned.keys,
                                  .owner = range.owned.owner.server,
                                  .waitsFor = waitOf(range, now),
                                  .since = *range.unservedSince});
            }
        }
    }
    return result;
}

} // namespace figlanding
