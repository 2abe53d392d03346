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
/// The state that all VMs agree on: the fold of the log up to one offset.

namespace figlanding {

/// A declared object and the offset of the record that last changed it.
template <typename Object>
struct Versioned
{
    Object object;
    LogOffset version = 0;

    auto operator==(const Versioned &) const -> bool = default;
};

/// Objects of one kind by name.
template <typename Id, typename Object>
using ObjectTable = std::map<Id, Versioned<Object>>;

/// Who owns a shard or an isolated key.
struct Assignment
{
    BackendServerId owner; ///< empty before the first commit
    FencingToken fence = 0; ///< offset of the commit that made @ref owner the owner
    BackendServerId target; ///< not empty while a move is under way
    LogOffset begin = 0; ///< offset of the BeginMoves record, while a move is under way

    /// Returns whether requests must wait because the owner is changing.
    [[nodiscard]] auto moving() const -> bool
    {
        return begin != 0;
    }

    auto operator==(const Assignment &) const -> bool = default;
};

/// Assignments of one exclusive service.
struct ServiceAssignments
{
    std::vector<Assignment> shards;
    std::map<std::string, Assignment> isolatedKeys;

    auto operator==(const ServiceAssignments &) const -> bool = default;
};

/// A VM that takes part in confirmations and in the choice of dispatching VMs.
struct Member
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress peerAddress;
    std::string incarnation;
    LogOffset since = 0;

    auto operator==(const Member &) const -> bool = default;
};

/// What the controller has established about a server.
struct ServerStatus
{
    bool up = true;
    LogOffset since = 0;
    std::string evidence;

    auto operator==(const ServerStatus &) const -> bool = default;
};

/// A request digest that is refused.
struct Quarantine
{
    LogOffset since = 0;
    std::int64_t untilUnixMs = 0;
    std::string evidence;

    auto operator==(const Quarantine &) const -> bool = default;
};

/// One line of the audit trail.
struct AuditEntry
{
    LogOffset offset = 0;
    std::int64_t unixMs = 0;
    std::string author;
    std::string summary;
    bool accepted = true;
    std::string refusal; ///< why the record had no effect

    auto operator==(const AuditEntry &) const -> bool = default;
};

/// Largest number of audit entries kept in the state; older ones remain in the log.
inline constexpr std::size_t maxAuditEntries = 1000;

/// The fold of the log.
struct ClusterState
{
    LogOffset offset = 0; ///< last folded record
    std::int64_t unixMs = 0; ///< highest log time of the folded records

    ObjectTable<AvailabilityZoneId, AvailabilityZone> zones;
    ObjectTable<BackendServerId, BackendServer> servers;
    ObjectTable<TeamId, Team> teams;
    ObjectTable<TeamKeyId, TeamKey> teamKeys;
    ObjectTable<ServiceId, Service> services;
    ObjectTable<RouteId, Route> routes;
    ObjectTable<PolicyId, Policy> policies;
    ObjectTable<std::string, RoutingKey> routingKeys; ///< by "service/key"

    std::map<ServiceId, ServiceAssignments> assignments;
    std::map<BackendServerId, ServerStatus> serverStatus;
    std::map<std::string, Quarantine> quarantines; ///< by request digest

    Term term = 0;
    VmId controller;
    LogOffset termSince = 0;
    std::map<VmId, Member> members;
    LogOffset membersSince = 0; ///< offset of the last member change

    /// Highest folded sequence of each writer, with the offset where it was last seen.
    std::map<std::string, std::pair<std::uint64_t, LogOffset>> writers;
    std::deque<AuditEntry> audit;

    auto operator==(const ClusterState &) const -> bool = default;
};

} // namespace figlanding
