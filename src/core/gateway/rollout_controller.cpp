#include "figlanding/gateway/rollout_controller.h"

#include "figlanding/gateway/ordered_version.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace figlanding {

namespace {

// Returns the record after @p record.
auto next(const RolloutRecord &record) -> RolloutRecord
{
    auto result = record;
    result.revision += 1;
    return result;
}

auto rolledBack(const RolloutRecord &record, std::string reason) -> RolloutRecord
{
    auto result = next(record);
    result.phase = RolloutPhase::RolledBack;
    result.share = 0.0;
    result.trialServers.clear();
    result.withheld.push_back(record.version);
    result.reason = std::move(reason);
    return result;
}

// A repeated order goes on with the roll-out that runs.
auto isSameRollout(const RolloutRecord &before, const RolloutRecord &record) -> bool
{
    return before.order == record.order
        || (isRunning(before) && before.version == record.version
            && before.orderedUnixMs == record.orderedUnixMs);
}

auto slotsOf(const std::vector<const RegisteredServer *> &servers) -> double
{
    auto slots = 0.0;
    for (const auto *server : servers) {
        slots += server->entry.slots;
    }
    return slots;
}

auto fractionOf(milliseconds duration, double fraction) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * fraction);
}

} // namespace

RolloutController::RolloutController(ServiceId service, const RolloutControllerOptions &options)
    : m_service(std::move(service))
    , m_options(options)
    , m_judge(options.judge)
{ }

auto RolloutController::onReport(const VmProcess &from, const RolloutReport &report, TimePoint now)
    -> void
{
    if (!m_orders.contains(report.order)) {
        return;
    }
    m_judge.add(report.counts, now);
    m_progress[from] = {.revision = report.revision, .pendingAtOld = report.pendingAtOld};
}

auto RolloutController::step(const RolloutInputs &inputs, TimePoint now)
    -> std::optional<RolloutRecord>
{
    if (!inputs.serversKnown) {
        return std::nullopt;
    }
    follow(inputs, now);
    const auto *order = inputs.order;
    const auto *record = inputs.record;
    const auto isNewOrder =
        order != nullptr && (record == nullptr || record->order < order->offset);
    if (isNewOrder) {
        const auto sameVersion = record != nullptr && record->version == order->version;
        if (record != nullptr && isRunning(*record) && !sameVersion) {
            return rolledBack(*record, "another version was ordered");
        }
        if (sameVersion && record->phase != RolloutPhase::RolledBack) {
            auto repeated = next(*record); // keeps its deadline: the earlier one satisfies both
            repeated.order = order->offset;
            return repeated;
        }
        return begin(inputs);
    }
    if (record == nullptr || !isRunning(*record)) {
        return std::nullopt;
    }
    return record->phase == RolloutPhase::Trial ? stepTrial(inputs, now) : stepShift(inputs, now);
}

// Begins evidence anew for another roll-out, and notes since when the newest record is known.
auto RolloutController::follow(const RolloutInputs &inputs, TimePoint now) -> void
{
    if (!std::exchange(m_began, true) && inputs.record != nullptr && isRunning(*inputs.record)) {
        m_tookOverAt = now;
    }
    if (inputs.record == nullptr) {
        return;
    }
    const auto &record = *inputs.record;
    if (!m_followed || !isSameRollout(*m_followed, record)) {
        m_orders.clear();
        m_judge = RolloutJudge(m_options.judge);
        m_judgement = {};
        m_suspects.clear();
        m_progress.clear();
    }
    m_orders.insert(record.order);
    if (!m_followed || m_followed->revision != record.revision) {
        m_followed = record;
        m_followedSince = now;
    }
}

auto RolloutController::begin(const RolloutInputs &inputs) const -> RolloutRecord
{
    const auto &order = *inputs.order;
    const auto sinceOrder = std::chrono::duration_cast<milliseconds>(inputs.sinceOrder);
    auto record = RolloutRecord{.service = m_service,
                                .version = order.version,
                                .order = order.offset,
                                .revision = 1,
                                .orderedUnixMs = inputs.unixMs - sinceOrder.count(),
                                .duration = order.duration,
                                .reason = "ordered"};
    if (const auto *before = inputs.record) {
        record.revision = before->revision + 1;
        record.base = before->phase == RolloutPhase::Completed ? before->version : before->base;
        record.withheld = before->withheld;
        std::erase(record.withheld, order.version);
    }
    const auto isInForce = hasServersOf(inputs.registry, m_service, order.version)
        && !hasServersBeside(inputs.registry, m_service, order.version,
                             {record.withheld.begin(), record.withheld.end()});
    if (isInForce) {
        record.revision -= 1; // completed() counts it
        record = completed(record, inputs, "the version is in force already");
        record.share = 1.0;
    }
    return record;
}

auto RolloutController::stepTrial(const RolloutInputs &inputs, TimePoint now)
    -> std::optional<RolloutRecord>
{
    const auto &record = *inputs.record;
    const auto left = record.duration - inputs.sinceOrder;
    const auto servers = findCandidates(inputs, now);
    m_judgement = m_judge.judge(EvidenceScope::All);
    if (m_judgement.bad) {
        return rolledBack(record, m_judgement.reason);
    }
    m_suspects.insert(m_judgement.suspects.begin(), m_judgement.suspects.end());
    const auto trialServers = nextTrialServers(record, servers, inputs);
    if (trialServers.empty() && !m_suspects.empty()) {
        return rolledBack(record, "no server of the version gives good responses");
    }
    const auto shiftTime = std::max<Duration>(m_options.minShiftTime,
                                              fractionOf(record.duration, m_options.shiftFraction));
    const auto early = inputs.sinceOrder < fractionOf(record.duration, m_options.minTrialFraction);
    const auto late = left <= shiftTime;
    const auto known = late ? m_judgement.enoughWhenLate : m_judgement.enough;
    if ((late || !early) && known && hasCapacity(servers) && left > m_options.lastShiftStart) {
        auto shift = next(record);
        shift.phase = RolloutPhase::Shift;
        shift.share = std::max(record.share, m_options.shiftShares.front());
        shift.reason = "no worse in " + std::to_string(m_judgement.responses) + " responses";
        return shift;
    }
    if (left <= m_options.lastShiftStart) {
        return rolledBack(record,
                          known ? "too few servers of the version" : "too few responses to judge");
    }
    const auto share = trialShare(trialServers.size(), servers.inForce.size());
    // A record for each server that comes or goes would be of no use.
    constexpr auto leastChange = 0.8;
    if (trialServers == record.trialServers && share >= leastChange * record.share) {
        return std::nullopt;
    }
    auto trial = next(record);
    trial.trialServers = trialServers;
    trial.share = share;
    return trial;
}

auto RolloutController::stepShift(const RolloutInputs &inputs, TimePoint now)
    -> std::optional<RolloutRecord>
{
    const auto &record = *inputs.record;
    const auto left = record.duration - inputs.sinceOrder;
    m_judgement = m_judge.judge(EvidenceScope::Recent);
    if (m_judgement.bad) {
        return rolledBack(record, m_judgement.reason);
    }
    if (!hasCapacity(findCandidates(inputs, now))) {
        return rolledBack(record, "too few servers of the version are left");
    }
    const auto &shares = m_options.shiftShares;
    const auto step = std::find_if(shares.begin(), shares.end(),
                                   [&](double share) { return share > record.share; });
    if (step == shares.end()) {
        const auto done = nothingAtOld(inputs) || left <= m_options.completionMargin;
        return done
            ? std::optional(completed(record, inputs, "no request is left at the replaced servers"))
            : std::nullopt;
    }
    if (left <= Duration::zero()) {
        return rolledBack(record, "the time of the order is over");
    }
    const auto hurry = left <= m_options.lastShiftStart;
    if (!hurry && now - m_followedSince < m_options.stepInterval) {
        return std::nullopt;
    }
    auto shift = next(record);
    shift.share = hurry ? shares.back() : *step;
    return shift;
}

// Servers on trial stay while they can: each change loses the requests that wait for them. Others
// come from the zones with the fewest.
auto RolloutController::nextTrialServers(const RolloutRecord &record, const Candidates &servers,
                                         const RolloutInputs &inputs)
    -> std::vector<BackendServerId>
{
    const auto limit = trialServerLimit(servers.inForce.size(), inputs.keyed);
    auto chosen = std::vector<BackendServerId>{};
    auto usable = std::map<BackendServerId, AvailabilityZoneId>{};
    for (const auto *server : servers.fresh) {
        if (!m_suspects.contains(server->entry.id)) {
            usable.emplace(server->entry.id, server->entry.zone);
        }
    }
    auto perZone = std::map<AvailabilityZoneId, std::size_t>{};
    const auto choose = [&](const BackendServerId &id) {
        perZone[usable.at(id)] += 1;
        usable.erase(id);
        chosen.push_back(id);
    };
    for (const auto &id : record.trialServers) {
        if (usable.contains(id) && chosen.size() < limit) {
            choose(id);
        }
    }
    while (chosen.size() < limit && !usable.empty()) {
        const auto best = std::min_element(usable.begin(), usable.end(),
                                           [&](const auto &left, const auto &right) {
                                               return perZone[left.second] < perZone[right.second];
                                           });
        choose(BackendServerId(best->first));
    }
    return chosen;
}

// Returns the most servers whose part of all servers in use is within the share. Requests without a
// key are divided by chance, so that one server never gets more; keys are divided by server.
auto RolloutController::trialServerLimit(std::size_t inForce, bool keyed) const -> std::size_t
{
    const auto share = m_options.maxShare * m_options.shareMargin;
    const auto count = std::floor(share / (1.0 - share) * static_cast<double>(inForce));
    return std::clamp<std::size_t>(static_cast<std::size_t>(count), keyed ? 0 : 1,
                                   m_options.maxTrialServers);
}

auto RolloutController::trialShare(std::size_t trialServers, std::size_t inForce) const -> double
{
    const auto allowed = m_options.maxShare * m_options.shareMargin;
    const auto equalLoad =
        static_cast<double>(trialServers) / static_cast<double>(std::max<std::size_t>(inForce, 1));
    return std::min(allowed, equalLoad);
}

auto RolloutController::findCandidates(const RolloutInputs &inputs, TimePoint now) const
    -> Candidates
{
    const auto &record = *inputs.record;
    const auto &evacuated = inputs.registry.evacuatedZones();
    const auto &withheld = record.withheld;
    auto result = Candidates{};
    for (const auto &[id, server] : inputs.registry.servers()) {
        const auto &entry = server.entry;
        const auto leaves = entry.draining || server.leaving || evacuated.contains(entry.zone);
        if (entry.service != m_service || leaves) {
            continue;
        }
        if (entry.version == record.version) {
            if (isKnown(record, server) ? now >= server.coldUntil : !isSettling(server, now)) {
                result.fresh.push_back(&server);
            }
        } else if (std::find(withheld.begin(), withheld.end(), entry.version) == withheld.end()) {
            result.inForce.push_back(&server);
        }
    }
    return result;
}

auto RolloutController::isKnown(const RolloutRecord &record, const RegisteredServer &server) const
    -> bool
{
    const auto &onTrial = record.trialServers;
    return record.phase == RolloutPhase::Shift
        || (m_tookOverAt && server.firstSeenAt <= *m_tookOverAt)
        || std::find(onTrial.begin(), onTrial.end(), server.entry.id) != onTrial.end();
}

auto RolloutController::hasCapacity(const Candidates &servers) const -> bool
{
    return !servers.fresh.empty()
        && slotsOf(servers.fresh) >= m_options.minCapacity * slotsOf(servers.inForce);
}

auto RolloutController::nothingAtOld(const RolloutInputs &inputs) const -> bool
{
    const auto &record = *inputs.record;
    const auto &owners = inputs.keyOwners;
    const auto ownsKeys = std::any_of(owners.begin(), owners.end(), [&](const auto &id) {
        const auto *server = inputs.registry.find(id);
        return server != nullptr && server->entry.version != record.version;
    });
    return !ownsKeys
        && std::all_of(inputs.liveVms.begin(), inputs.liveVms.end(), [&](const VmProcess &vm) {
               const auto progress = m_progress.find(vm);
               return progress != m_progress.end() && progress->second.revision >= record.revision
                   && progress->second.pendingAtOld == 0;
           });
}

auto RolloutController::completed(const RolloutRecord &record, const RolloutInputs &inputs,
                                  std::string reason) const -> RolloutRecord
{
    auto result = next(record);
    result.phase = RolloutPhase::Completed;
    result.trialServers.clear();
    auto old = std::set<ServerVersion>(result.withheld.begin(), result.withheld.end());
    for (const auto &[id, server] : inputs.registry.servers()) {
        if (server.entry.service == m_service && server.entry.version != result.version) {
            old.insert(server.entry.version);
        }
    }
    result.withheld.assign(old.begin(), old.end());
    result.reason = std::move(reason);
    return result;
}

} // namespace figlanding
