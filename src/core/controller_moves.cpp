#include "figlanding/controller.h"

#include <algorithm>
#include <array>
#include <utility>

namespace figlanding {

namespace {

// A balancing batch moves up to 1/balancingDivisor of a service's shards, or minBalancingBatch
// shards if that is more.
constexpr std::size_t balancingDivisor = 20;
constexpr std::size_t minBalancingBatch = 8;

// Moves in order of urgency. Each BeginMoves record has moves of one group only, as its moves are
// committed together and the groups wait for different conditions.
enum class MoveGroup { NoOwner, OwnerDown, OwnerUp };
constexpr std::size_t moveGroupCount = 3;

auto findAssignment(const ClusterState &state, const ServiceId &service, const Move &move)
    -> const Assignment *
{
    const auto found = state.assignments.find(service);
    if (found == state.assignments.end()) {
        return nullptr;
    }
    const auto &assignments = found->second;
    if (move.key.empty()) {
        return move.shard < assignments.shards.size() ? &assignments.shards[move.shard] : nullptr;
    }
    const auto key = assignments.isolatedKeys.find(move.key);
    return key == assignments.isolatedKeys.end() ? nullptr : &key->second;
}

auto groupOf(const ClusterState &state, const ServiceId &service, const Move &move) -> MoveGroup
{
    const auto *assignment = findAssignment(state, service, move);
    if (assignment == nullptr || assignment->owner.empty()) {
        return MoveGroup::NoOwner;
    }
    return isUp(state, assignment->owner) ? MoveGroup::OwnerUp : MoveGroup::OwnerDown;
}

// Returns whether a requested move can begin in the current state.
auto isPossible(const ClusterState &state, const ServiceId &service, const Move &move) -> bool
{
    const auto *assignment = findAssignment(state, service, move);
    const auto target = state.servers.find(move.to);
    return assignment != nullptr && !assignment->moving() && assignment->owner != move.to
        && target != state.servers.end() && isAvailable(state, target->second.object);
}

} // namespace

auto Controller::nextPayload(const ControllerView &view, TimePoint now)
    -> std::optional<RecordPayload>
{
    const auto &state = view.state;
    if (!view.fresh) {
        // After a restart of all VMs, no view becomes fresh until the members have rejoined.
        auto change = view.logReachable ? nextMemberChange(state, now) : std::nullopt;
        const auto joins = change && std::get<MemberChange>(*change).join;
        return joins ? change : std::nullopt;
    }
    if (auto commit = nextCommit(state, now)) {
        return commit;
    }
    if (auto change = nextMemberChange(state, now)) {
        return change;
    }
    if (auto change = m_servers.next(state, now)) {
        change->term = state.term;
        return *change;
    }
    if (auto isolation = nextIsolation(state)) {
        return isolation;
    }
    if (auto begin = nextRequestedMoves(state)) {
        return begin;
    }
    return nextPlannedMoves(state, now);
}

auto Controller::nextMemberChange(const ClusterState &state, TimePoint now) const
    -> std::optional<RecordPayload>
{
    if (!m_progress.membersEffective(now)) {
        return std::nullopt;
    }
    auto change = m_membership.next(state, m_reports, now);
    if (!change) {
        return std::nullopt;
    }
    change->term = state.term;
    return *change;
}

auto Controller::nextCommit(const ClusterState &state, TimePoint now) const
    -> std::optional<RecordPayload>
{
    for (const auto &move : m_moves) {
        if (m_progress.mayCommit(move, isRevoked(state, move), now)) {
            return CommitMoves{.term = state.term, .service = move.service, .begin = move.begin};
        }
    }
    return std::nullopt;
}

auto Controller::nextIsolation(const ClusterState &state) -> std::optional<RecordPayload>
{
    if (m_requestedIsolations.empty()) {
        return std::nullopt;
    }
    auto isolation = std::move(m_requestedIsolations.front());
    m_requestedIsolations.pop_front();
    isolation.term = state.term;
    return isolation;
}

auto Controller::nextRequestedMoves(const ClusterState &state) -> std::optional<RecordPayload>
{
    auto begin = BeginMoves{.term = state.term};
    while (!m_requestedMoves.empty() && begin.moves.size() < m_options.maxMovesPerRecord) {
        if (!begin.moves.empty() && m_requestedMoves.front().first != begin.service) {
            break;
        }
        auto request = std::move(m_requestedMoves.front());
        m_requestedMoves.pop_front();
        const auto &move = request.second;
        const auto repeated =
            std::any_of(begin.moves.begin(), begin.moves.end(), [&](const Move &other) {
                return other.key == move.key && other.shard == move.shard;
            });
        if (!repeated && isPossible(state, request.first, move)) {
            begin.service = std::move(request.first);
            begin.moves.push_back(std::move(request.second));
        }
    }
    return begin.moves.empty() ? std::nullopt : std::optional<RecordPayload>(std::move(begin));
}

auto Controller::nextPlannedMoves(const ClusterState &state, TimePoint now)
    -> std::optional<RecordPayload>
{
    if (m_plannedOffset == state.offset && now < m_replanAt) {
        return std::nullopt;
    }
    for (const auto &[id, service] : state.services) {
        if (service.object.mode != ServiceMode::Exclusive) {
            continue;
        }
        auto moves = movesFor(state, service.object, now);
        if (!moves.empty()) {
            return BeginMoves{.term = state.term, .service = id, .moves = std::move(moves)};
        }
    }
    m_plannedOffset = state.offset;
    m_replanAt = now + m_options.balancingInterval;
    return std::nullopt;
}

auto Controller::movesFor(const ClusterState &state, const Service &service, TimePoint now)
    -> std::vector<Move>
{
    auto plan = planMoves(state, service, StableLeastLoaded{});
    if (!plan.required.empty()) {
        return mostUrgentMoves(state, service, std::move(plan.required));
    }
    const auto last = m_balancedAt.find(service.id);
    const auto due =
        last == m_balancedAt.end() || now - last->second >= m_options.balancingInterval;
    const auto hasOpenMove = std::any_of(m_moves.begin(), m_moves.end(), [&](const OpenMove &move) {
        return move.service == service.id;
    });
    if (!plan.unbalanced || !due || hasOpenMove) {
        return {};
    }
    m_balancedAt[service.id] = now;
    const auto batch = std::max(minBalancingBatch, service.shardCount / balancingDivisor);
    plan.balancing.resize(std::min({plan.balancing.size(), batch, m_options.maxMovesPerRecord}));
    return std::move(plan.balancing);
}

auto Controller::mostUrgentMoves(const ClusterState &state, const Service &service,
                                 std::vector<Move> moves) const -> std::vector<Move>
{
    auto groups = std::array<std::vector<Move>, moveGroupCount>{};
    for (auto &move : moves) {
        auto &group = groups[static_cast<std::size_t>(groupOf(state, service.id, move))];
        group.push_back(std::move(move));
    }
    for (auto &group : groups) {
        if (!group.empty()) {
            group.resize(std::min(group.size(), m_options.maxMovesPerRecord));
            return std::move(group);
        }
    }
    return {};
}

auto Controller::isRevoked(const ClusterState &state, const OpenMove &move) const -> bool
{
    return std::all_of(move.owners.begin(), move.owners.end(), [&](const auto &entry) {
        const auto &owner = entry.first;
        if (!checksFence(state, owner)) {
            return isUp(state, owner);
        }
        return m_revocations.isAcknowledged({owner, move.service, move.begin});
    });
}

auto Controller::updateRevocations(const ClusterState &state, TimePoint now) -> void
{
    auto commands = std::map<ServerCommand, MovingItems>{};
    for (const auto &move : m_moves) {
        if (!m_progress.mayRevoke(move.begin, now)) {
            continue;
        }
        for (const auto &[owner, items] : move.owners) {
            if (checksFence(state, owner) && isUp(state, owner)) {
                commands.emplace(ServerCommand{owner, move.service, move.begin}, items);
            }
        }
    }
    m_revocations.setCommands(std::move(commands));
}

auto Controller::serverActions(const ClusterState &state, TimePoint now,
                               std::vector<ControllerAction> &actions) -> void
{
    updateRevocations(state, now);
    if (m_grantsOffset != state.offset) {
        m_grants.setCommands(requiredGrants(state));
        m_grantsOffset = state.offset;
    }
    for (auto &[command, items] : m_revocations.due(now, m_options.maxCommandsPerTick)) {
        actions.emplace_back(RevokeShards{command.server, command.service, command.fence,
                                          std::move(items.shards), std::move(items.keys)});
    }
    for (auto &[command, items] : m_grants.due(now, m_options.maxCommandsPerTick)) {
        actions.emplace_back(GrantShards{command.server, command.service, command.fence,
                                         std::move(items.shards), std::move(items.keys)});
    }
    for (auto &server : m_servers.probes(state, now)) {
        actions.emplace_back(ProbeServer{.server = std::move(server)});
    }
}

} // namespace figlanding
