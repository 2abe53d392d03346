#include "apply_steps.h"
#include "text.h"

namespace figlanding {

namespace {

// Adds a member. A new incarnation of a VM replaces the previous one.
auto applyJoin(ClusterState &state, const MemberChange &change, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("VM", change.vm.value()));
    const auto found = state.members.find(change.vm);
    if (found != state.members.end() && found->second.incarnation == change.incarnation) {
        return fail(ErrorCode::DuplicateObject,
                    "VM " + quoted(change.vm.value()) + " is a member with incarnation "
                        + quoted(change.incarnation));
    }
    state.members[change.vm] = Member{.vm = change.vm,
                                      .zone = change.zone,
                                      .peerAddress = change.peerAddress,
                                      .incarnation = change.incarnation,
                                      .since = position.offset};
    return {};
}

// Removes a member. If the record names an incarnation, it must be the member's current one, so
// that a late record does not remove a VM that has restarted and joined again.
auto applyLeave(ClusterState &state, const MemberChange &change) -> Result<void>
{
    const auto found = state.members.find(change.vm);
    if (found == state.members.end()) {
        return fail(ErrorCode::UnknownObject, "VM " + quoted(change.vm.value()) + " is no member");
    }
    const auto &incarnation = found->second.incarnation;
    if (!change.incarnation.empty() && change.incarnation != incarnation) {
        return fail(ErrorCode::InvalidTransition,
                    "VM " + quoted(change.vm.value()) + " has incarnation " + quoted(incarnation)
                        + ", the record names " + quoted(change.incarnation));
    }
    state.members.erase(found);
    return {};
}

} // namespace

auto checkTerm(const ClusterState &state, Term term) -> Result<void>
{
    if (term == 0 || term != state.term) {
        return fail(ErrorCode::StaleTerm,
                    "record of term " + std::to_string(term) + ", the current term is "
                        + std::to_string(state.term));
    }
    return {};
}

auto applyPayload(ClusterState &state, const TermClaim &claim, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("VM", claim.vm.value()));
    if (claim.term != state.term + 1) {
        return fail(ErrorCode::StaleTerm,
                    "claim of term " + std::to_string(claim.term) + ", the next term is "
                        + std::to_string(state.term + 1));
    }
    state.term = claim.term;
    state.controller = claim.vm;
    state.termSince = position.offset;
    return {};
}

auto applyPayload(ClusterState &state, const MemberChange &change, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkTerm(state, change.term));
    if (change.join) {
        BOOST_LEAF_CHECK(applyJoin(state, change, position));
    } else {
        BOOST_LEAF_CHECK(applyLeave(state, change));
    }
    state.membersSince = position.offset;
    return {};
}

auto applyPayload(ClusterState &state, const ServerStatusChange &change,
                  const RecordPosition &position) -> Result<void>
{
    BOOST_LEAF_CHECK(checkTerm(state, change.term));
    if (!state.servers.contains(change.server)) {
        return fail(ErrorCode::UnknownObject, "server " + quoted(change.server.value()));
    }
    state.serverStatus[change.server] =
        ServerStatus{.up = change.up, .since = position.offset, .evidence = change.evidence};
    return {};
}

auto applyPayload(ClusterState &state, const QuarantineChange &change,
                  const RecordPosition &position) -> Result<void>
{
    const auto &digest = change.requestDigest;
    if (!change.quarantine) {
        if (state.quarantines.erase(digest) == 0) {
            return fail(ErrorCode::UnknownObject, "no quarantine of request " + quoted(digest));
        }
        return {};
    }
    if (digest.empty()) {
        return fail(ErrorCode::InvalidValue, "a quarantine needs a request digest");
    }
    if (change.untilUnixMs <= position.unixMs) {
        return fail(ErrorCode::InvalidValue,
                    "quarantine until " + std::to_string(change.untilUnixMs)
                        + " ms lapsed before its record at " + std::to_string(position.unixMs)
                        + " ms");
    }
    state.quarantines[digest] = Quarantine{
        .since = position.offset, .untilUnixMs = change.untilUnixMs, .evidence = change.evidence};
    return {};
}

auto applyPayload(ClusterState &, const UnreadableRecord &record, const RecordPosition &)
    -> Result<void>
{
    return fail(ErrorCode::InvalidSyntax, record.reason);
}

auto applyPayload(ClusterState &, const SnapshotChunk &, const RecordPosition &) -> Result<void>
{
    return {};
}

} // namespace figlanding
