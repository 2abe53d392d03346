#pragma once

#include "daemon/dispatcher.h"
#include "daemon/peer_mesh.h"
#include "daemon/team_tokens.h"
#include "figlanding/pool_choice.h"
#include "figlanding/request_filters.h"
#include "figlanding/retry_policy.h"
#include "io/http_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Filters callers' requests, forwards them to a dispatching VM and responds to the callers.

namespace figlanding {

/// Settings of EntryRouter.
struct EntryRouterOptions
{
    VmId self;
    RetryOptions retry;
    std::uint64_t randomSeed = 0; ///< for the choice of pool servers and for retry delays
};

/// Outcome of one request, for metrics and logs.
struct RequestEndEvent
{
    std::string requestId;
    RouteId route;
    TeamId team;
    int status = 0; ///< HTTP status that the caller received
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> refusal; ///< nothing if a server responded
    Duration elapsed{}; ///< from the arrival of the request to its response
    std::uint32_t attempts = 0; ///< number of times it was dispatched
};

/// Callbacks of EntryRouter.
struct EntryRouterHandlers
{
    /// Returns the state after the last applied log record.
    std::function<const ClusterState &()> state;
    std::function<bool()> viewIsFresh; ///< returns whether that state may be acted on
    std::function<void(const RequestEndEvent &)> onEnd; ///< a request was responded to
};

/// Request path of an entry VM: filters, rate limit, choice of a server, dispatch, retries and
/// response.
class EntryRouter
{
public:
    EntryRouter(EventLoop &loop, EntryRouterOptions options, EntryRouterHandlers handlers,
                TeamTokens &tokens, Dispatcher &dispatcher, PeerMesh &mesh);

    /// Handles a caller's request; the response is sent asynchronously.
    auto handle(HttpExchange exchange) -> void;
    /// Returns the number of requests without a response.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_requests.size();
    }

private:
    using RequestNumber = std::uint64_t;

    // The backend server chosen for a request, and the VM that dispatches to it.
    struct Placement
    {
        BackendServerId server;
        VmId dispatcher;
    };

    // A request that has no response yet.
    struct ActiveRequest
    {
        HttpExchange exchange;
        RequestContext context;
        std::uint32_t attempts = 0;
        Verdict verdict = Verdict::NotRun; ///< over all attempts so far
        std::optional<Placement> placement; ///< of the attempt in progress
        TimePoint sentAt; ///< of the latest attempt
        std::unique_ptr<Timer> retryTimer;
        std::function<void()> cancel; ///< cancels the pending admission or dispatch
    };

    // Takes a token of the team, unless the route is open; then places the request.
    auto applyRateLimit(RequestNumber number) -> void;
    // Chooses a server and sends the request; schedules another try or refuses it on failure.
    auto place(RequestNumber number) -> void;
    [[nodiscard]] auto choosePlacement(const RequestContext &context)
        -> std::variant<Placement, Refusal>;
    [[nodiscard]] auto chooseOwner(const RequestContext &context) const
        -> std::variant<BackendServerId, Refusal>;
    [[nodiscard]] auto choosePoolServer(const RequestContext &context)
        -> std::variant<BackendServerId, Refusal>;
    auto send(RequestNumber number) -> void;
    auto sendToPeer(RequestNumber number, const DispatchRequest &request) -> void;
    auto onDispatchResult(RequestNumber number, DispatchResult result) -> void;
    auto onRefused(RequestNumber number, Refusal refusal) -> void;
    // Calls place() at the given time.
    auto schedulePlacement(RequestNumber number, TimePoint placeAt) -> void;
    auto respond(RequestNumber number, HttpResponse response, std::optional<RefusalReason> reason)
        -> void;
    auto refuse(RequestNumber number, Refusal refusal) -> void;
    // Cancels a request whose caller disconnected.
    auto abandon(RequestNumber number) -> void;
    // Reports the end of an attempt to the choice of pool servers.
    auto recordPoolEnd(const ActiveRequest &active, bool failed) -> void;
    [[nodiscard]] auto dispatchRequestOf(const ActiveRequest &active) const -> DispatchRequest;

    EventLoop &m_loop;
    EntryRouterOptions m_options;
    EntryRouterHandlers m_handlers;
    TeamTokens &m_tokens;
    Dispatcher &m_dispatcher;
    PeerMesh &m_mesh;
    RandomEngine m_random;
    std::map<ServiceId, RetryPolicy> m_retryPolicies;
    std::map<ServiceId, LatencyAwareBalancer> m_poolChoices;
    std::map<RequestNumber, ActiveRequest> m_requests;
    RequestNumber m_nextNumber = 1;
};

} // namespace figlanding
