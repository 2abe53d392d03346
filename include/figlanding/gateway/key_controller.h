#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// Assigns the keys of the keyed services to servers. Only the VM whose claim is the latest in the
/// ownership topic acts: the active controller.
///
/// Every change of owner is appended to the topic before the server gets a command. An append
/// succeeds only if the topic still ends where this VM last read it, so a VM that has lost the
/// claim cannot change ownership. Every grant carries a fencing token (fence) that is higher than
/// all earlier ones, also when it only renews a lease. The upper bits of a fence are the term of
/// the claim and the lower bits a counter in memory, so that renewals need no record. These rules
/// keep a key from having two owners:
///
/// - A range is taken from a live server only after the server has released it, and only if its
///   last grant was accepted: a late grant then has a lower fence and is refused.
/// - The acceptance that makes a lease certain is one that can be no copy of an earlier response.
/// - A server that restarts between two renewals handles the next renewal like a first grant. Its
///   fence is higher than all fences of the earlier incarnation.
/// - A server that restarts under the same name may have accepted a grant meant for its earlier
///   incarnation. It is asked to release the range like a live owner.
/// - A range is taken from an unreachable server only after its lease has expired, counted from
///   the last time at which a renewal may have arrived there. A cut can refuse its connections and
///   let its entry expire while it works on its keys, so neither shows that it has exited. What
///   shows it is another server at its address.
/// - After an unanswered grant, the server may have restarted and lost its fences. The controller
///   sends another grant only if the store has confirmed since then that it is still elected.
/// - A new controller does not know the renewals of earlier ones. It counts leases from the end
///   of the period in which an earlier controller may still renew them. The period ends as soon as
///   the earlier controller's VM proves that it has read the new claim, or reports its last grants.

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
    NotSent, ///< no connection was made, so the command cannot arrive; says nothing of the server
    OtherServer, ///< the address belongs to another server now
};

/// Inputs of one tick of the controller.
struct ControllerInputs
{
    const ServerRegistry &registry;
    std::vector<ServiceId> keyedServices;
    const std::map<ServiceId, std::vector<float>> &loads; ///< decaying request counts by key
    const std::map<BackendServerId, milliseconds> &serviceTimes; ///< last reported
    /// Limits that servers state, in requests per second; null: none.
    const std::map<BackendServerId, double> *limits = nullptr;
};

/// What a range of keys without a live owner waits for.
enum class OwnerWait {
    Store, ///< this VM has no contact with the store
    Release, ///< the owner has to end its requests and release the range
    Lease, ///< the lease of an owner that does not respond or is gone has to end
    Candidate, ///< no server may become its owner
    Record, ///< the record of its next owner
};

/// Returns the name for logs and metrics, such as "lease".
[[nodiscard]] auto toText(OwnerWait wait) -> std::string_view;

/// A range of keys without a live owner.
struct UnservedRange
{
    ServiceId service;
    KeyRange keys;
    BackendServerId owner; ///< empty if the range was released
    OwnerWait waitsFor = OwnerWait::Lease;
    TimePoint since;

    auto operator==(const UnservedRange &) const -> bool = default;
};

/// Settings of KeyController.
struct KeyControllerOptions
{
    VmId self;
    std::string incarnation;
    milliseconds lease{6000}; ///< lease that each grant requests
    milliseconds renewInterval{1800}; ///< allows two more attempts within a lease
    milliseconds retryInterval{300}; ///< after an unanswered grant or append
    milliseconds callTimeout{600}; ///< of a grant; it may arrive until the timeout
    double clockDrift = 0.02; ///< fraction by which a server's clock may run slow
    milliseconds timerMargin{200}; ///< added to leases, as timers of this VM may fire late
    milliseconds controllerLease{6000}; ///< acts for this long without store contact
    /// A range whose grants have been unanswered for this long is not renewed any more.
    milliseconds unreachableAfter{2500};
    /// Longest time from the start of a server until this VM learns of it: an announcement
    /// interval, a read of the store, and forwarding between VMs.
    milliseconds maxAnnouncementDelay{2000};
    /// A server whose lease expired without contact gets no keys for this long.
    milliseconds avoidDuration{5000};
    milliseconds rebalanceInterval{500};
    /// Minimum time between two records of a service, per range of its table. A record contains
    /// the whole table and is sent to all VMs. The pause is negligible for 40 ranges and limits a
    /// service with 500 ranges to four records per second.
    microseconds recordPausePerRange{500};
    /// A controller that has used this many fences claims a new term.
    std::uint64_t fencesPerTerm = std::uint64_t{1} << (fenceCountBits - 1);
    /// The first owners of a service are chosen once its number of servers has not changed for
    /// this long ...
    milliseconds firstOwnersQuietPeriod{500};
    milliseconds firstOwnersMaxWait{1500}; ///< ... or this long after its first server
    KeyPlanOptions plan;

    auto operator==(const KeyControllerOptions &) const -> bool = default;
};

/// Limits the lease of @p options to @p longest, and scales the times that depend on it.
[[nodiscard]] auto withMaxLease(KeyControllerOptions options, milliseconds longest)
    -> KeyControllerOptions;

/// Decides which server owns which keys, and returns the appends and commands to carry out.
class KeyController
{
public:
    explicit KeyController(KeyControllerOptions options);

    /// Updates the state of the ownership topic. Views older than the last one are ignored.
    auto onView(const OwnershipView &view, TimePoint now) -> void;
    /// Records that the store responded to a request that was sent at @p sentAt.
    auto onStoreContact(TimePoint sentAt) -> void;
    /// Records that this VM was suspended. The steady clock may have stopped, so the last store
    /// contact no longer counts.
    auto onSuspended() -> void;
    /// Processes the progress of another VM's process. It may prove that an earlier controller does
    /// not renew leases any more.
    auto onProgress(const ProcessProgress &progress, TimePoint now) -> void;
    /// Returns the last grants of this process for the VM that has claimed ownership after it;
    /// empty if there is nothing to tell, or the claim is not new any more.
    [[nodiscard]] auto leaseReport(TimePoint now) const -> std::optional<LeaseReport>;
    /// Processes the report of an earlier controller.
    auto onLeaseReport(const ControllerProcess &from, const LeaseReport &report, TimePoint now)
        -> void;
    /// Sets whether the group in the store elects this VM as the controller.
    auto setElected(bool elected) -> void;
    /// Handles the outcome of an append.
    /// @param expectedEnd identifies the append; offset of the record if it was appended
    auto onAppend(AppendOutcome end, LogOffset expectedEnd, TimePoint now) -> void;
    /// Handles the outcome of the grant command @p id.
    auto onGrant(std::uint64_t id, CommandOutcome end, TimePoint now) -> void;
    /// Handles the outcome of the release command @p id.
    /// @param handOver token of the released range; empty if the server sent none
    auto onRelease(std::uint64_t id, CommandOutcome end, const std::string &handOver, TimePoint now)
        -> void;
    /// Returns the appends and commands that are due.
    [[nodiscard]] auto tick(const ControllerInputs &inputs, TimePoint now)
        -> std::vector<ControllerAction>;

    /// Returns the ranges without a live owner; empty while this VM is not the active controller.
    [[nodiscard]] auto unservedRanges(TimePoint now) const -> std::vector<UnservedRange>;
    /// Returns the process that this controller runs in.
    [[nodiscard]] auto process() const -> ControllerProcess
    {
        return {.vm = m_options.self, .incarnation = m_options.incarnation};
    }
    /// Returns whether this VM acts as the holder of the claim.
    [[nodiscard]] auto active() const -> bool
    {
        return m_active;
    }
    /// Returns whether most servers do not respond to this VM, so that another VM should take over.
    [[nodiscard]] auto shouldResign(TimePoint now) const -> bool;

private:
    enum class Phase { Held, Releasing, Free };

    // A process that held the claim before.
    struct EarlierController
    {
        ControllerProcess process;
        TimePoint renewsUntil; ///< unless it has reported
        /// Its last grants by the time at which they arrived at the latest; empty: not reported.
        std::optional<std::map<ServerIncarnation, TimePoint>> grants;
    };

    // A range and what this controller knows about its lease.
    struct Range
    {
        OwnedRange owned;
        Phase phase = Phase::Held;
        bool needsRecord = false; ///< the server saw a higher fence: check the claim by an append
        bool confirmed = false; ///< the last grant was accepted
        bool grantInFlight = false; ///< the outcome of a grant is not known yet
        /// An unanswered grant sent after the last accepted one, or one of an earlier term, may
        /// still take effect.
        bool grantMayArriveLate = false;
        TimePoint grantSentAt; ///< of the last grant
        /// When the last grant was sent that may have arrived, or when the owner was recorded.
        TimePoint sentAt;
        TimePoint arrivedBy; ///< that grant arrived by then, if it did
        TimePoint dueAt; ///< of the next grant
        std::optional<TimePoint> unansweredSince; ///< first failure since the last accepted grant
        TimePoint lastUnansweredAt; ///< last failure
        bool addressReused = false; ///< the owner's address belongs to another server now
        std::optional<ServerIncarnation> target; ///< next owner of a range that is moved
        std::optional<TimePoint> unservedSince; ///< empty while it has a live owner
    };
    struct Service
    {
        std::vector<Range> ranges;
        TimePoint rebalancedAt;
        TimePoint nextRecordAt; ///< earliest time of the next record
        bool hadOwners = false;
        std::size_t candidateCount = 0;
        TimePoint candidatesChangedAt;
        std::optional<TimePoint> firstCandidateAt;
    };
    struct PendingCommand
    {
        ServiceId service;
        KeyRange keys;
        FencingToken fence = 0;
    };
    using Append = std::variant<AppendClaim, AppendTable>;

    auto rebuildServices(TimePoint now) -> void;
    [[nodiscard]] static auto expectedEndOf(const Append &append) -> LogOffset;
    auto resolveConflict(TimePoint now) -> void;
    auto applyRecord(const AppendTable &record, TimePoint now) -> void;
    [[nodiscard]] auto holdsClaim() const -> bool;
    [[nodiscard]] auto nextFence() -> FencingToken;
    [[nodiscard]] auto earlierControllers(TimePoint now) const
        -> std::optional<std::vector<ControllerProcess>>;
    auto beginTerm(TimePoint now) -> void;
    auto takeOverLeases(TimePoint now) -> void;
    auto noteGrant(const ServerIncarnation &server, TimePoint arrivedBy) -> void;
    auto noteGrantsInFlight() -> void;
    [[nodiscard]] auto grantedByOthersUntil(const ServerIncarnation &owner) const -> TimePoint;
    auto endTerm() -> void;
    auto updateAddresses(const ServerRegistry &registry) -> void;
    [[nodiscard]] auto addressOf(const ServerIncarnation &incarnation) const
        -> std::optional<SocketAddress>;
    auto split(Service &service, const KeyRange &keys) -> void;
    auto tickService(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                     TimePoint now, std::vector<ControllerAction> &actions) -> void;
    [[nodiscard]] auto hasStoreContact(TimePoint now) const -> bool;
    static auto noteUnserved(Service &service, const ServerRegistry &registry, TimePoint now)
        -> void;
    [[nodiscard]] auto waitOf(const Range &range, TimePoint now) const -> OwnerWait;
    auto freeAbandonedRanges(Service &service, const ControllerInputs &inputs, TimePoint now)
        -> void;
    [[nodiscard]] auto ownerExited(const Range &range, const ServerRegistry &registry) const
        -> bool;
    [[nodiscard]] static auto isRenewable(const Range &range, const ServerRegistry &registry)
        -> bool;
    [[nodiscard]] static auto isMovable(const Range &range) -> bool;
    [[nodiscard]] auto mayRetryGrant(const Range &range) const -> bool;
    [[nodiscard]] static auto isMergeable(const Range &range) -> bool;
    static auto mergeDueRanges(Service &service, TimePoint now) -> void;
    [[nodiscard]] static auto newIncarnationOf(const Range &range, const ServerRegistry &registry)
        -> const RegisteredServer *;
    auto releaseFromLeavingServers(const ServiceId &id, Service &service,
                                   const ControllerInputs &inputs, TimePoint now,
                                   std::vector<ControllerAction> &actions) -> void;
    auto rebalance(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                   TimePoint now, std::vector<ControllerAction> &actions) -> void;
    auto release(const ServiceId &id, Range &range, std::vector<ControllerAction> &actions) -> void;
    auto assignFreeRanges(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                          TimePoint now) -> void;
    auto record(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                TimePoint now, std::vector<ControllerAction> &actions) -> void;
    auto renew(const ServiceId &id, Service &service, const ControllerInputs &inputs, TimePoint now,
               std::vector<ControllerAction> &actions) -> void;
    [[nodiscard]] auto awaitsServers(Service &service, std::size_t candidateCount,
                                     TimePoint now) const -> bool;
    [[nodiscard]] auto candidates(const ServiceId &id, const ControllerInputs &inputs,
                                  TimePoint now) const -> std::vector<OwnerCandidate>;
    [[nodiscard]] auto leaseEnd(const Range &range) const -> TimePoint;
    [[nodiscard]] auto leaseWithDrift() const -> Duration;
    [[nodiscard]] static auto loadsOf(const ServiceId &id, const ControllerInputs &inputs)
        -> std::span<const float>;
    [[nodiscard]] static auto tableOf(const Service &service) -> OwnershipTable;
    [[nodiscard]] static auto plannedTable(const Service &service) -> OwnershipTable;
    auto forEachRange(const PendingCommand &command, const auto &apply) -> void;

    KeyControllerOptions m_options;
    OwnershipView m_view;
    bool m_hasView = false;
    bool m_elected = false;
    bool m_active = false;
    TimePoint m_storeContactAt;
    TimePoint m_claimSeenAt; ///< when the view showed the present claim for the first time
    LogOffset m_claimOffset = 0; ///< of the claim of this VM
    std::vector<EarlierController> m_earlierControllers;
    TimePoint m_unlistedRenewUntil; ///< for earlier controllers that no claim lists
    /// When the last grant of this process, in any of its terms, arrived at each server.
    std::map<ServerIncarnation, TimePoint> m_lastGrants;
    std::optional<Append> m_append; ///< in flight, or of unknown effect
    bool m_appendInFlight = false;
    TimePoint m_appendRetryAt; ///< after an outcome Unknown
    bool m_awaitsView = false; ///< an append conflicted: wait for a view that covers its offset
    std::map<ServiceId, Service> m_services;
    std::map<std::uint64_t, PendingCommand> m_pendingCommands;
    std::map<ServerIncarnation, TimePoint> m_avoidedUntil;
    /// Last known addresses; includes servers that have left.
    std::map<ServerIncarnation, SocketAddress> m_addresses;
    std::uint64_t m_nextCommandId = 1;
    std::uint64_t m_fenceCount = 0; ///< fences used in this term
};

} // namespace figlanding
