#include "apply_steps.h"
#include "figlanding/sharding.h"
#include "text.h"

#include <algorithm>

namespace figlanding {

namespace {

auto describeMove(const Move &move) -> std::string
{
    return move.key.empty() ? "shard " + std::to_string(move.shard) : "key " + quoted(move.key);
}

auto findAssignments(ClusterState &state, const ServiceId &service) -> Result<ServiceAssignments *>
{
    const auto found = state.assignments.find(service);
    if (found == state.assignments.end()) {
        return fail(ErrorCode::UnknownObject, "exclusive service " + quoted(service.value()));
    }
    return &found->second;
}

// Returns the assignment of the shard or isolated key to move, or nullptr if there is none.
auto findAssignment(ServiceAssignments &assignments, const Move &move) -> Assignment *
{
    if (move.key.empty()) {
        return move.shard < assignments.shards.size() ? &assignments.shards[move.shard] : nullptr;
    }
    const auto found = assignments.isolatedKeys.find(move.key);
    return found == assignments.isolatedKeys.end() ? nullptr : &found->second;
}

auto checkMove(const ClusterState &state, const Assignment *assignment, const Move &move)
    -> Result<void>
{
    if (assignment == nullptr) {
        return fail(ErrorCode::UnknownObject, describeMove(move));
    }
    if (!state.servers.contains(move.to)) {
        return fail(ErrorCode::UnknownObject,
                    "server " + quoted(move.to.value()) + " as target of " + describeMove(move));
    }
    if (!assignment->moving() && assignment->owner == move.to) {
        return fail(ErrorCode::InvalidTransition,
                    describeMove(move) + " is owned by " + quoted(move.to.value()));
    }
    return {};
}

auto checkDistinct(std::vector<Assignment *> assignments) -> Result<void>
{
    std::sort(assignments.begin(), assignments.end());
    if (std::adjacent_find(assignments.begin(), assignments.end()) != assignments.end()) {
        return fail(ErrorCode::InvalidValue, "a shard or key is named twice");
    }
    return {};
}

// Commits the assignment if its move began at offset @p begin. Returns whether it did.
auto commitIfBegun(Assignment &assignment, LogOffset begin, FencingToken fence) -> bool
{
    if (assignment.begin != begin) {
        return false;
    }
    assignment = Assignment{.owner = assignment.target, .fence = fence};
    return true;
}

} // namespace

auto applyPayload(ClusterState &state, const BeginMoves &begin, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkTerm(state, begin.term));
    BOOST_LEAF_AUTO(assignments, findAssignments(state, begin.service));
    if (begin.moves.empty()) {
        return fail(ErrorCode::InvalidValue, "no moves");
    }
    auto assignmentsToMove = std::vector<Assignment *>{};
    assignmentsToMove.reserve(begin.moves.size());
    for (const auto &move : begin.moves) {
        assignmentsToMove.push_back(findAssignment(*assignments, move));
        BOOST_LEAF_CHECK(checkMove(state, assignmentsToMove.back(), move));
    }
    BOOST_LEAF_CHECK(checkDistinct(assignmentsToMove));
    for (std::size_t index = 0; index < assignmentsToMove.size(); ++index) {
        assignmentsToMove[index]->target = begin.moves[index].to;
        assignmentsToMove[index]->begin = position.offset;
    }
    return {};
}

auto applyPayload(ClusterState &state, const CommitMoves &commit, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkTerm(state, commit.term));
    BOOST_LEAF_AUTO(assignments, findAssignments(state, commit.service));
    auto committed = std::size_t{0};
    if (commit.begin != 0) {
        for (auto &assignment : assignments->shards) {
            committed += commitIfBegun(assignment, commit.begin, position.offset) ? 1U : 0U;
        }
        for (auto &[key, assignment] : assignments->isolatedKeys) {
            committed += commitIfBegun(assignment, commit.begin, position.offset) ? 1U : 0U;
        }
    }
    if (committed == 0) {
        return fail(ErrorCode::InvalidTransition,
                    "no move of service " + quoted(commit.service.value()) + " began at offset "
                        + std::to_string(commit.begin));
    }
    return {};
}

auto applyPayload(ClusterState &state, const KeyIsolation &isolation, const RecordPosition &)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkTerm(state, isolation.term));
    BOOST_LEAF_CHECK(checkRoutingKeyText(isolation.key));
    BOOST_LEAF_AUTO(assignments, findAssignments(state, isolation.service));
    const auto isolated = assignments->isolatedKeys.contains(isolation.key);
    if (isolation.isolate) {
        if (isolated) {
            return fail(ErrorCode::DuplicateObject, "isolated key " + quoted(isolation.key));
        }
        isolateKey(*assignments, isolation.key);
        return {};
    }
    if (!isolated) {
        return fail(ErrorCode::UnknownObject, "isolated key " + quoted(isolation.key));
    }
    const auto name = isolation.service.value() + "/" + isolation.key;
    if (state.routingKeys.contains(name)) {
        return fail(ErrorCode::ObjectInUse, "RoutingKey " + quoted(name) + " is declared");
    }
    BOOST_LEAF_CHECK(checkIsolationCanEnd(state, isolation.service, isolation.key));
    assignments->isolatedKeys.erase(isolation.key);
    return {};
}

// The copy includes a move in progress, so that requests for the key keep waiting and the commit
// of that move also commits the key.
auto isolateKey(ServiceAssignments &assignments, const std::string &key) -> void
{
    const auto count = static_cast<std::uint32_t>(assignments.shards.size());
    assignments.isolatedKeys.try_emplace(key, assignments.shards[shardOf(key, count)]);
}

auto checkIsolationCanEnd(const ClusterState &state, const ServiceId &service,
                          const std::string &key) -> Result<void>
{
    const auto &assignments = state.assignments.at(service);
    const auto found = assignments.isolatedKeys.find(key);
    if (found == assignments.isolatedKeys.end()) {
        return {};
    }
    const auto &keyAssignment = found->second;
    const auto count = static_cast<std::uint32_t>(assignments.shards.size());
    const auto shardIndex = shardOf(key, count);
    const auto &shard = assignments.shards[shardIndex];
    if (keyAssignment.owner == shard.owner && !keyAssignment.moving() && !shard.moving()) {
        return {};
    }
    return fail(ErrorCode::InvalidTransition,
                "key " + quoted(key) + " of service " + quoted(service.value()) + " is owned by "
                    + quoted(keyAssignment.owner.value())
                    + (keyAssignment.moving() ? " (moving)" : "") + " and its shard "
                    + std::to_string(shardIndex) + " by " + quoted(shard.owner.value())
                    + (shard.moving() ? " (moving)" : "")
                    + "; it can return only to a shard with the same owner while neither moves");
}

} // namespace figlanding
