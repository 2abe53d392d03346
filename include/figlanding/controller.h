#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/membership.h"
#include "figlanding/move_progress.h"
#include "figlanding/order_tracker.h"
#include "figlanding/peer_reports.h"
#include "figlanding/planner.h"
#include "figlanding/record.h"
#include "figlanding/server_monitor.h"
#include "figlanding/timing.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// Decisions of the controller: terms, members, server status and moves.

namespace figlanding {

/// Settings of a Controller.
struct ControllerOptions
{
    VmId self;
    std::string incarnation; ///< random value chosen at this VM's start
    /// Name of the writer of the controller's records. It contains the incarnation and is used
    /// for nothing else, as the fold drops records of one writer that arrive out of sequence.
    std::string writer;
    TimePoint startedAt;
    Timing timing;
    FlapDampingOptions damping;
    milliseconds appendRetry{250}; ///< an append that is not folded by then is sent again
    milliseconds orderRetry{200}; ///< a grant or revocation without answer is sent again
    milliseconds balancingInterval{10000}; ///< between batches that only balance a service
    std::size_t maxMovesPerRecord = 4096;
    std::size_t maxOrdersPerTick = 64; ///< grants, and revocations, sent by one tick
};

/// Append this record to the log. It may be the repetition of an earlier request.
struct AppendRecord
{
    Record record;

    auto operator==(const AppendRecord &) const -> bool = default;
};

/// Tell a server that it no longer owns shards and keys.
struct RevokeShards
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0; ///< begin offset of the move
    std::vector<ShardIndex> shards;
    std::vector<std::string> keys;

    auto operator==(const RevokeShards &) const -> bool = default;
};

/// Tell a server that it owns shards and keys.
struct GrantShards
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0; ///< offset of the commit record
    std::vector<ShardIndex> shards;
    std::vector<std::string> keys;

    auto operator==(const GrantShards &) const -> bool = default;
};

/// Probe the health of a server and report the result with Controller::onProbe().
struct ProbeServer
{
    BackendServerId server;

    auto operator==(const ProbeServer &) const -> bool = default;
};

/// What the daemon is to do for the controller.
using ControllerAction = std::variant<AppendRecord, RevokeShards, GrantShards, ProbeServer>;

/// What a VM knows at a tick.
struct ControllerView
{
    const ClusterState &state; ///< fold of the log
    bool fresh = false; ///< ViewFreshness::isFresh()
    bool logReachable = false; ///< the last read of the log succeeded and its tail is folded
};

/// Decides on behalf of one VM. It writes a record only after its last one was folded, so that a
/// lost answer or a repeated append never leads to two decisions at once. Terms are claimed and
/// members joined when the log is reachable; all else needs a fresh view and the own term.
class Controller
{
public:
    explicit Controller(ControllerOptions options);

    /// Takes a heartbeat; the VM's own report is passed in too.
    auto onReport(PeerReport report, TimePoint now) -> void;
    /// Takes the result of a ProbeServer action.
    auto onProbe(const BackendServerId &server, bool answered, TimePoint now) -> void;
    /// Takes a server's boot id as seen by any VM. A change repeats the server's grants.
    auto onBootId(const BackendServerId &server, const std::string &bootId) -> void;
    /// Takes a server's acknowledgement of a RevokeShards action.
    auto onRevoked(const ServerOrder &order) -> void;
    /// Takes a server's acknowledgement of a GrantShards action.
    auto onGranted(const ServerOrder &order) -> void;
    /// Takes an answer of the platform's list of VMs.
    auto onVmList(const std::vector<VmListEntry> &entries, TimePoint now) -> void;
    /// Asks to make a key an assignment of its own, or to return it to its shard. Ignored unless
    /// this VM is the controller. The term is filled in.
    auto requestIsolation(KeyIsolation isolation) -> void;

    /// Asks to move a shard or an isolated key. Ignored unless this VM is the controller, or if
    /// the item moves already or the target is not available when its turn comes.
    auto requestMove(const ServiceId &service, Move move) -> void;

    /// Returns what to do now. Call it at every heartbeat interval and after every fold.
    [[nodiscard]] auto tick(const ControllerView &view, TimePoint now)
        -> std::vector<ControllerAction>;

    /// Returns the members that this VM does not hear from, for its report to the others. A silent
    /// member is removed only if another member reports it too.
    [[nodiscard]] auto silentMembers(const ClusterState &state, TimePoint now) const
        -> std::vector<VmId>;

    /// Returns whether this VM holds the current term of @p state.
    [[nodiscard]] auto isController(const ClusterState &state) const -> bool;

private:
    struct PendingAppend
    {
        Record record;
        Term term = 0; ///< term in which the record is valid
        TimePoint sentAt;
    };

    auto settlePending(const ClusterState &state) -> void;
    auto observe(const ClusterState &state, TimePoint now) -> void;
    [[nodiscard]] auto isWorking(const VmId &vm, TimePoint now) const -> bool;
    auto append(Payload payload, Term term, TimePoint now) -> AppendRecord;
    [[nodiscard]] auto nextClaim(const ControllerView &view, TimePoint now) const
        -> std::optional<Payload>;
    [[nodiscard]] auto claimDelay(const ClusterState &state, TimePoint now) const
        -> std::optional<Duration>;
    [[nodiscard]] auto controllerUsable(const ClusterState &state, TimePoint now) const -> bool;
    [[nodiscard]] auto nextPayload(const ControllerView &view, TimePoint now)
        -> std::optional<Payload>;
    [[nodiscard]] auto nextMember(const ClusterState &state, TimePoint now) const
        -> std::optional<Payload>;
    [[nodiscard]] auto nextCommit(const ClusterState &state, TimePoint now) const
        -> std::optional<Payload>;
    [[nodiscard]] auto nextIsolation(const ClusterState &state) -> std::optional<Payload>;
    [[nodiscard]] auto nextRequested(const ClusterState &state) -> std::optional<Payload>;
    [[nodiscard]] auto nextBegin(const ClusterState &state, TimePoint now)
        -> std::optional<Payload>;
    [[nodiscard]] auto movesFor(const ClusterState &state, const Service &service, TimePoint now)
        -> std::vector<Move>;
    [[nodiscard]] auto firstGroup(const ClusterState &state, const Service &service,
                                  std::vector<Move> moves) const -> std::vector<Move>;
    [[nodiscard]] auto isRevoked(const ClusterState &state, const OpenMove &move) const -> bool;
    auto serverActions(const ClusterState &state, TimePoint now,
                       std::vector<ControllerAction> &actions) -> void;
    auto updateRevocations(const ClusterState &state, TimePoint now) -> void;
    auto writeNext(const ControllerView &view, TimePoint now,
                   std::vector<ControllerAction> &actions) -> void;
    [[nodiscard]] auto candidates(const ClusterState &state, TimePoint now) const
        -> std::vector<VmId>;

    ControllerOptions m_options;
    PeerReports m_reports;
    MembershipPlanner m_membership;
    ServerMonitor m_servers;
    MoveProgress m_progress;
    OrderTracker m_grants;
    OrderTracker m_revocations;
    std::map<BackendServerId, std::string> m_bootIds;
    std::vector<OpenMove> m_moves;
    std::optional<PendingAppend> m_pending;
    std::uint64_t m_sequence = 0;
    std::deque<KeyIsolation> m_isolations;
    std::deque<std::pair<ServiceId, Move>> m_requestedMoves;
    Term m_claimedTerm = 0; ///< last term that this instance claimed
    Term m_seenTerm = 0;
    TimePoint m_controllerSeenAt; ///< when the controller was last seen able to work
    std::optional<LogOffset> m_grantsOffset; ///< state that the grants were taken from
    std::optional<LogOffset> m_plannedOffset; ///< state that needed no required move
    TimePoint m_replanAt; ///< when balancing is considered again without a new state
    std::map<ServiceId, TimePoint> m_balancedAt;
};

} // namespace figlanding
