#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// What a key controller appends to the ownership topic and tells servers, and how that may end.

namespace figlanding {

/// A process that holds or held the claim.
struct ControllerProcess
{
    VmId vm;
    std::string incarnation;

    auto operator==(const ControllerProcess &) const -> bool = default;
};

/// Identifies the controller that may change ownership, and its term.
struct ControllerClaim
{
    Term term = 0;
    VmId vm;
    std::string incarnation;
    /// Earlier holders that may still have renewed leases when the claim was made. Empty for a
    /// claim of a release that does not list them.
    std::optional<std::vector<ControllerProcess>> earlier = std::nullopt;

    auto operator==(const ControllerClaim &) const -> bool = default;
};

/// What a heartbeat tells of the process that sent it.
struct ProcessProgress
{
    ControllerProcess process;
    milliseconds uptime{}; ///< since the process started, counted at the sender
    LogOffset ownershipEnd = 0; ///< offset up to which it has read the ownership topic

    auto operator==(const ProcessProgress &) const -> bool = default;
};

/// When the last grant of a process arrived at a server, at the latest.
struct OwnerGrant
{
    ServerIncarnation server;
    milliseconds ago{}; ///< before the report; negative for a grant that may still arrive

    auto operator==(const OwnerGrant &) const -> bool = default;
};

/// What an earlier controller tells the present one: the last grants of its process to all servers.
struct LeaseReport
{
    Term term = 0; ///< of the claim that the earlier controller has read
    std::vector<OwnerGrant> grants;

    auto operator==(const LeaseReport &) const -> bool = default;
};

/// State of the ownership topic.
struct OwnershipView
{
    LogOffset end = 0; ///< offset of the next record
    ControllerClaim claim;
    std::map<ServiceId, OwnershipTable> tables;

    auto operator==(const OwnershipView &) const -> bool = default;
};

/// Appends a claim, on the condition that the topic ends at @ref expectedEnd.
struct AppendClaim
{
    LogOffset expectedEnd = 0;
    ControllerClaim claim;

    auto operator==(const AppendClaim &) const -> bool = default;
};

/// Appends a table, on the condition that the topic ends at @ref expectedEnd.
struct AppendTable
{
    LogOffset expectedEnd = 0;
    ServiceId service;
    FencingToken fence = 0; ///< new fence of the ranges that the record changes
    OwnershipTable table;

    auto operator==(const AppendTable &) const -> bool = default;
};

/// Command to a server: grants a range, or renews its lease.
struct GrantCommand
{
    std::uint64_t id = 0;
    ServiceId service;
    ServerIncarnation to;
    SocketAddress address;
    KeyRange keys;
    FencingToken fence = 0;
    std::string handOver; ///< token of the previous owner; empty if there is none
    /// Whether a copy of an earlier response must not pass for the response to this grant, as its
    /// acceptance makes the state of the range certain. Renewals of a confirmed lease don't need
    /// it.
    bool needsProof = false;

    auto operator==(const GrantCommand &) const -> bool = default;
};

/// Command to a server: accept no new work on a range, and give up its lease.
struct ReleaseCommand
{
    std::uint64_t id = 0;
    ServiceId service;
    ServerIncarnation from;
    SocketAddress address;
    KeyRange keys;
    FencingToken fence = 0;

    auto operator==(const ReleaseCommand &) const -> bool = default;
};

/// Number of low bits of a fence that count the grants of one term; the bits above hold the term.
/// Fences stay below 2^53, so that a server may parse them as floating-point numbers.
inline constexpr unsigned fenceCountBits = 32;

using ControllerAction = std::variant<AppendClaim, AppendTable, GrantCommand, ReleaseCommand>;

/// Outcome of an append.
enum class AppendOutcome {
    Appended,
    Conflict, ///< the topic did not end at the expected offset
    Unknown, ///< no response: it may take effect later if its condition still holds
};

/// Outcome of a command to a server.
enum class CommandOutcome {
    Accepted,
    Refused, ///< the server has seen a higher fence
    Lost, ///< no response: the command may have taken effect or may still do so
    NotSent, ///< no connection was made, so the command cannot arrive
    ConnectionRefused, ///< no process accepts connections at the address
    OtherServer, ///< the address belongs to another server now
};

} // namespace figlanding
