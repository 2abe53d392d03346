#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/gateway/desired_state.h"
#include "gateway/request_record.h"
#include "io/http_client.h"
#include "io/http_server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// @file
/// A caller's request from its receipt to its response.

namespace figlanding {

/// What an active request waits for.
enum class RequestStage {
    Idle, ///< waits until ActiveRequest::dispatchAt
    AwaitingSlot, ///< waits for the decision on a slot
    AwaitingResponse, ///< waits for the response of the server
};

/// A request that is not completed.
struct ActiveRequest
{
    std::unique_ptr<HttpExchange> exchange; ///< null once the caller has disconnected
    std::shared_ptr<const std::string> body; ///< of the caller's request; shared by the attempts
    CallerRequest caller;
    std::shared_ptr<const DesiredStateIndex> state; ///< owns the object that route points to
    const DesiredRoute *route = nullptr;
    RequestRecord record;
    TeamId team;
    bool usesTeamRate = false; ///< holds a token of its team, which is refunded if it does not run
    std::uint32_t priority = 0;
    ServiceId service;
    RequestStage stage = RequestStage::Idle;
    TimePoint receivedAt;
    TimePoint objectiveAt; ///< the caller's latency objective, counted from its first attempt
    TimePoint deadline;
    TimePoint dispatchAt;
    TimePoint sentAt;
    /// Number of sends to servers, without those that the HTTP client reports as not run.
    std::uint32_t attempts = 0;
    Verdict verdict = Verdict::NotRun;
    std::vector<BackendServerId> excluded; ///< servers that get no further attempt
    std::vector<BackendServerId> failedOn; ///< servers on which an earlier attempt failed
    ServerIncarnation server; ///< of the last send
    HttpClient::CallId call = 0; ///< 0 if none is in flight
};

/// Returns whether the servers of the request's service own keys.
[[nodiscard]] inline auto hasKeyedService(const ActiveRequest &active) -> bool
{
    const auto *service = active.state->findService(active.service);
    return service != nullptr && service->keyed;
}

/// Returns the time until the request's deadline.
[[nodiscard]] inline auto timeLeftOf(const ActiveRequest &active, TimePoint now) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(active.deadline - now);
}

} // namespace figlanding
