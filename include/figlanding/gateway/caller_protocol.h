#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/slot_broker.h"
#include "figlanding/http_message.h"
#include "figlanding/refusal.h"

#include <concepts>
#include <optional>
#include <string>
#include <utility>

/// @file
/// What the request path needs of the protocols that callers and backend servers speak.

namespace figlanding {

/// What a request says to the router.
struct CallerRequest
{
    std::string id; ///< of this attempt; every attempt of a caller has its own
    std::string host;
    std::string apiKey; ///< empty if there is none
    std::optional<milliseconds> deadline; ///< time that the caller will wait
    std::optional<ShardKey> key; ///< for keyed services

    auto operator==(const CallerRequest &) const -> bool = default;
};

/// What the router says to a server about a request.
struct ServerCall
{
    BackendServerId server; ///< any other server at the address refuses the request
    milliseconds timeLeft{};
    TeamId team; ///< empty on open routes

    auto operator==(const ServerCall &) const -> bool = default;
};

/// What a server's whole answer means.
enum class AnswerKind {
    Success, ///< to be passed on
    Failure, ///< the server's own failure, to be passed on; the request ran
    NotRun, ///< the server says that it did not run the request
    WrongServer, ///< not run: another server, or one that does not hold the key
    Foreign, ///< belongs to another request, or is not the server's
};

/// A server's answer, as far as the router acts on it.
struct ServerAnswer
{
    AnswerKind kind = AnswerKind::Foreign;
    std::optional<LoadReport> load;

    auto operator==(const ServerAnswer &) const -> bool = default;
};

/// Translates between the wire and the request path.
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
        Type::readAnswer(response, id)
        } -> std::same_as<ServerAnswer>;
    {
        Type::callerResponse(response)
        } -> std::same_as<HttpResponse>;
    {
        Type::refusal(refusal, id)
        } -> std::same_as<HttpResponse>;
    /// The header that names the request in the server's answer, and its value.
    {
        Type::idHeader(id)
        } -> std::same_as<std::pair<std::string, std::string>>;
};

} // namespace figlanding
