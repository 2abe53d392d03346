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
#include <utility>
#include <variant>
#include <vector>

/// @file
/// Decides who owns the keys of the keyed services. Only the VM that holds the claim acts.
///
/// Every change of an owner is a record in the store before it is an order to a server. Records
/// are appended on the condition that the topic still ends where this VM read it, so a VM that
/// has lost the claim cannot change anything. Each grant, also one that renews a lease, has a
/// higher fence than all before it: the term of the claim is the upper part of a fence, and the
/// holder counts the lower part, so it needs no record for a fence. What the order of events must
/// ensure:
///
/// - A range leaves a live server only after that server released it, and only if the last grant
///   of the range was answered: the server refuses a late grant of a lower fence.
/// - A server that started anew within an interval of renewals takes the next one like a first
///   grant; its fence is above all that the earlier life had.
/// - A server that started anew under the same name may have taken a grant meant for its earlier
///   life. It is told to release the range like a live owner.
/// - A range leaves a silent server only when its lease has run out, counted from the last
///   moment at which a renewal may have arrived there.
/// - After a grant that was not answered, its server may be another life, which knows no fences.
///   The holder grants the range again only if it still had the duty after that.
/// - A new holder of the claim does not know the renewals of earlier ones. It counts a lease from
///   the end of the time in which they may still renew.

namespace figlanding {

/// A holder's right to change ownership.
struct ControllerClaim
{
    Term term = 0;
    VmId vm;
    std::string incarnation;

    auto operator==(const ControllerClaim &) const -> bool = default;
};

/// What the ownership topic says.
struct OwnershipView
{
    LogOffset end = 0; ///< offset of the next record
    ControllerClaim claim;
    std::map<ServiceId, OwnershipTable> tables;

    auto operator==(const OwnershipView &) const -> bool = default;
};

/// Appends a claim if the topic ends at @ref expectedEnd.
struct AppendClaim
{
    LogOffset expectedEnd = 0;
    ControllerClaim claim;

    auto operator==(const AppendClaim &) const -> bool = default;
};

/// Appends a table if the topic ends at @ref expectedEnd.
struct AppendTable
{
    LogOffset expectedEnd = 0;
    ServiceId service;
    FencingToken fence = 0; ///< of the ranges that the record changes
    OwnershipTable table;

    auto operator==(const AppendTable &) const -> bool = default;
};

/// Grants a range, or renews its lease.
struct GrantOrder
{
    std::uint64_t id = 0;
    ServiceId service;
    ServerLife to;
    SocketAddress address;
    KeyRange keys;
    FencingToken fence = 0;
    std::string handOver;

    auto operator==(const GrantOrder &) const -> bool = default;
};

/// Ends new work on a range.
struct ReleaseOrder
{
    std::uint64_t id = 0;
    ServiceId service;
    ServerLife from;
    SocketAddress address;
    KeyRange keys;
    FencingToken fence = 0;

    auto operator==(const ReleaseOrder &) const -> bool = default;
};

/// Bits of a fence that count the grants of one term. The term has the bits above; together they
/// stay below 2^53, so that a server may read fences as floating-point numbers.
inline constexpr unsigned fenceCountBits = 32;

using ControllerAction = std::variant<AppendClaim, AppendTable, GrantOrder, ReleaseOrder>;

/// How an append ended.
enum class AppendEnd {
    Appended,
    Conflict, ///< the topic ended elsewhere
    Unknown, ///< no answer: it may take effect later, if its condition still holds
};

/// How an order ended.
enum class OrderEnd {
    Accepted,
    Refused, ///< the server has seen a higher fence
    Lost, ///< no answer: the order may have taken effect, or may do so later
    NotSent, ///< no connection: the order has not arrived and never will
    NoProcess, ///< nobody listens at the address
    OtherServer, ///< another server has come to the address
};

/// What the controller knows of its surroundings.
struct ControllerInputs
{
    const ServerRegistry &registry;
    std::vector<ServiceId> keyedServices;
    const std::map<ServiceId, std::vector<float>> &loads; ///< by key, requests
    const std::map<BackendServerId, milliseconds> &serviceTimes;
};

/// Settings of KeyController.
struct KeyControllerOptions
{
    VmId self;
    std::string incarnation;
    milliseconds lease{6000}; ///< asked of the servers with each grant
    milliseconds renewInterval{1800}; ///< leaves two further tries within a lease
    milliseconds retryInterval{300}; ///< of a grant or an append that was not answered
    milliseconds callTimeout{600}; ///< of a grant; it may arrive until then
    double clockDrift = 0.02; ///< a server's clock may run this much slower
    milliseconds margin{200}; ///< for timers of this VM that fire late
    milliseconds controllerLease{6000}; ///< renewals go on for this long without the store
    milliseconds unreachableAfter{2500}; ///< a server without answers for this long is not renewed
    /// A server is heard of at most this long after its start: an interval of announcements, a
    /// read of the store, and the way of what is passed on.
    milliseconds longestUnannounced{2000};
    milliseconds avoidAfter{5000}; ///< a server whose lease ran out in silence gets no keys so long
    milliseconds rebalanceInterval{500};
    /// Pause between two records of a service for each of its ranges: a record has them all and
    /// goes to all VMs. With 40 ranges it is not felt, with 500 there are four records a second.
    microseconds recordPausePerRange{500};
    /// A holder that has given out this many fences claims a new term.
    std::uint64_t fencesPerTerm = std::uint64_t{1} << (fenceCountBits - 1);
    /// The first owners are chosen when no server has joined for this long ...
    milliseconds firstOwnersPause{500};
    milliseconds firstOwnersLatest{1500}; ///< ... or this long after the first one
    KeyPlanOptions plan;

    auto operator==(const KeyControllerOptions &) const -> bool = default;
};

/// Shortens the lease of @p options, and the times that depend on it, to what servers take.
[[nodiscard]] auto withLongestLease(KeyControllerOptions options, milliseconds longest)
    -> KeyControllerOptions;

/// The decisions of the VM that assigns keys.
class KeyController
{
public:
    explicit KeyController(KeyControllerOptions options);

    /// Takes what the topic says; older views than the last one are ignored.
    auto onView(const OwnershipView &view, TimePoint now) -> void;
    /// Notes that the store answered a request that was sent at @p sentAt.
    auto onStoreContact(TimePoint sentAt) -> void;
    /// Notes that this VM was suspended: what it knew by the steady clock counts no more.
    auto onSuspended() -> void;
    /// Sets whether the store's group names this VM.
    auto setDuty(bool duty) -> void;
    /// Takes the end of an append.
    /// @param expectedEnd names the append; the record's offset, if it was appended
    auto onAppend(AppendEnd end, LogOffset expectedEnd, TimePoint now) -> void;
    auto onGrant(std::uint64_t id, OrderEnd end, TimePoint now) -> void;
    /// @param handOver token of the released range, if the server gave one
    auto onRelease(std::uint64_t id, OrderEnd end, const std::string &handOver, TimePoint now)
        -> void;
    /// Returns what is to be done now.
    [[nodiscard]] auto tick(const ControllerInputs &inputs, TimePoint now)
        -> std::vector<ControllerAction>;

    [[nodiscard]] auto active() const -> bool
    {
        return m_active;
    }
    /// Returns whether most servers do not answer this VM, so that another should take over.
    [[nodiscard]] auto shouldResign(TimePoint now) const -> bool;

private:
    enum class Phase { Held, Releasing, Free };

    // A range and what this holder of the claim knows of its lease.
    struct Range
    {
        OwnedRange owned;
        Phase phase = Phase::Held;
        bool needsRecord = false; ///< a higher fence was seen: another VM may hold the claim
        bool confirmed = false; ///< the last grant was accepted
        bool underWay = false; ///< a grant has not ended yet
        /// A grant since the last accepted one, or of an earlier term, may still take effect.
        bool unanswered = false;
        TimePoint sentAt; ///< of the last grant, or of the record that made the owner
        TimePoint dueAt; ///< of the next grant
        std::optional<TimePoint> lostSince; ///< first unanswered grant since the last answer
        TimePoint lostAt; ///< last unanswered grant
        std::uint32_t closedPort = 0; ///< successive grants that found no process
        bool otherServer = false; ///< its address belongs to another server now
        std::optional<ServerLife> target;
    };
    struct Service
    {
        std::vector<Range> ranges;
        TimePoint rebalancedAt;
        TimePoint recordAt; ///< of the next record
        bool hadOwners = false;
        std::size_t candidateCount = 0;
        TimePoint candidatesChangedAt;
        std::optional<TimePoint> firstCandidateAt;
    };
    struct Order
    {
        ServiceId service;
        KeyRange keys;
        FencingToken fence = 0;
    };
    using Append = std::variant<AppendClaim, AppendTable>;

    auto adopt(TimePoint now) -> void;
    [[nodiscard]] static auto expectedEndOf(const Append &append) -> LogOffset;
    auto settleConflict(TimePoint now) -> void;
    [[nodiscard]] auto holdsClaim() const -> bool;
    [[nodiscard]] auto nextFence() -> FencingToken;
    auto beginTerm(TimePoint now) -> void;
    auto endTerm() -> void;
    auto learnAddresses(const ServerRegistry &registry) -> void;
    [[nodiscard]] auto addressOf(const ServerLife &life) const -> std::optional<SocketAddress>;
    auto split(Service &service, const KeyRange &keys) -> void;
    auto tickService(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                     TimePoint now, std::vector<ControllerAction> &actions) -> void;
    auto freeLost(Service &service, const ControllerInputs &inputs, TimePoint now) -> void;
    [[nodiscard]] static auto hasEnded(const Range &range, const ControllerInputs &inputs) -> bool;
    [[nodiscard]] static auto isMovable(const Range &range) -> bool;
    [[nodiscard]] auto mayGrantAgain(const Range &range) const -> bool;
    [[nodiscard]] static auto isJoinable(const Range &range) -> bool;
    static auto joinDue(Service &service, TimePoint now) -> void;
    [[nodiscard]] static auto newLifeOf(const Range &range, const ServerRegistry &registry)
        -> const RegisteredServer *;
    auto releaseLeaving(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                        TimePoint now, std::vector<ControllerAction> &actions) -> void;
    auto rebalance(const ServiceId &id, Service &service, const ControllerInputs &inputs,
                   TimePoint now, std::vector<ControllerAction> &actions) -> void;
    auto release(const ServiceId &id, Range &range, std::vector<ControllerAction> &actions) -> void;
    auto planFree(const ServiceId &id, Service &service, const ControllerInputs &inputs,
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
    auto rangesOf(const Order &order, const auto &apply) -> void;

    KeyControllerOptions m_options;
    OwnershipView m_view;
    bool m_viewed = false;
    bool m_duty = false;
    bool m_active = false;
    TimePoint m_storeContactAt;
    TimePoint m_previousRenewsUntil; ///< the previous holder of the claim may renew until then
    bool m_previousHolder = false;
    std::optional<Append> m_append; ///< under way, or of unknown effect
    bool m_appendUnderWay = false;
    TimePoint m_appendAgainAt; ///< after an end of unknown effect
    bool m_awaitsView = false; ///< the topic has moved on
    std::map<ServiceId, Service> m_services;
    std::map<std::uint64_t, Order> m_orders;
    std::map<ServerLife, TimePoint> m_avoidedUntil;
    std::map<ServerLife, SocketAddress> m_addresses; ///< last known, also of servers that left
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_fenceCount = 0; ///< fences given out in this term
};

} // namespace figlanding
