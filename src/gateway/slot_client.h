#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_view.h"
#include "figlanding/gateway/group_choice.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/slot_broker.h"
#include "figlanding/gateway/version_rules.h"
#include "gateway/unconfirmed_releases.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Acquires server slots for this VM's requests. The servers of a service form one pool, or one of
/// each version while a roll-out divides the requests. The servers of a pool are split into groups
/// by hash. One VM is responsible for each group and allocates the slots of its servers to all VMs.
/// This VM does so for the groups it is responsible for.

namespace figlanding {

/// Settings of SlotClient.
struct SlotClientOptions
{
    VmId self;
    std::string process; ///< incarnation of this VM's process
    AvailabilityZoneId zone;
    SlotBrokerOptions broker;
    std::uint64_t randomSeed = 0;
    std::size_t groupSize = 24; ///< target number of servers in a group
    milliseconds resendAfter{120}; ///< an unanswered request for a slot is sent again
    milliseconds failoverAfter{250}; ///< a VM that has not responded for this long is replaced
    milliseconds avoidFor{1500}; ///< a replaced VM gets no requests for this long
    /// A VM grants slots of cold servers, and tells the room of a group, once it has been
    /// responsible for the group this long: the grants of the VM before it are over then, and a VM
    /// that has just started knows the others.
    milliseconds coldTakeover{2000};
    UnconfirmedReleasesOptions releases;
    GroupChoiceOptions groupChoice;
    std::uint32_t maxMoves = 2; ///< times that a waiting request may move to another group
};

/// How this VM's requests without a key chose their groups since its start.
struct GroupChoiceCounts
{
    std::uint64_t informed = 0; ///< choices with recent reports of groups
    std::uint64_t uninformed = 0; ///< choices without any
    std::uint64_t movedWaiting = 0; ///< requests that left the queue of a group for another group
    std::uint64_t movedRefused = 0; ///< requests that were refused by a group and asked another one

    auto operator==(const GroupChoiceCounts &) const -> bool = default;
};

/// How a message about a ticket does not agree with the ticket.
enum class TicketConflictKind {
    Acquire, ///< a known ticket is requested for other servers
    Response, ///< the response is to an earlier process of this VM, and ignored
};

/// Returns "acquire" or "response".
[[nodiscard]] auto toText(TicketConflictKind kind) -> std::string_view;

/// A message that does not agree with its ticket.
struct TicketConflict
{
    TicketConflictKind kind = TicketConflictKind::Acquire;
    VmId from; ///< sender of the message
    TicketId id;
    KnownTicket known; ///< the ticket as it is known; empty for a response
    KnownTicket named; ///< what the message is about, as far as it says so

    auto operator==(const TicketConflict &) const -> bool = default;
};

/// Callbacks of SlotClient.
struct SlotClientHandlers
{
    /// Sends a message to another VM.
    std::function<void(const VmId &, const FleetPayload &)> send;
    /// Called with the decision on a request for a slot.
    std::function<void(std::uint64_t request, const std::variant<SlotGrant, SlotRefusal> &)>
        onDecision;
    /// Called for a message that does not agree with its ticket.
    std::function<void(const TicketConflict &)> onConflict;
    /// Called with the result of each request that held a slot. May be empty.
    std::function<void(const RouteId &, const ServerIncarnation &, const SlotResult &)> onResult =
        {};
};

/// Requests slots for this VM and responds to the slot requests of other VMs.
class SlotClient
{
public:
    /// @param view the live VMs; must outlive the client
    SlotClient(SlotClientOptions options, const FleetView &view, SlotClientHandlers handlers);

    /// Replaces the servers of all services.
    /// @param coldRates requests per second that a cold server of each service can handle
    auto setServers(const ServerRegistry &registry, const std::map<ServiceId, double> &coldRates)
        -> void;
    /// Returns the number of groups of each pool that has more than one. All VMs must use the
    /// same numbers, because a server's group and the VM that allocates its slots depend on them.
    [[nodiscard]] auto groupCounts() const -> std::map<ServiceId, std::size_t>;
    /// Takes over the larger numbers of groups that another VM uses.
    /// @return whether a number changed; setServers() must then be called
    auto raiseGroupCounts(const std::map<ServiceId, std::size_t> &counts) -> bool;
    /// Returns the room in the groups whose slots this VM allocates, of services with several
    /// groups. Sent to all VMs.
    [[nodiscard]] auto groupRooms(TimePoint now) const -> std::map<ServiceId, GroupRoom>;
    /// Takes over the room in the groups whose slots another VM allocates.
    auto onGroupRooms(const std::map<ServiceId, GroupRoom> &rooms, TimePoint now) -> void;
    /// Returns what is known of the groups of services with several groups.
    [[nodiscard]] auto groupReports() const -> const std::map<ServiceId, GroupReport> &
    {
        return m_groupChoice.reports();
    }
    [[nodiscard]] auto groupChoiceCounts() const -> const GroupChoiceCounts &
    {
        return m_groupChoiceCounts;
    }
    /// Requests a slot. The decision may be delivered before this returns.
    /// @param request the number of its id is the caller's and may be used again after release();
    /// the ticket's number, service and zone are filled in
    auto acquire(SlotRequest request, TimePoint now) -> void;
    /// Releases the slot of a request, or withdraws it. Unknown requests are ignored.
    /// @param request number given to acquire()
    auto release(std::uint64_t request, const SlotResult &result, TimePoint now) -> void;
    /// Notes the process of another VM. When it is new, the queued requests of the VM's earlier
    /// processes are withdrawn, because nobody waits for them.
    auto onProcess(const VmId &vm, const std::string &process) -> void;
    /// Processes a message of another VM.
    auto onMessage(const FleetMessage &message, TimePoint now) -> void;
    /// Resends unanswered requests and unconfirmed releases, fails over from a VM that does not
    /// respond to another one, and delivers decisions of the brokers that are due.
    auto tick(TimePoint now) -> void;
    /// Returns the number of this VM's requests that wait for any server of the pool @p pool, or
    /// hold a slot of, or wait for, a server that @p isMeant returns true for.
    [[nodiscard]] auto
    countTickets(const ServiceId &pool,
                 const std::function<bool(const BackendServerId &)> &isMeant) const -> std::size_t;
    /// Returns the revision of the roll-out's record that new requests of a service follow; zero if
    /// there is none.
    [[nodiscard]] auto revisionOf(const ServiceId &service) const -> std::uint64_t;
    [[nodiscard]] auto waiting() const -> std::size_t
    {
        return m_broker.waiting();
    }
    [[nodiscard]] auto granted() const -> std::size_t
    {
        return m_broker.running();
    }
    /// Returns the average service times of the servers whose slots this VM allocates.
    [[nodiscard]] auto serviceTimes() const -> std::map<BackendServerId, milliseconds>
    {
        return m_broker.serviceTimes();
    }
    /// Returns the sums of the decisions since the last call and clears them.
    [[nodiscard]] auto takeStatistics() -> SlotStatistics;
    /// Returns the limit of each server that has one, in requests per second.
    [[nodiscard]] auto limits(TimePoint now) const -> std::map<BackendServerId, double>
    {
        return m_broker.limits(now);
    }
    /// Returns the limits that servers stated to this VM as the one that allocates their slots.
    /// Sent to all VMs: any of them may be the next to allocate them.
    [[nodiscard]] auto statedLimits(TimePoint now) const -> std::vector<ServerLimit>
    {
        return m_broker.statedLimits(now);
    }
    /// Takes over the limits that servers stated to another VM.
    auto onLimitReports(const VmId &from, const std::vector<ServerLimit> &limits, TimePoint now)
        -> void;

private:
    // A slot or a request for one, held by a request of this VM.
    struct Ticket
    {
        SlotRequest request; ///< its service is the name of the group
        ServiceId service;
        ServiceId pool; ///< to which the group belongs
        ServerIncarnation server; ///< valid if granted
        std::uint64_t requestNumber = 0; ///< given to acquire()
        std::uint32_t moves = 0; ///< to another group while it waited
        bool wasRefused = false; ///< by another group
        VmId responsibleVm;
        bool granted = false;
        bool decidedLocally = false; ///< by the fallback broker, without the responsible VM
        std::uint32_t vmsTried = 1;
        /// Time of the last response of the responsible VM, or of the first request to it.
        TimePoint lastResponseAt;
        TimePoint sentAt;

        /// Returns the group if any of its servers may run the request, or an empty name.
        [[nodiscard]] auto groupOfAnyServer() const -> ServiceId
        {
            return request.owner.empty() ? request.service : ServiceId();
        }
    };

    [[nodiscard]] auto groupOf(const ServiceId &pool, const BackendServerId &server) const
        -> ServiceId;
    [[nodiscard]] auto groupsOf(const ServiceId &pool) const -> std::vector<ServiceId>;
    [[nodiscard]] auto pickGroup(const SlotRequest &request, TimePoint now) -> ServiceId;
    [[nodiscard]] auto roomOf(const ServiceId &group, TimePoint now) const
        -> std::optional<GroupRoom>;
    auto onAskedForAnyServer(const ServiceId &group) -> void;
    auto updateOwnRooms(TimePoint now) -> void;
    auto onRoom(const ServiceId &group, const std::optional<GroupRoom> &room, TimePoint now)
        -> void;
    [[nodiscard]] auto pickPool(const SlotRequest &request) -> ServiceId;
    // Requests a slot of any group of a pool.
    auto startIn(const ServiceId &pool, Ticket ticket, TimePoint now) -> void;
    // Moves the waiting requests of pools whose servers get nothing more.
    auto moveStranded(TimePoint now) -> void;
    // Gives a ticket a new number and requests its slot.
    auto start(Ticket ticket, TimePoint now) -> void;
    [[nodiscard]] auto mayChangeGroup(const Ticket &ticket, TimePoint now) const -> bool;
    // Moves a waiting request to another group, if it is served clearly earlier there.
    auto moveIfEarlier(std::uint64_t number, TimePoint now) -> void;
    // Requests a slot of another group for a request that its group refused. Returns whether one is
    // known that may have room.
    auto retryElsewhere(std::uint64_t number, TimePoint now) -> bool;
    auto updateColdGrants(TimePoint now) -> void;
    [[nodiscard]] auto knowsGrants(const ServiceId &group, TimePoint now) const -> bool;
    auto sendAcquire(std::uint64_t number, Ticket &ticket, TimePoint now) -> void;
    [[nodiscard]] auto findResponsibleVm(const ServiceId &group, TimePoint now) -> VmId;
    // Sends a release, and again until it is confirmed.
    auto sendRelease(const AddressedRelease &release, TimePoint now) -> void;
    auto withdraw(const Ticket &ticket, TimePoint now) -> void;
    auto decideLocally(Ticket &ticket, TimePoint now) -> void;
    auto deliver(SlotBroker &broker, TimePoint now) -> void;
    auto resolveTicket(std::uint64_t number, const std::variant<SlotGrant, SlotRefusal> &outcome,
                       TimePoint now) -> void;
    auto onAcquire(const FleetMessage &message, const SlotAcquire &acquire, TimePoint now) -> void;
    auto onRelease(const FleetMessage &message, const SlotRelease &release, TimePoint now) -> void;
    auto onResponse(const FleetMessage &message, const SlotResponse &response, TimePoint now)
        -> void;

    SlotClientOptions m_options;
    const FleetView &m_view;
    SlotClientHandlers m_handlers;
    SlotBroker m_broker;
    /// One slot per server; used when the responsible VM does not respond.
    SlotBroker m_fallbackBroker;
    RandomEngine m_random;
    GroupChoice m_groupChoice;
    GroupChoiceCounts m_groupChoiceCounts;
    std::set<ServiceId> m_dividedGroups; ///< groups of pools with several
    /// Groups of which this VM was asked for any server. Nobody needs to know the room of others.
    std::set<ServiceId> m_groupsOfAnyServer;
    VersionRules m_versionRules;
    std::set<BackendServerId> m_newVersionServers; ///< of versions in a roll-out
    std::map<ServiceId, std::size_t> m_groupCounts; ///< by pool
    /// Groups that this VM is responsible for, and since when.
    std::map<ServiceId, TimePoint> m_responsibleSince;
    /// VMs that did not respond, although their heartbeats may still arrive.
    std::map<VmId, TimePoint> m_avoidedUntil;
    std::map<std::uint64_t, Ticket> m_tickets; ///< by ticket number
    std::map<std::uint64_t, std::uint64_t> m_ticketNumbers; ///< by the number given to acquire()
    std::uint64_t m_nextTicket = 1;
    UnconfirmedReleases m_unconfirmedReleases;
    /// Last processes seen of each VM. They carry no order: a late message of an earlier process
    /// must not be taken for a new one.
    std::map<VmId, std::deque<std::string>> m_processes;
};

} // namespace figlanding
