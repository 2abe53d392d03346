#include "figlanding/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace figlanding {

namespace {

// Limit on the reads whose tail is not yet applied. At the limit, new reads are dropped instead of
// old ones because the oldest reads are the first to count.
constexpr std::size_t maxPendingReads = 8;

} // namespace

ViewFreshness::ViewFreshness(FreshnessOptions options)
    : m_options(std::move(options))
{ }

auto ViewFreshness::onState(const ClusterState &state) -> void
{
    m_offset = state.offset;
    m_members = state.members;
    for (const auto &read : m_pendingReads) {
        if (read.tail <= m_offset) {
            acceptLogRead(read);
        }
    }
    std::erase_if(m_pendingReads, [&](const LogRead &read) { return read.tail <= m_offset; });
    for (auto &[vm, peer] : m_peers) {
        acceptPending(peer);
    }
}

auto ViewFreshness::onLogRead(TimePoint sentAt, LogOffset tail) -> void
{
    const auto read = LogRead{.sentAt = sentAt, .tail = tail};
    if (tail <= m_offset) {
        acceptLogRead(read);
    } else if (m_pendingReads.size() < maxPendingReads) {
        m_pendingReads.push_back(read);
    }
}

auto ViewFreshness::onConfirmation(const Confirmation &confirmation) -> void
{
    if (!confirmation.canConfirm) {
        return;
    }
    auto &peer = m_peers[confirmation.vm];
    if (peer.incarnation != confirmation.incarnation) {
        peer = PeerConfirmation{.incarnation = confirmation.incarnation};
    }
    const auto sentAt = confirmation.probeSentAt;
    const auto pendingExpired =
        peer.pendingSentAt && *peer.pendingSentAt + m_options.timing.viewLifetime <= sentAt;
    if (!peer.pendingSentAt || pendingExpired || confirmation.appliedOffset <= m_offset) {
        peer.pendingSentAt = sentAt;
        peer.pendingOffset = confirmation.appliedOffset;
    }
    acceptPending(peer);
}

auto ViewFreshness::freshUntil(TimePoint now) const -> std::optional<TimePoint>
{
    auto until = confirmedUntil(now);
    if (m_options.logReadsAreFresh && m_logReadAt) {
        const auto readUntil = *m_logReadAt + m_options.timing.viewLifetime;
        until = until ? std::max(*until, readUntil) : readUntil;
    }
    return until;
}

auto ViewFreshness::isFresh(TimePoint now) const -> bool
{
    const auto until = freshUntil(now);
    return until && now < *until;
}

auto ViewFreshness::mayDispatch(TimePoint now) const -> bool
{
    return isMember() && isFresh(now);
}

auto ViewFreshness::isMember() const -> bool
{
    const auto found = m_members.find(m_options.self);
    return found != m_members.end() && found->second.incarnation == m_options.incarnation;
}

auto ViewFreshness::canConfirm() const -> bool
{
    return m_hasReadLog;
}

auto ViewFreshness::confirmedUntil(TimePoint now) const -> std::optional<TimePoint>
{
    auto times = std::vector<TimePoint>{};
    for (const auto &[vm, member] : m_members) {
        if (vm == m_options.self) {
            if (isMember() && canConfirm()) {
                times.push_back(now);
            }
            continue;
        }
        const auto found = m_peers.find(vm);
        if (found == m_peers.end() || found->second.incarnation != member.incarnation) {
            continue;
        }
        // A peer that has applied the record of its own join has also applied every record that
        // an earlier incarnation of it may have acknowledged.
        if (found->second.confirmedAt && found->second.confirmedOffset >= member.since) {
            times.push_back(*found->second.confirmedAt);
        }
    }
    const auto needed = majorityOf(m_members.size());
    if (times.size() < needed) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>{});
    return times[needed - 1] + m_options.timing.viewLifetime;
}

auto ViewFreshness::acceptLogRead(const LogRead &read) -> void
{
    m_logReadAt = m_logReadAt ? std::max(*m_logReadAt, read.sentAt) : read.sentAt;
    m_hasReadLog = m_hasReadLog || read.sentAt >= m_options.startedAt;
}

auto ViewFreshness::acceptPending(PeerConfirmation &peer) const -> void
{
    if (!peer.pendingSentAt || peer.pendingOffset > m_offset) {
        return;
    }
    if (!peer.confirmedAt || *peer.confirmedAt < *peer.pendingSentAt) {
        peer.confirmedAt = peer.pendingSentAt;
        peer.confirmedOffset = peer.pendingOffset;
    }
    peer.pendingSentAt.reset();
}

} // namespace figlanding
