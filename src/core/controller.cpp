#include "figlanding/controller.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

// If no member of a non-empty member set is operational, a VM that is not a member claims a term
// after this many suspicion timeouts.
constexpr auto nonMemberClaimTimeouts = 4;

// Returns whether the record claims a term, rather than being valid in the current one.
auto isClaim(const RecordPayload &payload) -> bool
{
    return std::holds_alternative<TermClaim>(payload);
}

} // namespace

Controller::Controller(ControllerOptions options)
    : m_options(std::move(options))
    , m_membership(
          {.self = m_options.self, .timing = m_options.timing, .damping = m_options.damping})
    , m_servers(m_options.timing, m_options.damping)
    , m_progress(m_options.timing)
    , m_grants(m_options.commandRetryInterval)
    , m_revocations(m_options.commandRetryInterval)
    , m_controllerOperationalAt(m_options.startedAt)
{ }

auto Controller::onReport(PeerReport report, TimePoint now) -> void
{
    m_reports.onReport(std::move(report), now);
}

auto Controller::onProbe(const BackendServerId &server, bool answered, TimePoint now) -> void
{
    m_servers.onProbe(server, answered, now);
}

auto Controller::onBootId(const BackendServerId &server, const std::string &bootId) -> void
{
    auto &known = m_bootIds[server];
    if (known != bootId) {
        known = bootId;
        m_grants.resetAcknowledgements(server);
    }
}

auto Controller::onRevoked(const ServerCommand &command) -> void
{
    m_revocations.onAcknowledged(command);
}

auto Controller::onGranted(const ServerCommand &command) -> void
{
    m_grants.onAcknowledged(command);
}

auto Controller::onVmList(const std::vector<VmListEntry> &entries, TimePoint now) -> void
{
    m_membership.onVmList(entries, now);
}

auto Controller::requestIsolation(KeyIsolation isolation) -> void
{
    m_requestedIsolations.push_back(std::move(isolation));
}

auto Controller::requestMove(const ServiceId &service, Move move) -> void
{
    m_requestedMoves.emplace_back(service, std::move(move));
}

auto Controller::silentMembers(const ClusterState &state, TimePoint now) const -> std::vector<VmId>
{
    return m_membership.silentMembers(state, m_reports, now);
}

auto Controller::isController(const ClusterState &state) const -> bool
{
    return state.term != 0 && state.controller == m_options.self && state.term == m_claimedTerm;
}

auto Controller::tick(const ControllerView &view, TimePoint now) -> std::vector<ControllerAction>
{
    const auto &state = view.state;
    auto actions = std::vector<ControllerAction>{};
    updateObservations(state, now);
    clearPendingAppend(state);
    if (isController(state)) {
        m_moves = openMoves(state);
        m_progress.update(state, m_moves, m_reports,
                          m_membership.removedByPlatform(state, m_reports, now), now);
        if (view.fresh) {
            serverActions(state, now, actions);
        }
    } else {
        m_requestedIsolations.clear();
        m_requestedMoves.clear();
    }
    appendNext(view, now, actions);
    return actions;
}

auto Controller::updateObservations(const ClusterState &state, TimePoint now) -> void
{
    if (state.term != m_observedTerm) {
        m_observedTerm = state.term;
        m_controllerOperationalAt = now;
        m_grants.setCommands({});
        m_revocations.setCommands({});
        m_grantsOffset.reset();
        m_plannedOffset.reset();
    }
    if (isControllerOperational(state, now)) {
        const auto *entry = m_reports.find(state.controller);
        m_controllerOperationalAt = isController(state) ? now : entry->receivedAt;
    }
    m_membership.update(state, m_reports, now);
    m_servers.update(state, m_reports, now);
}

auto Controller::clearPendingAppend(const ClusterState &state) -> void
{
    if (!m_pending) {
        return;
    }
    const auto writer = state.writers.find(m_options.writer);
    const auto applied =
        writer != state.writers.end() && writer->second.first >= m_pending->record.id.sequence;
    const auto outdated = isClaim(m_pending->record.payload) ? state.term >= m_pending->term
                                                             : state.term != m_pending->term;
    if (applied || outdated) {
        m_pending.reset();
    }
}

auto Controller::appendNext(const ControllerView &view, TimePoint now,
                            std::vector<ControllerAction> &actions) -> void
{
    if (m_pending) {
        if (now - m_pending->sentAt >= m_options.appendRetryInterval) {
            m_pending->sentAt = now;
            actions.emplace_back(AppendRecord{.record = m_pending->record});
        }
        return;
    }
    if (isController(view.state)) {
        if (auto payload = nextPayload(view, now)) {
            actions.emplace_back(append(std::move(*payload), view.state.term, now));
        }
    } else if (auto payload = nextClaim(view, now)) {
        m_claimedTerm = view.state.term + 1;
        actions.emplace_back(append(std::move(*payload), m_claimedTerm, now));
    }
}

auto Controller::append(RecordPayload payload, Term term, TimePoint now) -> AppendRecord
{
    ++m_sequence;
    auto record = Record{.id = {.writer = m_options.writer, .sequence = m_sequence},
                         .payload = std::move(payload)};
    m_pending = PendingAppend{.record = record, .term = term, .sentAt = now};
    return AppendRecord{.record = std::move(record)};
}

auto Controller::nextClaim(const ControllerView &view, TimePoint now) const
    -> std::optional<RecordPayload>
{
    const auto *own = m_reports.find(m_options.self);
    const auto leaving = own != nullptr && own->report.leaving;
    if (!view.logReachable || leaving || isControllerOperational(view.state, now)) {
        return std::nullopt;
    }
    const auto delay = claimDelay(view.state, now);
    if (!delay || now - m_controllerOperationalAt < *delay) {
        return std::nullopt;
    }
    return TermClaim{.term = view.state.term + 1, .vm = m_options.self};
}

auto Controller::isOperational(const VmId &vm, TimePoint now) const -> bool
{
    const auto *entry = m_reports.find(vm);
    return m_reports.isAlive(vm, now, m_options.timing.suspicionTimeout)
        && entry->report.logReachable && !entry->report.leaving;
}

auto Controller::isControllerOperational(const ClusterState &state, TimePoint now) const -> bool
{
    if (state.term == 0 || state.controller.empty()) {
        return false;
    }
    // A term of an earlier incarnation of this VM does not count: appends of that incarnation may
    // still be in flight.
    return state.controller == m_options.self ? isController(state)
                                              : isOperational(state.controller, now);
}

auto Controller::claimCandidates(const ClusterState &state, TimePoint now) const
    -> std::vector<VmId>
{
    auto members = std::vector<VmId>{};
    auto others = std::vector<VmId>{};
    for (const auto &[vm, entry] : m_reports.all()) {
        if (vm != m_options.self && !isOperational(vm, now)) {
            continue;
        }
        (state.members.contains(vm) ? members : others).push_back(vm);
    }
    return members.empty() ? others : members;
}

auto Controller::claimDelay(const ClusterState &state, TimePoint now) const
    -> std::optional<Duration>
{
    if (state.controller == m_options.self) {
        return Duration::zero();
    }
    const auto vms = claimCandidates(state, now);
    const auto own = std::find(vms.begin(), vms.end(), m_options.self);
    if (own == vms.end()) {
        return std::nullopt;
    }
    const auto isNonMember = !state.members.empty() && !state.members.contains(m_options.self);
    const auto claimTimeout =
        m_options.timing.suspicionTimeout * (isNonMember ? nonMemberClaimTimeouts : 1);
    return claimTimeout + m_options.timing.heartbeatInterval * (own - vms.begin());
}

} // namespace figlanding
