#include "figlanding/refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

struct ReasonRow
{
    RefusalReason reason;
    std::string_view name;
    int status;
    bool transient;
};

constexpr auto reasonRows = std::to_array<ReasonRow>({
    {RefusalReason::MalformedRequest, "malformed-request", 400, false},
    {RefusalReason::NoRoute, "no-route", 404, false},
    {RefusalReason::MissingTeamKey, "missing-team-key", 401, false},
    {RefusalReason::InvalidTeamKey, "invalid-team-key", 401, false},
    {RefusalReason::ForbiddenByPolicy, "forbidden-by-policy", 403, false},
    {RefusalReason::RateLimited, "rate-limited", 429, false},
    {RefusalReason::Quarantined, "quarantined", 422, false},
    {RefusalReason::DuplicateInFlight, "duplicate-in-flight", 409, false},
    {RefusalReason::NoEligibleServer, "no-eligible-server", 503, true},
    {RefusalReason::KeyIsMoving, "key-is-moving", 503, true},
    {RefusalReason::ViewNotFresh, "view-not-fresh", 503, true},
    {RefusalReason::NotDispatcher, "not-dispatcher", 503, true},
    {RefusalReason::DispatcherUnreachable, "dispatcher-unreachable", 503, true},
    {RefusalReason::QueueFull, "queue-full", 503, false},
    {RefusalReason::DeadlineTooShort, "deadline-too-short", 503, false},
    {RefusalReason::DeadlineExceeded, "deadline-exceeded", 504, false},
    {RefusalReason::ServerUnreachable, "server-unreachable", 503, true},
    {RefusalReason::ServerDeclined, "server-declined", 503, true},
    {RefusalReason::AnswerLost, "answer-lost", 502, false},
    {RefusalReason::ShuttingDown, "shutting-down", 503, true},
});

auto rowOf(RefusalReason reason) -> const ReasonRow &
{
    const auto found =
        std::find_if(reasonRows.begin(), reasonRows.end(),
                     [reason](const ReasonRow &row) { return row.reason == reason; });
    return found == reasonRows.end() ? reasonRows.front() : *found;
}

} // namespace

auto toText(RefusalReason reason) -> std::string_view
{
    return rowOf(reason).name;
}

auto parseRefusalReason(std::string_view text) -> std::optional<RefusalReason>
{
    const auto found = std::find_if(reasonRows.begin(), reasonRows.end(),
                                    [text](const ReasonRow &row) { return row.name == text; });
    return found == reasonRows.end() ? std::nullopt : std::optional(found->reason);
}

auto statusOf(RefusalReason reason) -> int
{
    return rowOf(reason).status;
}

auto isTransient(RefusalReason reason) -> bool
{
    return rowOf(reason).transient;
}

auto refusalResponse(const Refusal &refusal, std::string_view requestId) -> HttpResponse
{
    const auto body = nlohmann::json{{"type", "about:blank"},
                                     {"title", toText(refusal.reason)},
                                     {"status", statusOf(refusal.reason)},
                                     {"detail", refusal.detail},
                                     {"verdict", toText(refusal.verdict)},
                                     {"request_id", requestId}};
    HttpResponse response{.status = statusOf(refusal.reason),
                          .headers = {{"content-type", "application/problem+json"},
                                      {"figlanding-verdict", std::string(toText(refusal.verdict))},
                                      {"figlanding-refusal", std::string(toText(refusal.reason))},
                                      {"figlanding-request-id", std::string(requestId)}},
                          .body =
                              body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
    if (refusal.retryAfter) {
        // Retry-After is in whole seconds. Rounding down would let the caller retry too early.
        const auto wait = std::chrono::ceil<seconds>(*refusal.retryAfter);
        response.headers.set("retry-after", std::to_string(std::max<long>(1, wait.count())));
    }
    return response;
}

} // namespace figlanding
