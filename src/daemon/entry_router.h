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
/// Takes callers' requests through the filters and to a dispatching VM, and answers them.

namespace figlanding {

/// Settings of EntryRouter.
struct EntryRouterOptions
{
    VmId self;
    RetryOptions retry;
    std::uint64_t randomSeed = 0;
};

/// How one request ended, for metrics and logs.
struct RequestEndEvent
{
    std::string requestId;
    RouteId route;
    TeamId team;
    int status = 0;
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> refusal;
    Duration elapsed{};
    std::uint32_t attempts = 0;
};

/// Questions and events of EntryRouter.
struct EntryRouterHandlers
{
    std::function<const ClusterState &()> state;
    std::function<bool()> viewIsFresh;
    std::function<void(const RequestEndEvent &)> onEnd;
};

/// The request path at the entry VM.
class EntryRouter
{
public:
    EntryRouter(EventLoop &loop, EntryRouterOptions options, EntryRouterHandlers handlers,
                TeamTokens &tokens, Dispatcher &dispatcher, PeerMesh &mesh);

    /// Takes a caller's request; it is answered later.
    auto handle(HttpExchange exchange) -> void;
    /// Returns the number of requests that are not answered yet.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_requests.size();
    }

private:
    using RequestNumber = std::uint64_t;

    // Where a request is sent.
    struct Placement
    {
        BackendServerId server;
        VmId dispatcher;
    };

    // One request between its arrival and its answer.
    struct Running
    {
        HttpExchange exchange;
        RequestContext context;
        std::uint32_t attempts = 0;
        Verdict verdict = Verdict::NotRun;
        std::optional<Placement> placement;
        TimePoint sentAt;
        std::unique_ptr<Timer> retryTimer;
        std::function<void()> cancel; ///< ends what the request waits for
    };

    auto limit(RequestNumber number) -> void;
    auto place(RequestNumber number) -> void;
    [[nodiscard]] auto choosePlacement(const RequestContext &context)
        -> std::variant<Placement, Refusal>;
    [[nodiscard]] auto chooseOwner(const RequestContext &context) const
        -> std::variant<BackendServerId, Refusal>;
    [[nodiscard]] auto choosePoolServer(const RequestContext &context)
        -> std::variant<BackendServerId, Refusal>;
    auto send(RequestNumber number) -> void;
    auto sendToPeer(RequestNumber number, const DispatchRequest &request) -> void;
    auto onAnswer(RequestNumber number, DispatchAnswer answer) -> void;
    auto onRefused(RequestNumber number, Refusal refusal) -> void;
    auto placeAgainAt(RequestNumber number, TimePoint moment) -> void;
    auto respond(RequestNumber number, HttpResponse response, std::optional<RefusalReason> reason)
        -> void;
    auto refuse(RequestNumber number, Refusal refusal) -> void;
    auto abandon(RequestNumber number) -> void;
    auto notePoolEnd(const Running &running, bool failed) -> void;
    [[nodiscard]] auto dispatchRequestOf(const Running &running) const -> DispatchRequest;

    EventLoop &m_loop;
    EntryRouterOptions m_options;
    EntryRouterHandlers m_handlers;
    TeamTokens &m_tokens;
    Dispatcher &m_dispatcher;
    PeerMesh &m_mesh;
    RandomEngine m_random;
    std::map<ServiceId, RetryPolicy> m_retryPolicies;
    std::map<ServiceId, LatencyAwareBalancer> m_poolChoices;
    std::map<RequestNumber, Running> m_requests;
    RequestNumber m_nextNumber = 1;
};

} // namespace figlanding
