#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"
#include "figlanding/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// @file
/// The replicated state. It depends only on the log up to one offset, so all VMs that have
/// applied the same records hold equal states.

namespace figlanding {

/// A declared object and the offset of the record that last changed it.
template <typename Object>
struct Versioned
{
    Object object;
    LogOffset version = 0; ///< offset of the last change

    auto operator==(const Versioned &) const -> bool = default;
};

/// Objects of one kind by name.
template <typename Id, typename Object>
using ObjectTable = std::map<Id, Versioned<Object>>;

/// Ownership of a shard or an isolated key.
struct Assignment
{
    BackendServerId owner; ///< empty before the first commit
    FencingToken fence = 0; ///< fencing token: offset of the CommitMoves record that set @ref owner
    BackendServerId target; ///< next owner during a move, else empty
    LogOffset begin = 0; ///< offset of the BeginMoves record during a move, else 0

    /// Returns whether a move is in progress, during which new requests must wait.
    [[nodiscard]] auto moving() const -> bool
    {
        return begin != 0;
    }

    auto operator==(const Assignment &) const -> bool = default;
};

/// All assignments of one exclusive service.
struct ServiceAssignments
{
    std::vector<Assignment> shards; ///< by ShardIndex
    std::map<std::string, Assignment> isolatedKeys; ///< keys assigned apart from their shard

    auto operator==(const ServiceAssignments &) const -> bool = default;
};

/// A VM that belongs to the cluster: its confirmations count towards a majority, and it can be
/// chosen to dispatch requests.
struct Member
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress peerAddress;
    std::string incarnation; ///< random value that the VM chooses when it starts
    LogOffset since = 0; ///< offset of the MemberChange record

    auto operator==(const Member &) const -> bool = default;
};

/// Health of a server as last recorded by the controller.
struct ServerStatus
{
    bool up = true;
    LogOffset since = 0; ///< offset of the ServerStatusChange record
    std::string evidence;

    auto operator==(const ServerStatus &) const -> bool = default;
};

/// An active quarantine: requests with its digest are refused until it expires.
struct Quarantine
{
    LogOffset since = 0; ///< offset of the QuarantineChange record
    std::int64_t untilUnixMs = 0; ///< expiry in milliseconds, compared with the log's time
    std::string evidence;

    auto operator==(const Quarantine &) const -> bool = default;
};

/// An entry of the audit trail: one record and its outcome.
struct AuditEntry
{
    LogOffset offset = 0;
    std::int64_t unixMs = 0; ///< time of the append
    std::string author;
    std::string summary;
    bool accepted = true;
    std::string refusal; ///< why the record was rejected; empty if it was accepted

    auto operator==(const AuditEntry &) const -> bool = default;
};

/// Maximum number of audit entries in the state. Older entries are dropped from it, but their
/// records remain in the log as long as the log keeps them.
inline constexpr std::size_t maxAuditEntries = 1000;

/// The state after applying every record of the log up to @ref offset.
struct ClusterState
{
    LogOffset offset = 0; ///< of the last applied record
    std::int64_t unixMs = 0; ///< the log's time: highest append time of the applied records

    ObjectTable<AvailabilityZoneId, AvailabilityZone> zones;
    ObjectTable<BackendServerId, BackendServer> servers;
    ObjectTable<TeamId, Team> teams;
    ObjectTable<TeamKeyId, TeamKey> teamKeys;
    ObjectTable<ServiceId, Service> services;
    ObjectTable<RouteId, Route> routes;
    ObjectTable<PolicyId, Policy> policies;
    ObjectTable<std::string, RoutingKey> routingKeys; ///< by "SERVICE/KEY"

    std::map<ServiceId, ServiceAssignments> assignments;
    std::map<BackendServerId, ServerStatus> serverStatus;
    std::map<std::string, Quarantine> quarantines; ///< by request digest

    Term term = 0;
    VmId controller; ///< leader of the current term
    LogOffset termSince = 0; ///< offset of the TermClaim record of the current term
    std::map<VmId, Member> members;
    LogOffset membersSince = 0; ///< offset of the last MemberChange record that was applied

    /// Highest processed sequence of each writer and the offset of the writer's last record.
    /// Used to ignore duplicate records.
    std::map<std::string, std::pair<std::uint64_t, LogOffset>> writers;
    std::deque<AuditEntry> audit; ///< oldest entry first

    auto operator==(const ClusterState &) const -> bool = default;
};

} // namespace figlanding
