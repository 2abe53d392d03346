#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/names.h"
#include "figlanding/random.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// @file
/// Hands out the slots of a group of servers, one request a slot, for all VMs together.
///
/// Answers a load near or above what few-slot servers bear: a request waits here, not at a
/// server, so that the most urgent one gets the next free slot of the fastest server, a server
/// never gets more than it runs at once, and a cold server never gets more than it bears.

namespace figlanding {

/// A request's claim, unique in the fleet.
struct TicketId
{
    VmId vm;
    std::uint64_t number = 0; ///< unique in one run of the VM's process

    auto operator<=>(const TicketId &) const = default;
};

/// A server whose slots a broker hands out.
struct BrokeredServer
{
    ServerIncarnation life;
    AvailabilityZoneId zone;
    std::uint32_t slots = 1;
    double coldRequestsPerSecond = 0.0; ///< that it bears until coldUntil
    TimePoint coldUntil;
    bool takesWork = true; ///< false: requests finish, none is added

    auto operator==(const BrokeredServer &) const -> bool = default;
};

/// A request that wants a slot.
struct SlotRequest
{
    TicketId id;
    ServiceId service;
    BackendServerId owner; ///< the only server that may run it; empty: any of the service
    std::vector<BackendServerId> excluded; ///< servers that already failed it
    std::uint32_t priority = 0; ///< 0 is the most urgent
    AvailabilityZoneId zone; ///< of the VM that asks
    TimePoint arrivedAt;
    TimePoint objectiveAt; ///< an answer after this is worth less
    TimePoint deadline; ///< an answer after this is worth nothing

    auto operator==(const SlotRequest &) const -> bool = default;
};

/// A slot is free for the request.
struct SlotGrant
{
    ServerIncarnation server;

    auto operator==(const SlotGrant &) const -> bool = default;
};

/// No slot will be free in time.
struct SlotRefusal
{
    Duration retryAfter{};

    auto operator==(const SlotRefusal &) const -> bool = default;
};

/// What a broker decided on one ticket.
struct SlotDecision
{
    TicketId id;
    std::variant<SlotGrant, SlotRefusal> outcome;
};

/// How a request with a slot ended.
enum class SlotEnd {
    Served, ///< whole answer
    Failed, ///< an error answer of the server
    Declined, ///< the server said that it did not run the request
    Lost, ///< no answer after it was sent; the server may be gone
    Unreachable, ///< no connection to the server
    TimedOut, ///< no answer in the time that the request had left
    Abandoned, ///< the caller left, or the request was never sent
};

/// A server's own report of its load.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1.0; ///< present service time relative to the usual one

    auto operator==(const LoadReport &) const -> bool = default;
};

/// The end of a request with a slot.
struct SlotResult
{
    SlotEnd end = SlotEnd::Served;
    Duration elapsed{}; ///< at the server
    std::optional<LoadReport> load;
};

/// Settings of SlotBroker.
struct SlotBrokerOptions
{
    milliseconds assumedServiceTime{150}; ///< of a server without history
    double serviceTimeWeight = 0.08; ///< of the newest service time in the average
    double otherZoneCost = 1.1; ///< factor on the expected time in another zone
    milliseconds slownessLifetime{400}; ///< a load report counts for this long
    milliseconds firstPause{500}; ///< a server that loses requests rests for this long
    /// A server that answers again after losses may be cold for this long without having said so:
    /// an interval of announcements, and the time until one is read.
    milliseconds unannouncedStart{1500};
    milliseconds longestPause{3000};
    /// A server that timed out is lost if it had this multiple of its average time.
    double timeoutToLoss = 4.0;
    milliseconds declinePause{60}; ///< a server that declined rests for this long
    /// Part of the rate that a cold server bears which is handed out: requests may be held up on
    /// their way and arrive together.
    double coldShare = 0.65;
    milliseconds ticketGrace{500}; ///< a slot is free this long after its deadline
    double minTimeShare = 0.6; ///< share of the average service time a request must have left

    auto operator==(const SlotBrokerOptions &) const -> bool = default;
};

/// The slots and the queue of the servers that one VM is responsible for.
class SlotBroker
{
public:
    SlotBroker(const SlotBrokerOptions &options, std::uint64_t randomSeed);

    /// Replaces the servers of a service; those that stay keep their history.
    auto setServers(const ServiceId &service, const std::vector<BrokeredServer> &servers) -> void;
    /// Takes a request. A repetition of a known ticket repeats its grant or keeps its place.
    auto ask(const SlotRequest &request, TimePoint now) -> void;
    /// Frees the slot or the place in the queue of a ticket.
    auto finish(const TicketId &id, const SlotResult &result, TimePoint now) -> void;
    /// Refuses what cannot be served in time any more and frees slots whose VM fell silent.
    auto tick(TimePoint now) -> void;
    /// Returns and forgets the decisions since the last call.
    [[nodiscard]] auto takeDecisions() -> std::vector<SlotDecision>;

    /// Returns whether a ticket waits for a slot.
    [[nodiscard]] auto isWaiting(const TicketId &id) const -> bool;
    [[nodiscard]] auto waiting() const -> std::size_t;
    [[nodiscard]] auto running() const -> std::size_t
    {
        return m_granted.size();
    }
    /// Returns the average service times of the servers, for the balance of keys.
    [[nodiscard]] auto serviceTimes() const -> std::map<BackendServerId, milliseconds>;

private:
    // Requests of one zone's VMs that were lost at a server. VMs of another zone may reach it.
    struct Trouble
    {
        TimePoint pausedUntil;
        std::uint32_t losses = 0; ///< in a row
        bool mayHaveRestarted = false; ///< there was no connection to the server
        std::uint32_t probes = 0; ///< requests at the server since the last loss
    };

    struct Server
    {
        BrokeredServer info;
        std::uint32_t running = 0;
        double averageMs = 0.0; ///< at the usual speed; 0: no history
        double grossMs = 0.0; ///< average with all slow phases
        double slowness = 1.0;
        TimePoint slownessAt;
        TimePoint pausedUntil; ///< after it declined a request
        TimePoint mayBeColdUntil; ///< it may have started anew, unannounced so far
        std::map<AvailabilityZoneId, Trouble> troubles; ///< by the zone of the VMs that had it
        std::deque<TimePoint> grants; ///< within the last second
    };
    // The servers of a service, and the requests that wait for one of them.
    struct Group
    {
        std::map<BackendServerId, Server> servers;
        std::vector<SlotRequest> waiting;
    };
    struct Granted
    {
        ServiceId service;
        ServerIncarnation life;
        AvailabilityZoneId zone; ///< of the VM that has the slot
        TimePoint expiresAt;
    };

    [[nodiscard]] auto mayTake(const Server &server, const SlotRequest &request,
                               TimePoint now) const -> bool;
    [[nodiscard]] static auto troubleOf(const Server &server, const AvailabilityZoneId &zone)
        -> const Trouble *;
    [[nodiscard]] static auto restsUntil(const Server &server, const AvailabilityZoneId &zone)
        -> TimePoint;
    [[nodiscard]] auto coldRate(const Server &server) const -> double;
    [[nodiscard]] auto longRunMs(const Server &server) const -> double;
    [[nodiscard]] auto expectedMs(const Server &server, TimePoint now) const -> double;
    [[nodiscard]] auto choose(Group &group, const SlotRequest &request, TimePoint now) -> Server *;
    // What the servers that may run a request can do.
    struct Throughput
    {
        double perMs = 0.0; ///< requests that end in one millisecond
        bool free = false; ///< one has a free slot
        std::optional<Duration> pause; ///< until the first one that rests may take requests
    };

    [[nodiscard]] auto throughput(const Group &group, const SlotRequest &request,
                                  TimePoint now) const -> Throughput;
    [[nodiscard]] auto expectedWait(const Group &group, const SlotRequest &request,
                                    std::size_t ahead, TimePoint now) const
        -> std::optional<Duration>;
    [[nodiscard]] static auto countAhead(const Group &group, const SlotRequest &request)
        -> std::size_t;
    [[nodiscard]] auto timeNeeded(const Group &group, const SlotRequest &request) const -> Duration;
    auto refuseHopeless(Group &group, TimePoint now) -> void;
    [[nodiscard]] auto findServer(const Granted &granted) -> Server *;
    [[nodiscard]] auto typicalServiceMs(const Group &group, const SlotRequest &request) const
        -> double;
    auto grant(const SlotRequest &request, Server &server, TimePoint now) -> void;
    auto refuse(const SlotRequest &request, Duration retryAfter) -> void;
    auto dispatch(Group &group, TimePoint now) -> void;
    static auto free(Server &server, const AvailabilityZoneId &zone) -> void;
    auto noteLoss(Server &server, const AvailabilityZoneId &zone, bool reached, TimePoint now)
        -> void;
    auto noteAnswer(Server &server, const AvailabilityZoneId &zone, TimePoint now) -> void;
    [[nodiscard]] static auto isCold(const Server &server, const SlotRequest &request,
                                     TimePoint now) -> bool;
    auto note(Server &server, const AvailabilityZoneId &zone, const SlotResult &result,
              TimePoint now) -> void;
    auto forgetOldGrants(TimePoint now) -> void;

    SlotBrokerOptions m_options;
    RandomEngine m_random;
    std::map<ServiceId, Group> m_groups;
    std::map<TicketId, ServiceId> m_waiting; ///< the group of each ticket that waits
    std::map<TicketId, Granted> m_granted;
    std::vector<SlotDecision> m_decisions;
};

} // namespace figlanding
