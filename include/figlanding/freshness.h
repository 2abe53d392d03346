#pragma once

#include "figlanding/clock.h"
#include "figlanding/cluster_state.h"
#include "figlanding/timing.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Determines until when a VM may act on its view of the cluster state, the state after the last
/// log record that it applied.

namespace figlanding {

/// Settings of ViewFreshness.
struct FreshnessOptions
{
    VmId self;
    std::string incarnation; ///< random identifier of this run of the VM
    TimePoint startedAt; ///< start of this run
    Timing timing;
    /// Whether log reads are linearizable: a read returns every record that was appended before
    /// the read was sent.
    bool logReadsAreFresh = true;
};

/// A peer's answer to a freshness probe.
struct Confirmation
{
    VmId vm;
    std::string incarnation;
    TimePoint probeSentAt; ///< send time, on this VM's clock
    LogOffset appliedOffset = 0; ///< last record that the peer had applied when it answered
    bool canConfirm = false; ///< the peer's ViewFreshness::canConfirm()
};

/// The confirmations received from one peer.
struct PeerConfirmation
{
    std::string incarnation;
    std::optional<TimePoint> confirmedAt; ///< send time of the newest probe whose answer counts
    LogOffset confirmedOffset = 0; ///< last record the peer had applied at that answer
    /// Send time of a probe whose answer has an offset that this VM has not yet applied.
    std::optional<TimePoint> pendingSentAt;
    LogOffset pendingOffset = 0; ///< offset in that answer
};

/// Tracks until when this VM's view of the cluster state is fresh.
///
/// A view is fresh for Timing::viewLifetime. That time starts when a log read is sent or, for
/// confirmations, when the oldest probe is sent whose answer is needed for a majority of the
/// members in the view. A move whose revocation is not acknowledged is committed only after
/// every view older than the move has expired.
class ViewFreshness
{
public:
    explicit ViewFreshness(FreshnessOptions options);

    /// Updates the member set and the applied offset. Call after records have been applied.
    auto onState(const ClusterState &state) -> void;

    /// Records a completed read of the log's tail. It counts once the tail is applied.
    /// @param sentAt when the read was sent
    /// @param tail newest offset of the log in the response
    auto onLogRead(TimePoint sentAt, LogOffset tail) -> void;

    /// Records a peer's answer. It counts once this VM has applied every record that the peer had
    /// applied, provided that the peer can confirm and that its incarnation is the one in the
    /// member set.
    auto onConfirmation(const Confirmation &confirmation) -> void;

    /// Returns when the view expires.
    /// @param now current time, at which this VM's own confirmation counts as sent
    /// @returns the expiry, which may have passed; nullopt if neither a log read nor the
    /// confirmations of a majority count
    [[nodiscard]] auto freshUntil(TimePoint now) const -> std::optional<TimePoint>;
    /// Returns whether this VM may act on its view at @p now.
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool;
    /// Returns whether this VM may dispatch to servers that own keys exclusively: its view is fresh
    /// and its current incarnation is a member. Before it has rejoined, requests of an earlier
    /// incarnation may still be running, and moves do not wait for requests of non-members.
    [[nodiscard]] auto mayDispatch(TimePoint now) const -> bool;
    /// Returns whether this VM's confirmations count: since its start it has sent a read of the
    /// log's tail and has applied the records up to that tail.
    [[nodiscard]] auto canConfirm() const -> bool;

    /// Returns when the view expires if only confirmations are considered; nullopt without a
    /// majority.
    [[nodiscard]] auto confirmedUntil(TimePoint now) const -> std::optional<TimePoint>;
    /// Returns the send time of the newest log read that counts.
    [[nodiscard]] auto logReadAt() const -> std::optional<TimePoint>
    {
        return m_logReadAt;
    }
    /// Returns the confirmations received from each peer.
    [[nodiscard]] auto peers() const -> const std::map<VmId, PeerConfirmation> &
    {
        return m_peers;
    }

private:
    struct LogRead
    {
        TimePoint sentAt;
        LogOffset tail = 0;
    };

    /// Returns whether the current incarnation of this VM is a member.
    [[nodiscard]] auto isMember() const -> bool;
    auto acceptLogRead(const LogRead &read) -> void;
    /// Counts the pending confirmation of @p peer if its offset has been applied.
    auto acceptPending(PeerConfirmation &peer) const -> void;

    FreshnessOptions m_options;
    LogOffset m_offset = 0; ///< last applied record
    std::map<VmId, Member> m_members;
    std::optional<TimePoint> m_logReadAt;
    bool m_hasReadLog = false; ///< a read sent since the start counts
    std::vector<LogRead> m_pendingReads; ///< reads whose tail is not yet applied
    std::map<VmId, PeerConfirmation> m_peers;
};

/// Returns the smallest number of members that is more than half of @p count.
[[nodiscard]] constexpr auto majorityOf(std::size_t count) -> std::size_t
{
    return count / 2 + 1;
}

} // namespace figlanding
