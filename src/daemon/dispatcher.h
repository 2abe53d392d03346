#pragma once

#include "daemon/dispatch_message.h"
#include "daemon/dispatched_server.h"
#include "daemon/duplicate_guard.h"
#include "figlanding/admission.h"
#include "figlanding/cluster_state.h"
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
/// Sends requests to the backend servers for which this VM is the dispatching VM.

namespace figlanding {

/// Settings of Dispatcher.
struct DispatcherOptions
{
    VmId self;
    std::string incarnation; ///< random value chosen at this VM's start
    Timing timing;
};

/// Callbacks of Dispatcher.
struct DispatcherHandlers
{
    /// Returns the state after the last applied log record.
    std::function<const ClusterState &()> state;
    std::function<bool()> viewIsFresh; ///< returns whether that state may be acted on
    /// A probe returned this boot id of the server.
    std::function<void(const BackendServerId &, const std::string &)> onBootId;
    /// Another VM has become the server's dispatching VM and needs the admission state.
    std::function<void(const BackendServerId &, const VmId &, const AdmissionHandOver &)>
        onHandOver;
    /// A server crashed while requests were in flight.
    std::function<void(const CrashFindings &)> onCrash;
    /// Returns the time since the Unix epoch, from which the end of a quarantine is computed.
    std::function<milliseconds()> unixNow;
};

/// Manages slots, queue, probes and lease of each server that this VM dispatches to.
///
/// A request is sent only while the view is fresh, this VM is the server's dispatching VM and, on
/// exclusive services, the server owns the key and the key is not being moved. All of this is
/// checked on arrival and again when the request leaves the queue.
class Dispatcher
{
public:
    using DispatchId = std::uint64_t;
    using Callback = std::function<void(DispatchResult)>;

    Dispatcher(EventLoop &loop, HttpClient &client, DispatcherOptions options,
               DispatcherHandlers handlers);

    /// Sends or queues a request.
    /// @param callback receives the result; runs once, possibly before this function returns
    auto dispatch(DispatchRequest request, Callback callback) -> DispatchId;
    /// Cancels a request whose caller disconnected; its callback does not run. A request that was
    /// already sent keeps its slot until it ends, since the server may still run it.
    auto cancel(DispatchId id) -> void;
    /// Applies a new state: starts dispatching to the servers whose dispatching VM is now this VM,
    /// and hands over those for which it no longer is.
    /// @param before previous state
    /// @param after new state
    /// @param olderViewUntil time until which the view of the previous state is fresh
    auto onState(const ClusterState &before, const ClusterState &after,
                 std::optional<TimePoint> olderViewUntil) -> void;
    /// Adds another VM's crash report to the evidence on which quarantines are based.
    auto acceptCrashReport(const CrashReport &report) -> void;
    /// Takes over the admission state of a server from its previous dispatching VM.
    auto acceptHandOver(const BackendServerId &server, const AdmissionHandOver &handOver) -> void;

    /// Returns the drained offset: no exclusive request that was sent at an earlier applied offset
    /// is still in flight.
    [[nodiscard]] auto drainedOffset() const -> LogOffset;
    /// Returns the servers that are suspected to have failed, according to their probes.
    [[nodiscard]] auto suspectedServers() const -> std::set<BackendServerId>;
    /// Returns the number of requests that are queued or in flight.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_calls.size();
    }
    /// Returns the number of requests that are queued for a slot.
    [[nodiscard]] auto queued() const -> std::size_t;

private:
    struct Call
    {
        DispatchRequest request;
        Callback callback;
        TimePoint deadline; ///< latest end of the request
        bool sent = false;
        LogOffset offsetWhenSent = 0; ///< applied offset when the request was sent
        TimePoint sentAt;
        HttpClient::CallId httpCall = 0;
    };

    /// Returns why the request must not be sent now, or nothing if it may be sent.
    [[nodiscard]] auto check(const DispatchRequest &request) const -> std::optional<Refusal>;
    /// Returns whether this process is the server's dispatching VM in @p state.
    [[nodiscard]] auto isDispatcher(const ClusterState &state, const BackendServerId &server) const
        -> bool;
    auto submit(DispatchId id) -> void;
    auto send(DispatchId id) -> void;
    auto onOutcome(DispatchId id, HttpOutcome outcome) -> void;
    auto recordCrash(const BackendServerId &server, const std::string &bootId) -> void;
    auto finish(DispatchId id, DispatchResult result) -> void;
    /// Sends the server's queued requests that get a slot and refuses those that no longer can.
    auto processQueue(const BackendServerId &server) -> void;
    auto processAllQueues() -> void;
    /// Starts probes of and admission to a server of which this VM has become the dispatching VM.
    auto startDispatching(const ClusterState &before, const BackendServer &server) -> void;
    /// Stops dispatching to a server, refuses its queue and passes its admission state on.
    auto handOver(const BackendServerId &server, const ClusterState &after) -> void;

    EventLoop &m_loop;
    HttpClient &m_client;
    DispatcherOptions m_options;
    DispatcherHandlers m_handlers;
    std::map<BackendServerId, std::unique_ptr<DispatchedServer>> m_servers;
    std::map<DispatchId, Call> m_calls;
    DuplicateGuard m_duplicates;
    PoisonRequestDetector m_poisonDetector;
    LeaseRenewal m_leaseRenewal;
    DispatchId m_nextId = 1;
    Timer m_queueTimer;
};

} // namespace figlanding
