#include "daemon/server_exchange.h"

#include "figlanding/sharding.h"

#include <string>
#include <string_view>
#include <utility>

namespace figlanding {

namespace {

// Non-idempotent requests reuse only connections that were used within this time, which are taken
// to be still open.
constexpr milliseconds nonIdempotentMaxIdleAge{500};
constexpr int fenceConflictStatus = 409;
constexpr std::string_view requestIdHeader = "figlanding-request-id";

// Whether the server states that it did not run the request.
auto isNotRunOutcome(const HttpOutcome &outcome) -> bool
{
    const auto &response = outcome.response;
    return outcome.attributed && (response.status == 503 || response.status == fenceConflictStatus)
        && response.headers.find("figlanding-not-run") == "true";
}

auto answerLost(std::string detail) -> ServerAnswer
{
    return {.end = RequestEnd::Lost,
            .result = Refusal{.reason = RefusalReason::AnswerLost,
                              .detail = std::move(detail),
                              .verdict = Verdict::MayHaveRun}};
}

auto notRun(RequestEnd end, RefusalReason reason, std::string detail) -> ServerAnswer
{
    return {.end = end,
            .result =
                Refusal{.reason = reason, .detail = std::move(detail), .verdict = Verdict::NotRun}};
}

} // namespace

auto serverRequest(const DispatchRequest &request, const ClusterState &state, Duration remaining)
    -> HttpRequest
{
    auto message = request.http;
    auto &headers = message.headers;
    headers.set(requestIdHeader, request.requestId);
    headers.set("figlanding-deadline-ms",
                std::to_string(std::chrono::duration_cast<milliseconds>(remaining).count()));
    if (!request.team.empty()) {
        headers.set("figlanding-team", request.team.value());
    }
    if (!request.exclusive) {
        return message;
    }
    const auto &assignments = state.assignments.at(request.service);
    const auto *assignment = assignmentForKey(state, request.service, request.routingKey);
    const auto count = static_cast<std::uint32_t>(assignments.shards.size());
    const auto isolated = assignments.isolatedKeys.contains(request.routingKey);
    headers.set("figlanding-service", request.service.value());
    headers.set("figlanding-shard",
                isolated ? "key:" + request.routingKey
                         : std::to_string(shardOf(request.routingKey, count)));
    headers.set("figlanding-fence", std::to_string(assignment->fence));
    return message;
}

auto serverCallOptions(const DispatchRequest &request, milliseconds timeout) -> HttpCallOptions
{
    return {.timeout = timeout,
            .connectTimeout = timeout,
            .freshConnection = false,
            .maxIdleAge = request.idempotent ? milliseconds(10000) : nonIdempotentMaxIdleAge,
            .correlationHeader = std::pair(std::string(requestIdHeader), request.requestId)};
}

auto readServerOutcome(const DispatchRequest &request, HttpOutcome outcome) -> ServerAnswer
{
    if (outcome.verdict == Verdict::NotRun) {
        return notRun(RequestEnd::NotSent, RefusalReason::ServerUnreachable,
                      describe(outcome.error));
    }
    if (outcome.verdict == Verdict::MayHaveRun) {
        return answerLost(describe(outcome.error));
    }
    if (isNotRunOutcome(outcome)) {
        // The server reports a fence conflict until it receives its grant, which is sent only after
        // the move is committed.
        const auto fenced = outcome.response.status == fenceConflictStatus;
        return notRun(RequestEnd::Shed,
                      fenced ? RefusalReason::KeyIsMoving : RefusalReason::ServerDeclined,
                      "server \"" + request.server.value() + "\"");
    }
    if (outcome.response.headers.find(requestIdHeader) != request.requestId) {
        return answerLost("the server answered another request");
    }
    return {.end = RequestEnd::Answered, .result = std::move(outcome.response)};
}

} // namespace figlanding
