#pragma once

#include "figlanding/clock.h"
#include "figlanding/cold_start_ramp.h"
#include "figlanding/decaying.h"
#include "figlanding/fair_queue.h"
#include "figlanding/names.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Admission control for one backend server. Runs on the VM that dispatches to the server and
/// decides when each request is sent.

namespace figlanding {

/// Identifies a request at its dispatching VM. Chosen by the caller; must be nonzero and unique
/// per ServerAdmission.
using AdmissionId = std::uint64_t;

/// Settings of a ServerAdmission.
struct AdmissionOptions
{
    std::uint32_t slots = 2; ///< maximum number of concurrent requests
    std::uint32_t maxConnections = 120; ///< maximum number of open connections
    FairQueueOptions queue;
    ColdStartOptions coldStart;

    auto operator==(const AdmissionOptions &) const -> bool = default;
};

/// A request for a concurrency slot.
struct AdmissionRequest
{
    AdmissionId id = 0;
    TeamId team;
    TimePoint deadline; ///< time by which the request must have ended

    auto operator==(const AdmissionRequest &) const -> bool = default;
};

/// Result of ServerAdmission::submit().
enum class AdmissionOutcome {
    Started, ///< a slot was assigned; send the request now
    Queued, ///< takeNext() or takeRefused() returns it later
    QueueFull, ///< refused without running
    /// Refused without running: the request is not expected to end before its deadline.
    DeadlineTooShort,
};

/// A request that was removed from the queue without having run.
struct RefusedRequest
{
    AdmissionRequest request;
    AdmissionOutcome reason = AdmissionOutcome::QueueFull;

    auto operator==(const RefusedRequest &) const -> bool = default;
};

/// State that a dispatching VM transfers to its successor.
struct AdmissionHandOver
{
    std::uint32_t running = 0; ///< slots still in use at the previous VM
    TimePoint latestEnd; ///< when the last of them ends; sent as a remaining time
    std::uint32_t limit = 1; ///< concurrency limit reached by the ramp
    std::string bootId; ///< boot id of the server; empty if unknown

    auto operator==(const AdmissionHandOver &) const -> bool = default;
};

/// Outcome of a started request.
enum class RequestEnd {
    Answered, ///< the complete response was received
    Shed, ///< the server rejected the request without running it
    Lost, ///< connection failure or timeout; the server may still run the request
    NotSent, ///< no part of the request was sent
};

/// Concurrency slots, connection count and request queue of one backend server.
class ServerAdmission
{
public:
    explicit ServerAdmission(const AdmissionOptions &options);

    /// Requests a slot. Call takeRefused() afterwards: a queued request of another team may have
    /// been evicted.
    [[nodiscard]] auto submit(const AdmissionRequest &request, TimePoint now) -> AdmissionOutcome;
    /// Releases the slot of a started request. A lost request keeps its slot until its deadline
    /// because the server may still be running it. Unknown ids are ignored. Call takeNext()
    /// afterwards.
    /// @param serviceTime time since the request was sent
    void finish(AdmissionId id, RequestEnd end, Duration serviceTime, TimePoint now);
    /// Releases the slot held for a lost request that the server is known not to be running.
    void confirmEnded(AdmissionId id);
    /// Removes a queued request whose caller has disconnected.
    /// @return whether the request was queued
    auto cancelQueued(AdmissionId id) -> bool;

    /// Starts the next queued request if a slot is free. Call it repeatedly until it returns
    /// nothing, then call takeRefused(). Do so after finish(), after reporting a probe result to
    /// ramp(), at nextHeldSlotEnd(), and when the period set by blockUntil() ends.
    [[nodiscard]] auto takeNext(TimePoint now) -> std::optional<AdmissionRequest>;
    /// Removes and returns the queued requests that can no longer end before their deadline,
    /// together with those evicted or refused since the last call.
    [[nodiscard]] auto takeRefused(TimePoint now) -> std::vector<RefusedRequest>;
    /// Returns the earliest time at which a slot held for a lost request becomes free.
    [[nodiscard]] auto nextHeldSlotEnd() const -> std::optional<TimePoint>;

    /// Starts no request before @p moment. A new dispatching VM uses this to wait until the
    /// requests of its predecessor have ended, because it does not know how many are running.
    void blockUntil(TimePoint moment);
    /// Stops permanently: no further request is started, and all queued requests are refused.
    /// Requests already started continue.
    /// @return the state to transfer to the successor
    [[nodiscard]] auto handOver(TimePoint now) -> AdmissionHandOver;
    /// Ends the period set by blockUntil() early and adopts the state of the predecessor.
    /// Ignored if the period has already ended.
    void accept(const AdmissionHandOver &handOver, TimePoint now);

    /// Counts a new connection if the limit allows another one.
    /// @return whether the connection may be opened
    [[nodiscard]] auto tryReserveConnection() -> bool;
    /// Records that a counted connection was closed.
    void releaseConnection();

    /// Applies the limits of a changed server declaration.
    void setLimits(std::uint32_t slots, std::uint32_t maxConnections);

    /// Returns the cold start ramp, to which probe results are reported.
    [[nodiscard]] auto ramp() -> ColdStartRamp &
    {
        return m_ramp;
    }
    /// Returns the number of slots in use, including those held for lost requests.
    [[nodiscard]] auto slotsInUse(TimePoint now) const -> std::uint32_t;
    /// Returns the number of queued requests.
    [[nodiscard]] auto queued() const -> std::size_t
    {
        return m_queue.size();
    }
    /// Returns the expected wait of a new request of @p team.
    /// @return nothing if too few service times are known
    [[nodiscard]] auto estimatedWait(const TeamId &team, TimePoint now) const
        -> std::optional<Duration>;

private:
    /// A slot held for a lost request, or for a request of the previous dispatching VM.
    struct HeldSlot
    {
        AdmissionId id = 0;
        TimePoint until;
    };

    [[nodiscard]] auto slotFree(TimePoint now) const -> bool;
    [[nodiscard]] auto endsInTime(const AdmissionRequest &request, Duration wait,
                                  TimePoint now) const -> bool;
    [[nodiscard]] auto latestEnd(TimePoint now) const -> TimePoint;
    void refuse(AdmissionRequest &&request, AdmissionOutcome reason);
    void recordEnd(RequestEnd end, Duration serviceTime, std::uint32_t inUse, TimePoint now);

    AdmissionOptions m_options;
    ColdStartRamp m_ramp;
    FairQueue<AdmissionRequest> m_queue;
    std::map<AdmissionId, AdmissionRequest> m_running;
    std::vector<HeldSlot> m_held;
    std::vector<RefusedRequest> m_refused;
    DecayingAverage m_serviceTime; ///< in nanoseconds
    TimePoint m_blockedUntil;
    bool m_stopped = false;
    std::uint32_t m_connections = 0;
};

} // namespace figlanding
