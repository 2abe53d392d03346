#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_terms.h"
#include "figlanding/gateway/slot_types.h"
#include "figlanding/http_message.h"
#include "figlanding/refusal.h"

#include <concepts>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Interface between the request path and the protocols of callers and backend servers.

namespace figlanding {

/// The fields of a caller's request that the router evaluates.
struct CallerRequest
{
    std::string id; ///< request id, distinct for each attempt of a caller
    std::string host;
    std::string apiKey; ///< empty if the request has none
    std::optional<milliseconds> deadline; ///< time that the caller is willing to wait
    std::optional<ShardKey> key; ///< for keyed services

    auto operator==(const CallerRequest &) const -> bool = default;
};

/// The fields that the router adds to a request for a server.
struct ServerCall
{
    BackendServerId server; ///< intended server; another one at the address refuses the request
    milliseconds timeLeft{}; ///< until the request's deadline
    TeamId team; ///< empty on open routes

    auto operator==(const ServerCall &) const -> bool = default;
};

/// Meaning of a server's complete response.
enum class ResponseKind {
    Success, ///< forwarded to the caller
    Failure, ///< the request ran and failed; forwarded to the caller
    NotRun, ///< the server reports that it did not run the request
    WrongServer, ///< not run: a different server responded, or one that does not own the key
    Foreign, ///< response to a different request, or not from the server
    /// A rejection that may belong to no request. ResponseTrust sets it, see ConnectionTrust.
    Unproven,
};

/// The parts of a server's response that the router evaluates.
struct ServerResponse
{
    ResponseKind kind = ResponseKind::Foreign;
    std::optional<LoadReport> load;
    std::optional<ServerTerms> terms; ///< empty if another server may have responded
    bool identified = false; ///< the response carries the id of the request

    auto operator==(const ServerResponse &) const -> bool = default;
};

/// Converts between HTTP messages and the types of the request path.
template <typename Type>
concept CallerProtocol = requires(const HttpRequest &request, const HttpResponse &response,
                                  const ServerCall &call, const Refusal &refusal,
                                  const std::string &id)
{
    {
        Type::readRequest(request)
        } -> std::same_as<CallerRequest>;
    {
        Type::serverRequest(request, call)
        } -> std::same_as<HttpRequest>;
    {
        Type::readResponse(response, id)
        } -> std::same_as<ServerResponse>;
    {
        Type::callerResponse(response)
        } -> std::same_as<HttpResponse>;
    {
        Type::refusal(refusal, id)
        } -> std::same_as<HttpResponse>;
    /// Whether the status of a response promises callers that the request has not run.
    {
        Type::promisesNotRun(response)
        } -> std::same_as<bool>;
    /// Name and value of the header that identifies the request in the server's response.
    {
        Type::idHeader(id)
        } -> std::same_as<std::pair<std::string, std::string>>;
};

} // namespace figlanding
