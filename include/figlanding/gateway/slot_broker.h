#pragma once

#include "figlanding/gateway/overdue_share.h"
#include "figlanding/gateway/route_work.h"
#include "figlanding/gateway/slot_statistics.h"
#include "figlanding/gateway/slot_types.h"
#include "figlanding/random.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

/// @file
/// Allocates the request slots of a group of servers on behalf of all VMs.
///
/// Keeps servers with few slots usable at or above their capacity: requests queue in the broker
/// instead of at a server, so that the most urgent request gets the next free slot of the fastest
/// server, no server gets more requests than it runs concurrently, a server that is still warming
/// up gets no more requests than its cold rate, and one that states a limit gets no more than that.

namespace figlanding {

/// The slots and the request queue of the server groups that one VM is responsible for.
class SlotBroker
{
public:
    /// @param randomSeed seed of the jitter on retry delays
    SlotBroker(const SlotBrokerOptions &options, std::uint64_t randomSeed);

    /// Replaces the servers of a service. Servers that remain keep their statistics.
    auto setServers(const ServiceId &service, const std::vector<BrokeredServer> &servers) -> void;
    /// Queues a request, or refuses it if it cannot be served before its deadline. Idempotent: a
    /// ticket that holds a slot gets the same grant again, and a waiting one keeps its position.
    auto acquire(const SlotRequest &request, TimePoint now) -> void;
    /// Releases the slot of a ticket, or removes the ticket from the queue.
    auto release(const TicketId &id, const SlotResult &result, TimePoint now) -> void;
    /// Removes the queued tickets of a VM's processes other than @p process. Slots that they hold
    /// are kept until they expire: their requests may still run at the servers.
    auto withdrawOthers(const VmId &vm, const std::string &process) -> void;
    /// Refuses requests that can no longer be served in time, and reclaims slots that their VM did
    /// not release.
    auto tick(TimePoint now) -> void;
    /// Returns the decisions since the last call and clears them.
    [[nodiscard]] auto takeDecisions() -> std::vector<SlotDecision>;
    /// Returns the sums of the decisions since the last call and clears them.
    [[nodiscard]] auto takeStatistics() -> SlotStatistics;

    /// Returns a ticket, or nothing if it neither waits nor holds a slot.
    [[nodiscard]] auto find(const TicketId &id) const -> std::optional<KnownTicket>;
    /// Returns whether a ticket waits for a slot.
    [[nodiscard]] auto isWaiting(const TicketId &id) const -> bool;
    /// Returns the number of queued requests.
    [[nodiscard]] auto waiting() const -> std::size_t;
    /// Returns the number of requests that hold a slot.
    [[nodiscard]] auto running() const -> std::size_t
    {
        return m_activeGrants.size();
    }
    /// Returns how much more the servers of a service can take from any VM.
    [[nodiscard]] auto room(const ServiceId &service, TimePoint now) const -> GroupRoom;
    /// Returns the average service time of each server at its usual speed. Key rebalancing uses it.
    [[nodiscard]] auto serviceTimes() const -> std::map<BackendServerId, milliseconds>;

    /// Returns the limits that servers stated in recent responses to requests of this broker.
    [[nodiscard]] auto statedLimits(TimePoint now) const -> std::vector<ServerLimit>;
    /// Returns the limit of each server that has one, in requests per second. Key rebalancing uses
    /// it.
    [[nodiscard]] auto limits(TimePoint now) const -> std::map<BackendServerId, double>;
    /// Takes over a limit that a server stated to another VM's broker.
    auto onLimitReport(const VmId &from, const ServerLimit &limit, TimePoint now) -> void;
    /// Sets whether slots of cold servers of a service are granted. Only one VM at a time may grant
    /// them, as the rate of a cold server is not shared.
    auto setGrantsCold(const ServiceId &service, bool grantsCold) -> void;
    /// Sets the part of each stated limit that this broker may use, in (0, 1].
    auto setLimitShare(double share) -> void
    {
        m_limitShare = share;
    }

private:
    static constexpr seconds grantWindow{1}; ///< over which the requests to a cold server count
    static constexpr milliseconds retryAfterWithoutServers{300};

    // Losses at a server seen by the VMs of one zone; VMs of other zones may still reach it.
    struct ZoneFailures
    {
        TimePoint pausedUntil;
        std::uint32_t losses = 0; ///< consecutive
        bool mayHaveRestarted = false; ///< a connection attempt failed
        std::uint32_t probes = 0; ///< running requests granted since the last loss
    };

    struct Server
    {
        BrokeredServer info;
        std::uint32_t running = 0;
        // Average service times of requests of factor 1 (see RouteWork); 0: no samples.
        double normalizedMs = 0.0; ///< at the usual speed
        double observedMs = 0.0; ///< slow phases included
        double slowness = 1.0;
        TimePoint loadReportedAt;
        TimePoint pausedUntil; ///< set when a request was misdirected
        DeclineRest declines;
        OverdueShare overdue; ///< of requests that only this server may run
        TimePoint mayBeColdUntil; ///< it may have restarted without an announcement so far
        /// Losses by the zone of the VMs that saw them.
        std::map<AvailabilityZoneId, ZoneFailures> failuresByZone;
        std::deque<TimePoint> grants; ///< grant times within the last second
        StatedLimit limit;
    };
    // The servers of a service and its request queue.
    struct ServiceGroup
    {
        std::map<BackendServerId, Server> servers;
        std::vector<SlotRequest> waiting;
        RouteWork work;
        OverdueShare overdue; ///< of requests that any server may run
    };
    struct QueuedTicket
    {
        ServiceId service;
        TimePoint queuedAt;
        Duration expectedWait{}; ///< when it was queued
    };
    struct ActiveGrant
    {
        ServiceId service;
        BackendServerId owner;
        ServerIncarnation incarnation;
        AvailabilityZoneId zone; ///< of the VM that holds the slot
        RouteId route;
        TimePoint grantedAt;
        TimePoint expiresAt;
    };

    [[nodiscard]] auto canAccept(const Server &server, const SlotRequest &request,
                                 TimePoint now) const -> bool;
    [[nodiscard]] static auto failuresFor(const Server &server, const AvailabilityZoneId &zone)
        -> const ZoneFailures *;
    [[nodiscard]] static auto unavailableUntil(const Server &server, const AvailabilityZoneId &zone)
        -> TimePoint;
    [[nodiscard]] auto coldRate(const Server &server) const -> double;
    [[nodiscard]] auto observedServiceMs(const Server &server) const -> double;
    [[nodiscard]] auto expectedMs(const Server &server, TimePoint now) const -> double;
    [[nodiscard]] auto selectServer(ServiceGroup &group, const SlotRequest &request, TimePoint now)
        -> Server *;
    // Combined capacity of the servers that may run a request.
    struct Throughput
    {
        double perMs = 0.0; ///< requests of factor 1 completed per millisecond
        bool hasFreeSlot = false; ///< at least one server can accept the request now
        std::optional<Duration> pause; ///< time until the first paused server is available
    };

    [[nodiscard]] auto throughput(const ServiceGroup &group, const SlotRequest &request,
                                  TimePoint now) const -> Throughput;
    [[nodiscard]] auto expectedWait(const ServiceGroup &group, const SlotRequest &request,
                                    double ahead, TimePoint now) const -> std::optional<Duration>;
    [[nodiscard]] static auto workAhead(const ServiceGroup &group, const SlotRequest &request)
        -> double;
    [[nodiscard]] auto minServiceTime(const ServiceGroup &group, const SlotRequest &request) const
        -> Duration;
    auto refuseInfeasible(ServiceGroup &group, TimePoint now) -> void;
    [[nodiscard]] auto findServer(const ActiveGrant &granted) -> Server *;
    [[nodiscard]] auto typicalServiceMs(const ServiceGroup &group, const SlotRequest &request) const
        -> double;
    auto grant(const SlotRequest &request, Server &server, TimePoint now) -> void;
    auto refuse(const SlotRequest &request, Duration retryAfter) -> void;
    auto dispatch(ServiceGroup &group, TimePoint now) -> void;
    // Sorts the queue and returns the requests that go ahead of more urgent ones.
    static auto sortQueue(ServiceGroup &group, TimePoint now) -> std::set<TicketId>;
    static auto findOverdue(ServiceGroup &group, TimePoint now) -> std::set<TicketId>;
    static auto rebaseTimes(ServiceGroup &group) -> void;
    static auto overdueShare(ServiceGroup &group, const BackendServerId &owner) -> OverdueShare *;
    static auto releaseSlot(Server &server, const AvailabilityZoneId &zone) -> void;
    auto recordLoss(Server &server, const AvailabilityZoneId &zone, bool reached, TimePoint now)
        -> void;
    auto recordResponse(Server &server, const AvailabilityZoneId &zone, TimePoint now) -> void;
    auto recordDecline(Server &server, const ActiveGrant &granted, const SlotResult &result,
                       TimePoint now) -> void;
    static auto recordRun(Server &server, const SlotResult &result, TimePoint now) -> void;
    [[nodiscard]] static auto acceptsRequests(const Server &server) -> bool
    {
        return server.info.acceptsRequests && !server.declines.isLeaving();
    }
    [[nodiscard]] static auto isCold(const Server &server, const SlotRequest &request,
                                     TimePoint now) -> bool;
    [[nodiscard]] auto requestsPerMs(const Server &server, const SlotRequest &request,
                                     TimePoint now) const -> double;
    auto recordResult(Server &server, const ActiveGrant &granted, const SlotResult &result,
                      TimePoint now) -> void;
    auto recordServiceTime(Server &server, const ActiveGrant &granted, const SlotResult &result)
        -> void;
    auto recordEnd(Server &server, const ActiveGrant &granted, const SlotResult &result,
                   TimePoint now) -> void;
    auto expireGrants(TimePoint now) -> void;

    SlotBrokerOptions m_options;
    RandomEngine m_random;
    std::map<ServiceId, ServiceGroup> m_groups;
    std::map<TicketId, QueuedTicket> m_waiting;
    std::map<TicketId, ActiveGrant> m_activeGrants;
    std::vector<SlotDecision> m_decisions;
    SlotStatistics m_statistics;
    std::set<ServiceId> m_withoutCold; ///< services whose cold servers get nothing
    double m_limitShare = 1.0;
};

} // namespace figlanding
