#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/command_tracker.h"
#include "figlanding/membership.h"
#include "figlanding/move_progress.h"
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
/// The elected controller of the cluster. It claims a leadership term, changes the member set,
/// marks servers as up or down and moves shards between servers.

namespace figlanding {

/// Settings of a Controller.
struct ControllerOptions
{
    VmId self;
    std::string incarnation; ///< random value that identifies this start of the VM
    /// Writer id of the controller's records. It contains the incarnation and must not be shared
    /// with other records, because apply() ignores records of a writer that arrive out of sequence.
    std::string writer;
    TimePoint startedAt; ///< this VM's start
    Timing timing;
    FlapDampingOptions damping;
    milliseconds appendRetryInterval{250}; ///< resend time of an append that is not yet applied
    milliseconds commandRetryInterval{200}; ///< resend time of an unacknowledged command
    milliseconds balancingInterval{10000}; ///< minimum time between balancing batches of a service
    std::size_t maxMovesPerRecord = 4096; ///< limit of the moves in one BeginMoves record
    std::size_t maxCommandsPerTick = 64; ///< limit for grants and for revocations each
};

/// Requests that a record be appended to the log. A retry has the same record id.
struct AppendRecord
{
    Record record;

    auto operator==(const AppendRecord &) const -> bool = default;
};

/// Requests that a revocation of shards and keys be sent to their old owner.
struct RevokeShards
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0; ///< fencing token: the offset of the BeginMoves record
    std::vector<ShardIndex> shards;
    std::vector<std::string> keys;

    auto operator==(const RevokeShards &) const -> bool = default;
};

/// Requests that a grant of shards and keys be sent to their owner.
struct GrantShards
{
    BackendServerId server;
    ServiceId service;
    FencingToken fence = 0; ///< fencing token: the offset of the CommitMoves record
    std::vector<ShardIndex> shards;
    std::vector<std::string> keys;

    auto operator==(const GrantShards &) const -> bool = default;
};

/// Requests a health probe of a server. The result is passed to Controller::onProbe().
struct ProbeServer
{
    BackendServerId server;

    auto operator==(const ProbeServer &) const -> bool = default;
};

/// An action that the caller of Controller::tick() carries out.
using ControllerAction = std::variant<AppendRecord, RevokeShards, GrantShards, ProbeServer>;

/// This VM's view of the cluster, as passed to Controller::tick().
struct ControllerView
{
    const ClusterState &state; ///< result of applying the log's records
    bool fresh = false; ///< ViewFreshness::isFresh()
    bool logReachable = false; ///< the last log read succeeded and its tail is applied
};

/// Leader election and cluster management as performed by one VM.
///
/// At most one append is in flight: the next record is written only after the previous one is
/// applied or has become invalid. A lost response or a repeated append therefore never results in
/// two concurrent decisions. Claiming a term and joining members require only a reachable log;
/// every other decision requires a fresh view and that this VM holds the current term.
class Controller
{
public:
    explicit Controller(ControllerOptions options);

    /// Handles a heartbeat from any VM, including this VM's own report.
    auto onReport(PeerReport report, TimePoint now) -> void;
    /// Handles the result of a ProbeServer action.
    auto onProbe(const BackendServerId &server, bool answered, TimePoint now) -> void;
    /// Handles a server's boot id as observed by any VM. If it changed, the server restarted and
    /// its grants are sent again.
    auto onBootId(const BackendServerId &server, const std::string &bootId) -> void;
    /// Handles a server's acknowledgement of a RevokeShards action.
    auto onRevoked(const ServerCommand &command) -> void;
    /// Handles a server's acknowledgement of a GrantShards action.
    auto onGranted(const ServerCommand &command) -> void;
    /// Handles a response of the platform's VM list.
    auto onVmList(const std::vector<VmListEntry> &entries, TimePoint now) -> void;
    /// Queues a request to isolate a key from its shard or to merge it back. The request is
    /// discarded if this VM is not the controller.
    /// @param isolation record without its term, which is set when the record is written
    auto requestIsolation(KeyIsolation isolation) -> void;

    /// Queues a request to move a shard or an isolated key. The request is discarded if this VM is
    /// not the controller, or if the item is already moving or the target is unavailable when the
    /// request is processed.
    auto requestMove(const ServiceId &service, Move move) -> void;

    /// Returns the actions to carry out now. Call it once per heartbeat interval and each time
    /// records have been applied.
    [[nodiscard]] auto tick(const ControllerView &view, TimePoint now)
        -> std::vector<ControllerAction>;

    /// Returns the members from which this VM receives no heartbeats, for its own heartbeat. A
    /// silent member is removed only if another member reports it as well.
    [[nodiscard]] auto silentMembers(const ClusterState &state, TimePoint now) const
        -> std::vector<VmId>;

    /// Returns whether this instance claimed the current term of @p state.
    [[nodiscard]] auto isController(const ClusterState &state) const -> bool;

private:
    struct PendingAppend
    {
        Record record;
        Term term = 0; ///< claimed term, or the term in which the record is valid
        TimePoint sentAt;
    };

    auto clearPendingAppend(const ClusterState &state) -> void;
    auto updateObservations(const ClusterState &state, TimePoint now) -> void;
    [[nodiscard]] auto isOperational(const VmId &vm, TimePoint now) const -> bool;
    auto append(RecordPayload payload, Term term, TimePoint now) -> AppendRecord;
    [[nodiscard]] auto nextClaim(const ControllerView &view, TimePoint now) const
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto claimDelay(const ClusterState &state, TimePoint now) const
        -> std::optional<Duration>;
    [[nodiscard]] auto isControllerOperational(const ClusterState &state, TimePoint now) const
        -> bool;
    [[nodiscard]] auto nextPayload(const ControllerView &view, TimePoint now)
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto nextMemberChange(const ClusterState &state, TimePoint now) const
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto nextCommit(const ClusterState &state, TimePoint now) const
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto nextIsolation(const ClusterState &state) -> std::optional<RecordPayload>;
    [[nodiscard]] auto nextRequestedMoves(const ClusterState &state)
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto nextPlannedMoves(const ClusterState &state, TimePoint now)
        -> std::optional<RecordPayload>;
    [[nodiscard]] auto movesFor(const ClusterState &state, const Service &service, TimePoint now)
        -> std::vector<Move>;
    [[nodiscard]] auto mostUrgentMoves(const ClusterState &state, const Service &service,
                                       std::vector<Move> moves) const -> std::vector<Move>;
    [[nodiscard]] auto isRevoked(const ClusterState &state, const OpenMove &move) const -> bool;
    auto serverActions(const ClusterState &state, TimePoint now,
                       std::vector<ControllerAction> &actions) -> void;
    auto updateRevocations(const ClusterState &state, TimePoint now) -> void;
    auto appendNext(const ControllerView &view, TimePoint now,
                    std::vector<ControllerAction> &actions) -> void;
    [[nodiscard]] auto claimCandidates(const ClusterState &state, TimePoint now) const
        -> std::vector<VmId>;

    ControllerOptions m_options;
    PeerReports m_reports;
    MembershipPlanner m_membership;
    ServerMonitor m_servers;
    MoveProgress m_progress;
    CommandTracker m_grants;
    CommandTracker m_revocations;
    std::map<BackendServerId, std::string> m_bootIds;
    std::vector<OpenMove> m_moves;
    std::optional<PendingAppend> m_pending;
    std::uint64_t m_sequence = 0;
    std::deque<KeyIsolation> m_requestedIsolations;
    std::deque<std::pair<ServiceId, Move>> m_requestedMoves;
    Term m_claimedTerm = 0; ///< last term that this instance claimed
    Term m_observedTerm = 0; ///< term of the state at the last tick
    TimePoint m_controllerOperationalAt; ///< when the controller was last known to be operational
    std::optional<LogOffset> m_grantsOffset; ///< offset of the state that m_grants reflects
    std::optional<LogOffset> m_plannedOffset; ///< last state for which no move was planned
    TimePoint m_replanAt; ///< when an unchanged state is planned again, for balancing
    std::map<ServiceId, TimePoint> m_balancedAt; ///< start of each service's last balancing batch
};

} // namespace figlanding
