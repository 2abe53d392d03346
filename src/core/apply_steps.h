#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"

/// @file
/// Steps of apply(). There is one applyPayload() overload per kind of record. Each of them either
/// applies the record completely or fails and leaves the state unchanged.

namespace figlanding {

/// Offset of a record and the log's time at which it is applied.
struct RecordPosition
{
    LogOffset offset = 0;
    std::int64_t unixMs = 0; ///< ClusterState::unixMs, which never decreases
};

[[nodiscard]] auto applyPayload(ClusterState &state, const ConfigChange &change,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const TermClaim &claim,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const MemberChange &change,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const ServerStatusChange &change,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const BeginMoves &begin,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const CommitMoves &commit,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const KeyIsolation &isolation,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const QuarantineChange &change,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const SnapshotChunk &chunk,
                                const RecordPosition &position) -> Result<void>;
[[nodiscard]] auto applyPayload(ClusterState &state, const UnreadableRecord &record,
                                const RecordPosition &position) -> Result<void>;

/// Fails with StaleTerm unless @p term is the current term.
[[nodiscard]] auto checkTerm(const ClusterState &state, Term term) -> Result<void>;

/// Isolates @p key: gives it a separate assignment, initialized with its shard's. Does nothing if
/// the key is already isolated.
auto isolateKey(ServiceAssignments &assignments, const std::string &key) -> void;

/// Checks that ending the isolation of the key would not change its owner.
/// @return InvalidTransition if the key and its shard have different owners or one of them moves
[[nodiscard]] auto checkIsolationCanEnd(const ClusterState &state, const ServiceId &service,
                                        const std::string &key) -> Result<void>;

/// Returns a description of the record for the audit trail. It is stored in the state, so every
/// build must return the same text.
[[nodiscard]] auto summaryOf(const RecordPayload &payload) -> std::string;

} // namespace figlanding
