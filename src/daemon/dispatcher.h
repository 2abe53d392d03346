#pragma once

#include "daemon/dispatch_message.h"
#include "daemon/dispatched_server.h"
#include "figlanding/admission.h"
#include "figlanding/cluster_state.h"
#include "figlanding/idempotency.h"
#include "figlanding/lease_renewal.h"
#include "figlanding/quarantine.h"
#include "figlanding/timing.h"
#include "io/event_loop.h"
#include "io/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/// @file
/// Sends requests to the backend servers that this VM dispatches to.

namespace figlanding {

/// Settings of Dispatcher.
struct DispatcherOptions
{
    VmId self;
    std::string incarnation;
    Timing timing;
};

/// Questions and events of Dispatcher.
struct DispatcherHandlers
{
    std::function<const ClusterState &()> state; ///< fold of the log
    std::function<bool()> viewIsFresh;
    /// A server's boot id, from every probe that was answered.
    std::function<void(const BackendServerId &, const std::string &)> onBootId;
    /// Another VM is the server's dispatching VM from now on.
    std::function<void(const BackendServerId &, const VmId &, const AdmissionHandOver &)>
        onHandOver;
    /// A server crashed while requests were in flight.
    std::function<void(const CrashFindings &)> onCrash;
    /// Wall-clock time, for the end of quarantines.
    std::function<milliseconds()> unixNow;
};

/// Holds slots, queue, probes and lease of each server that this VM dispatches to.
///
/// A request leaves only while the view is fresh, this VM is the server's dispatching VM and, on
/// exclusive services, the server owns the key and no move is under way. All of this is checked
/// again when a request leaves the queue.
class Dispatcher
{
public:
    using DispatchId = std::uint64_t;
    using Callback = std::function<void(DispatchAnswer)>;

    Dispatcher(EventLoop &loop, HttpClient &client, DispatcherOptions options,
               DispatcherHandlers handlers);

    /// Sends a request; @p callback runs once, possibly before this returns.
    auto dispatch(DispatchRequest request, Callback callback) -> DispatchId;
    /// Ends a request whose caller has left; its callback does not run.
    auto cancel(DispatchId id) -> void;
    /// Follows a new state: takes up and hands over servers.
    /// @param before previous state
    /// @param olderViewUntil end of the freshness of the previous state's view
    auto onState(const ClusterState &before, const ClusterState &after,
                 std::optional<TimePoint> olderViewUntil) -> void;
    /// Takes over what another VM found about a crash.
    auto acceptCrashReport(const CrashReport &report) -> void;
    /// Takes over the slots of a server from its previous dispatching VM.
    auto acceptHandOver(const BackendServerId &server, const AdmissionHandOver &handOver) -> void;

    /// Returns the offset up to which all older exclusive requests have ended.
    [[nodiscard]] auto drainedOffset() const -> LogOffset;
    /// Returns the servers whose probes fail.
    [[nodiscard]] auto suspectedServers() const -> std::set<BackendServerId>;
    /// Returns the number of requests that wait or run.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_calls.size();
    }
    /// Returns the number of requests that wait for a slot.
    [[nodiscard]] auto queued() const -> std::size_t;

private:
    struct Call
    {
        DispatchRequest request;
        Callback callback;
        TimePoint deadline;
        bool sent = false;
        LogOffset sentUnder = 0; ///< folded offset when the request left
        TimePoint sentAt;
        HttpClient::CallId httpCall = 0;
    };

    [[nodiscard]] auto check(const DispatchRequest &request) const -> std::optional<Refusal>;
    [[nodiscard]] auto isDispatcher(const ClusterState &state, const BackendServerId &server) const
        -> bool;
    auto submit(DispatchId id) -> void;
    auto send(DispatchId id) -> void;
    [[nodiscard]] auto serverRequest(const Call &call, Duration remaining) const -> HttpRequest;
    auto onOutcome(DispatchId id, HttpOutcome outcome) -> void;
    auto noteCrash(const BackendServerId &server, const std::string &bootId) -> void;
    [[nodiscard]] auto recall(const DispatchRequest &request) -> std::optional<DispatchAnswer>;
    auto remember(const DispatchRequest &request, const DispatchAnswer &answer) -> void;
    auto finish(DispatchId id, DispatchAnswer answer) -> void;
    auto pump(const BackendServerId &server) -> void;
    auto pumpAll() -> void;
    auto takeUp(const ClusterState &before, const BackendServer &server) -> void;
    auto handOver(const BackendServerId &server, const ClusterState &after) -> void;

    EventLoop &m_loop;
    HttpClient &m_client;
    DispatcherOptions m_options;
    DispatcherHandlers m_handlers;
    std::map<BackendServerId, std::unique_ptr<DispatchedServer>> m_servers;
    std::map<DispatchId, Call> m_calls;
    IdempotencyStore m_idempotency;
    PoisonRequestDetector m_evidence;
    LeaseRenewal m_leaseRenewal;
    DispatchId m_nextId = 1;
    Timer m_pumpTimer;
};

} // namespace figlanding
