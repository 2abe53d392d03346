#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/decline_rest.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_terms.h"
#include "figlanding/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Requests for slots, decisions on them and their results; the settings of SlotBroker.

namespace figlanding {

/// Identifies a slot request, unique across all VMs and the successive processes of each.
struct TicketId
{
    VmId vm;
    std::string process; ///< incarnation of the VM's process
    std::uint64_t number = 0; ///< unique within the process; an attempt never reuses one

    auto operator<=>(const TicketId &) const = default;
};

/// A server whose slots a broker allocates.
struct BrokeredServer
{
    ServerIncarnation incarnation;
    AvailabilityZoneId zone;
    std::uint32_t slots = 1;
    double coldRequestsPerSecond = 0.0; ///< rate that it can serve until coldUntil
    TimePoint coldUntil;
    bool acceptsRequests = true; ///< false: running requests complete, no new ones are granted

    auto operator==(const BrokeredServer &) const -> bool = default;
};

/// A request for a slot.
struct SlotRequest
{
    TicketId id;
    ServiceId service;
    BackendServerId owner; ///< the only server that may run it; empty: any server of the service
    std::vector<BackendServerId> excluded; ///< servers that may not run it
    /// Servers on which an earlier attempt failed. Only the requesting VM needs them.
    std::vector<BackendServerId> failedOn;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    AvailabilityZoneId zone; ///< of the requesting VM
    TimePoint arrivedAt;
    TimePoint objectiveAt; ///< latency objective; requests past it are served after the others
    TimePoint deadline; ///< the caller discards a response after this time
    RouteId route; ///< routes of one service may differ in work

    auto operator==(const SlotRequest &) const -> bool = default;
};

/// How much more a group of servers can take, at the moment at which its broker tells.
struct GroupRoom
{
    std::uint32_t freeSlots = 0; ///< of servers that accept requests now
    std::uint32_t waiting = 0; ///< queued requests that any server of the group may run
    double requestsPerSecond = 0.0; ///< rate at which its servers complete requests

    auto operator==(const GroupRoom &) const -> bool = default;
};

/// Assigns a slot of a server to a request.
struct SlotGrant
{
    ServerIncarnation server;

    auto operator==(const SlotGrant &) const -> bool = default;
};

/// States that no slot is expected to become free before the deadline.
struct SlotRefusal
{
    Duration retryAfter{}; ///< delay until the caller should retry

    auto operator==(const SlotRefusal &) const -> bool = default;
};

/// A broker's decision on one ticket.
struct SlotDecision
{
    TicketId id;
    std::variant<SlotGrant, SlotRefusal> outcome;
    ServiceId service; ///< empty if only the owner of a key could run the request
};

/// A ticket that waits for a slot or holds one.
struct KnownTicket
{
    ServiceId service;
    BackendServerId owner; ///< empty: any server of the service
    bool granted = false;

    auto operator==(const KnownTicket &) const -> bool = default;
};

/// A report of a server's limit.
struct ServerLimit
{
    ServerIncarnation server;
    LimitReport limit;

    auto operator==(const ServerLimit &) const -> bool = default;
};

/// How a request that held a slot ended.
enum class SlotEnd {
    Served, ///< complete response
    Failed, ///< error response of the server
    Declined, ///< the server reported that it did not run the request because it is overloaded
    Lost, ///< sent, but the connection failed before a response; the server may be down
    Unreachable, ///< no connection could be established
    TimedOut, ///< no response within the request's remaining time
    Abandoned, ///< the caller disconnected, or the request was never sent
    /// The server reported that it does not own the key or is not the one that was meant. VMs of
    /// earlier releases report it as Declined, and ignore it otherwise.
    Misdirected,
};

/// The load that a server reports about itself.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1.0; ///< current service time divided by the usual one

    auto operator==(const LoadReport &) const -> bool = default;
};

/// The result of a request that held a slot.
struct SlotResult
{
    SlotEnd end = SlotEnd::Served;
    Duration elapsed{}; ///< time spent at the server
    std::optional<LoadReport> load;
    std::optional<ServerTerms> terms; ///< empty if the server did not respond
};

/// Settings of SlotBroker.
struct SlotBrokerOptions
{
    milliseconds assumedServiceTime{150}; ///< for a server without samples
    double serviceTimeWeight = 0.08; ///< weight of a new sample in the moving average
    double crossZonePenalty = 1.1; ///< factor on the expected service time in another zone
    milliseconds loadReportLifetime{400}; ///< age at which a load report is ignored
    milliseconds initialBackoff{500}; ///< pause after lost requests; doubled with each further loss
    /// A server that responds again after losses may have restarted, and be cold, for this long
    /// before its announcement arrives: one announcement interval plus the delay until it is read.
    milliseconds unannouncedRestartWindow{1500};
    milliseconds maxBackoff{3000}; ///< upper bound of the pause
    /// A timeout counts as a loss if it lasted longer than this multiple of the server's average.
    double timeoutLossFactor = 4.0;
    DeclineRestOptions declineRest; ///< rest of a server after it declined a request
    milliseconds misdirectedBackoff{60}; ///< pause after a misdirected request
    /// Fraction of a cold server's rate that is granted. The rest is headroom for requests that are
    /// delayed in transit and arrive together.
    double coldRateFraction = 0.65;
    milliseconds ticketGrace{500}; ///< an unreleased slot is reclaimed this long after the deadline
    /// Fraction of the average service time that a request must have left to be granted a slot.
    double minServiceTimeFraction = 0.6;

    auto operator==(const SlotBrokerOptions &) const -> bool = default;
};

} // namespace figlanding
