#pragma once

#include "figlanding/clock.h"
#include "figlanding/cluster_state.h"
#include "figlanding/error.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// @file
/// Snapshots of the state, stored in the log as SnapshotChunk records. With a snapshot a VM can
/// start although the log no longer retains its oldest records.

namespace figlanding {

/// Settings of makeSnapshot().
struct SnapshotOptions
{
    Term term = 0; ///< term of the controller that writes the snapshot
    std::string snapshotId; ///< unique among all snapshots
    std::size_t maxChunkBytes = 48'000; ///< maximum size of a chunk's data; at least 1
};

/// Encodes @p state and splits the encoding into chunks. Each chunk carries the state's offset
/// and a checksum of the complete encoding.
[[nodiscard]] auto makeSnapshot(const ClusterState &state, const SnapshotOptions &options)
    -> std::vector<SnapshotChunk>;

/// A snapshot of which all chunks have arrived and whose checksum matches.
struct AssembledSnapshot
{
    LogOffset covers = 0; ///< offset of the last record included in the snapshot
    std::string bytes; ///< the encoded state

    auto operator==(const AssembledSnapshot &) const -> bool = default;
};

/// Decodes a snapshot.
/// @return the state, an error of decodeState(), or ProtocolViolation if the state's offset
/// differs from the one in the chunks
[[nodiscard]] auto decodeSnapshot(const AssembledSnapshot &snapshot) -> Result<ClusterState>;

/// Limits of SnapshotAssembler.
struct SnapshotAssemblerOptions
{
    std::size_t maxPending = 8; ///< incomplete snapshots; the least recently used is evicted
    std::uint32_t maxChunks = 65'536; ///< per snapshot
    std::size_t maxBytes = 256'000'000; ///< per snapshot
};

/// Assembles snapshots from their chunks. Chunks may arrive in any order, repeatedly, and
/// interleaved with those of other snapshots.
class SnapshotAssembler
{
public:
    explicit SnapshotAssembler(SnapshotAssemblerOptions options = {});

    /// Adds one chunk. Chunks of snapshots that are not newer than newest() are ignored.
    /// @return InvalidValue if the chunk covers offset 0 or its index is out of range,
    /// LimitExceeded if the snapshot has too many chunks or bytes, ChecksumMismatch if the chunk
    /// completes a corrupt snapshot. In the last two cases the snapshot's chunks are discarded.
    [[nodiscard]] auto add(const SnapshotChunk &chunk) -> Result<void>;

    /// Returns the complete snapshot with the highest covered offset.
    /// @return std::nullopt if no snapshot is complete yet
    [[nodiscard]] auto newest() const -> const std::optional<AssembledSnapshot> &
    {
        return m_newest;
    }

    /// Discards the newest complete snapshot, for instance because it cannot be decoded, so that
    /// an older one can be assembled.
    auto dropNewest() -> void;

    /// Returns a text for operators with the number of chunks that each incomplete snapshot has.
    /// The text is empty if there is no incomplete snapshot.
    [[nodiscard]] auto describePending() const -> std::string;

private:
    // Chunks belong to the same snapshot if they agree in covered offset, id, number of chunks
    // and checksum.
    using Identity = std::tuple<LogOffset, std::string, std::uint32_t, std::string>;
    struct Pending
    {
        std::map<std::uint32_t, std::string> chunks; // data by index
        std::size_t bytes = 0; // total size of the data
        std::uint64_t lastUse = 0; // value of m_useCounter when a chunk was last added
    };

    auto evictLeastRecentlyUsed() -> void;
    auto assemble(const Identity &identity) -> Result<void>;

    SnapshotAssemblerOptions m_options;
    std::map<Identity, Pending> m_pending;
    std::optional<AssembledSnapshot> m_newest;
    std::uint64_t m_useCounter = 0;
};

/// Settings of isSnapshotDue().
struct SnapshotPolicy
{
    LogOffset minRecords = 2000; ///< fewer new records make no snapshot due, except by age
    seconds maxAge{600}; ///< must stay far below the retention time of the log
};

/// The retained range of the log and the newest complete snapshot in it.
struct SnapshotStatus
{
    LogOffset first = 0; ///< oldest offset that the log retains
    LogOffset tail = 0; ///< newest offset
    LogOffset covers = 0; ///< last offset included in that snapshot; 0 if there is none
    /// Time since that snapshot appeared; without one, since this VM began to follow the log.
    Duration age{0};
};

/// Returns whether the controller should publish a snapshot now.
///
/// A snapshot is due if no complete snapshot reaches the oldest retained record without a gap,
/// if the snapshot lies in the older half of the retained records and at least
/// SnapshotPolicy::minRecords records follow it, or if it has reached SnapshotPolicy::maxAge. The
/// age counts because the log drops old records even when nothing is appended. No snapshot is
/// due while the log is empty.
[[nodiscard]] auto isSnapshotDue(const SnapshotStatus &status, const SnapshotPolicy &policy)
    -> bool;

} // namespace figlanding
