#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// Records of the replicated log. Every VM applies them in offset order to its ClusterState.

namespace figlanding {

/// Unique id of a record, which makes appends idempotent: a second record with the same id has
/// no effect, so a writer may retry an append whose answer was lost. A record is processed
/// only if its sequence is above the highest one processed for its writer, so a writer may have
/// at most one append in flight.
struct RecordId
{
    std::string writer; ///< VM or operator, with a random suffix chosen when the writer starts
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default;
};

/// Creates, replaces or removes one object.
struct ObjectChange
{
    ObjectRef ref;
    std::optional<DeclaredObject> object; ///< std::nullopt removes the object
    /// Required current version, for optimistic concurrency control. 0 requires that the object
    /// does not exist; std::nullopt disables the check.
    std::optional<LogOffset> expectedVersion;

    auto operator==(const ObjectChange &) const -> bool = default;
};

/// An operator's change of the configuration. It is applied atomically.
struct ConfigChange
{
    std::string author;
    std::string reason;
    std::vector<ObjectChange> changes;

    auto operator==(const ConfigChange &) const -> bool = default;
};

/// Makes a VM the controller (leader) of the next term.
struct TermClaim
{
    Term term = 0; ///< must be the current term + 1
    VmId vm;

    auto operator==(const TermClaim &) const -> bool = default;
};

/// Adds one VM to the members or removes it. Written by the controller.
struct MemberChange
{
    Term term = 0;
    VmId vm;
    bool join = true; ///< false removes the member
    AvailabilityZoneId zone;
    SocketAddress peerAddress;
    std::string incarnation; ///< random value that the VM chooses when it starts

    auto operator==(const MemberChange &) const -> bool = default;
};

/// Sets the health of a server. Written by the controller.
struct ServerStatusChange
{
    Term term = 0;
    BackendServerId server;
    bool up = true;
    std::string evidence; ///< reason for the change, copied to the audit trail

    auto operator==(const ServerStatusChange &) const -> bool = default;
};

/// Transfers a shard, or an isolated key, to a new owner.
struct Move
{
    ShardIndex shard = 0;
    std::string key; ///< if not empty, this isolated key moves and @ref shard is ignored
    BackendServerId to; ///< new owner

    auto operator<=>(const Move &) const = default;
};

/// First phase of a move: new requests for the listed shards and keys wait until the commit.
struct BeginMoves
{
    Term term = 0;
    ServiceId service;
    std::vector<Move> moves;

    auto operator==(const BeginMoves &) const -> bool = default;
};

/// Second phase of a move: the targets become the owners, with this record's offset as their
/// fencing token.
struct CommitMoves
{
    Term term = 0;
    ServiceId service;
    LogOffset begin = 0; ///< offset of the BeginMoves record

    auto operator==(const CommitMoves &) const -> bool = default;
};

/// Isolates a hot key, which is then assigned independently of its shard, or ends the isolation.
struct KeyIsolation
{
    Term term = 0;
    ServiceId service;
    std::string key;
    bool isolate = true; ///< false ends the isolation

    auto operator==(const KeyIsolation &) const -> bool = default;
};

/// Makes every VM refuse requests with this digest, or lifts the quarantine.
struct QuarantineChange
{
    std::string author; ///< VM or operator
    std::string requestDigest;
    bool quarantine = true; ///< false lifts the quarantine
    std::string evidence;
    std::int64_t untilUnixMs = 0; ///< expiry in milliseconds, compared with the log's time

    auto operator==(const QuarantineChange &) const -> bool = default;
};

/// A chunk of a snapshot of the state after the record at offset @ref covers.
struct SnapshotChunk
{
    Term term = 0;
    std::string snapshotId;
    LogOffset covers = 0; ///< offset of the last record included in the snapshot
    std::uint32_t index = 0; ///< of this chunk, from 0
    std::uint32_t count = 0; ///< number of chunks of the snapshot
    std::string checksum; ///< of the complete snapshot
    std::string data; ///< this chunk's bytes of the encoded state

    auto operator==(const SnapshotChunk &) const -> bool = default;
};

/// Stands for a record of the log that could not be parsed. It only adds an audit entry.
struct UnreadableRecord
{
    std::string reason; ///< why parsing failed

    auto operator==(const UnreadableRecord &) const -> bool = default;
};

/// Content of a record: one alternative per kind of record.
using RecordPayload =
    std::variant<ConfigChange, TermClaim, MemberChange, ServerStatusChange, BeginMoves, CommitMoves,
                 KeyIsolation, QuarantineChange, SnapshotChunk, UnreadableRecord>;

/// Returns the name of the payload's kind, such as "BeginMoves".
[[nodiscard]] auto payloadName(const RecordPayload &payload) -> std::string_view;

/// A record as appended by its writer.
struct Record
{
    RecordId id;
    RecordPayload payload;

    auto operator==(const Record &) const -> bool = default;
};

/// A record as returned by the log.
struct LogRecord
{
    LogOffset offset = 0;
    std::int64_t appendedUnixMs = 0; ///< time of the append by the log service's wall clock
    Record record;

    auto operator==(const LogRecord &) const -> bool = default;
};

} // namespace figlanding
