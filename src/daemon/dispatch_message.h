#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/http_message.h"
#include "figlanding/names.h"
#include "figlanding/refusal.h"

#include <string>
#include <string_view>
#include <variant>

/// @file
/// Encoding of requests from an entry VM to a dispatching VM, and of the responses.

namespace figlanding {

/// A request for which the entry VM has chosen a backend server.
struct DispatchRequest
{
    std::string requestId; ///< unique per caller's request; the same in each attempt
    BackendServerId server;
    ServiceId service;
    bool exclusive = false; ///< the server must own the routing key
    std::string routingKey; ///< empty for pool services
    TeamId team; ///< empty on open routes
    Duration remaining{}; ///< time until the caller's deadline
    bool idempotent = false; ///< may be retried after an unknown outcome
    std::string idempotencyKey; ///< the caller's Idempotency-Key; empty if there is none
    std::string digest; ///< of method, path and body
    HttpRequest http; ///< as sent to the server, without the team key

    auto operator==(const DispatchRequest &) const -> bool = default;
};

/// The server's response, or the reason why there is none.
using DispatchResult = std::variant<HttpResponse, Refusal>;

/// Request path of dispatched requests on peer connections.
inline constexpr std::string_view dispatchPath = "/peer/dispatch";

/// Returns whether a header name is reserved for figlanding. Such headers are removed from callers'
/// requests.
/// @param lowerCaseName header name in lower case
[[nodiscard]] auto isReservedHeader(std::string_view lowerCaseName) -> bool;

/// Encodes a request for a peer connection.
[[nodiscard]] auto encodeDispatchRequest(const DispatchRequest &request) -> HttpRequest;
/// Decodes a request. Never throws, whatever the input.
/// @return ProtocolViolation if the call header or a required field is missing or invalid
[[nodiscard]] auto decodeDispatchRequest(const HttpRequest &message) -> Result<DispatchRequest>;
/// Encodes a result for a peer connection.
[[nodiscard]] auto encodeDispatchResult(const DispatchResult &result, std::string_view requestId)
    -> HttpResponse;
/// Decodes a result. A refusal whose fields cannot be parsed has the reason AnswerLost or the
/// verdict MayHaveRun in their place.
[[nodiscard]] auto decodeDispatchResult(HttpResponse message) -> DispatchResult;

} // namespace figlanding
