#include "figlanding/snapshot.h"

#include "figlanding/codec.h"
#include "text.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

// Returns the 128-bit XXH3 hash as 32 hexadecimal digits.
auto checksumOf(std::string_view bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    const auto hash = XXH3_128bits(bytes.data(), bytes.size());
    auto canonical = XXH128_canonical_t{};
    XXH128_canonicalFromHash(&canonical, hash);
    auto text = std::string{};
    for (const auto byte : canonical.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

} // namespace

auto makeSnapshot(const ClusterState &state, const SnapshotOptions &options)
    -> std::vector<SnapshotChunk>
{
    const auto bytes = encodeState(state);
    const auto chunkBytes = std::max<std::size_t>(options.maxChunkBytes, 1);
    const auto count = static_cast<std::uint32_t>((bytes.size() + chunkBytes - 1) / chunkBytes);
    const auto checksum = checksumOf(bytes);
    auto chunks = std::vector<SnapshotChunk>{};
    chunks.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        chunks.push_back({.term = options.term,
                          .snapshotId = options.snapshotId,
                          .covers = state.offset,
                          .index = index,
                          .count = count,
                          .checksum = checksum,
                          .data = bytes.substr(index * chunkBytes, chunkBytes)});
    }
    return chunks;
}

auto decodeSnapshot(const AssembledSnapshot &snapshot) -> Result<ClusterState>
{
    BOOST_LEAF_AUTO(state, decodeState(snapshot.bytes));
    if (state.offset != snapshot.covers) {
        return fail(ErrorCode::ProtocolViolation,
                    "snapshot up to offset " + std::to_string(snapshot.covers)
                        + " holds the state at offset " + std::to_string(state.offset));
    }
    return state;
}

SnapshotAssembler::SnapshotAssembler(SnapshotAssemblerOptions options)
    : m_options(options)
{ }

auto SnapshotAssembler::add(const SnapshotChunk &chunk) -> Result<void>
{
    if (m_newest && chunk.covers <= m_newest->covers) {
        return {};
    }
    if (chunk.covers == 0 || chunk.index >= chunk.count) {
        return fail(ErrorCode::InvalidValue,
                    "chunk covers offset 0 or its index is out of range: index "
                        + std::to_string(chunk.index) + ", chunk count "
                        + std::to_string(chunk.count) + ", snapshot " + quoted(chunk.snapshotId));
    }
    const auto identity = Identity{chunk.covers, chunk.snapshotId, chunk.count, chunk.checksum};
    auto &pending = m_pending[identity];
    if (pending.chunks.try_emplace(chunk.index, chunk.data).second) {
        pending.bytes += chunk.data.size();
    }
    if (chunk.count > m_options.maxChunks || pending.bytes > m_options.maxBytes) {
        m_pending.erase(identity);
        return fail(ErrorCode::LimitExceeded,
                    "too many chunks or bytes in snapshot " + quoted(chunk.snapshotId));
    }
    if (pending.chunks.size() == chunk.count) {
        return assemble(identity);
    }
    pending.lastUse = ++m_useCounter;
    evictLeastRecentlyUsed();
    return {};
}

auto SnapshotAssembler::dropNewest() -> void
{
    m_newest.reset();
}

auto SnapshotAssembler::evictLeastRecentlyUsed() -> void
{
    if (m_pending.size() <= m_options.maxPending) {
        return;
    }
    m_pending.erase(std::min_element(m_pending.begin(), m_pending.end(),
                                     [](const auto &left, const auto &right) {
                                         return left.second.lastUse < right.second.lastUse;
                                     }));
}

auto SnapshotAssembler::assemble(const Identity &identity) -> Result<void>
{
    const auto &[covers, snapshotId, count, checksum] = identity;
    auto bytes = std::string{};
    bytes.reserve(m_pending[identity].bytes);
    for (const auto &[index, data] : m_pending[identity].chunks) {
        bytes += data;
    }
    m_pending.erase(identity);
    if (checksumOf(bytes) != checksum) {
        return fail(ErrorCode::ChecksumMismatch,
                    "snapshot " + quoted(snapshotId) + " up to offset " + std::to_string(covers));
    }
    m_newest = AssembledSnapshot{.covers = covers, .bytes = std::move(bytes)};
    std::erase_if(m_pending, [newest = covers](const auto &entry) {
        return std::get<LogOffset>(entry.first) <= newest;
    });
    return {};
}

auto SnapshotAssembler::describePending() const -> std::string
{
    auto text = std::string{};
    for (const auto &[identity, pending] : m_pending) {
        const auto &[covers, snapshotId, count, checksum] = identity;
        text += (text.empty() ? "snapshot " : "; snapshot ") + quoted(snapshotId) + " up to offset "
            + std::to_string(covers) + " has " + std::to_string(pending.chunks.size()) + " of "
            + std::to_string(count) + " chunks";
    }
    return text;
}

auto isSnapshotDue(const SnapshotStatus &status, const SnapshotPolicy &policy) -> bool
{
    if (status.tail == 0) {
        return false;
    }
    const auto reachesRetainedRecords = status.covers + 1 >= status.first;
    if (!reachesRetainedRecords || status.age >= policy.maxAge) {
        return true;
    }
    const auto recordsSince = status.tail - std::min(status.covers, status.tail);
    const auto retainedRecords = status.tail + 1 - std::min(status.first, status.tail);
    return recordsSince >= policy.minRecords && 2 * recordsSince >= retainedRecords;
}

} // namespace figlanding
