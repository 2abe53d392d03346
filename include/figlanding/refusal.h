#pragma once

#include "figlanding/clock.h"
#include "figlanding/http_message.h"
#include "figlanding/verdict.h"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Reasons for which the router itself responds to a request, and the resulting HTTP response.

namespace figlanding {

/// Why a request was refused by the router instead of being answered by a backend server.
enum class RefusalReason {
    MalformedRequest,
    NoRoute,
    MissingTeamKey,
    InvalidTeamKey,
    ForbiddenByPolicy,
    RateLimited,
    Quarantined,
    DuplicateInFlight,
    NoEligibleServer,
    KeyIsMoving,
    ViewNotFresh,
    NotDispatcher,
    DispatcherUnreachable,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    ServerUnreachable,
    ServerDeclined,
    AnswerLost,
    ShuttingDown,
};

/// The refusal of a request.
struct Refusal
{
    RefusalReason reason = RefusalReason::MalformedRequest;
    std::string detail; ///< details for the caller, such as the name of the route
    Verdict verdict = Verdict::NotRun;
    std::optional<Duration> retryAfter; ///< sent as Retry-After

    auto operator==(const Refusal &) const -> bool = default;
};

/// Returns the wire name, such as "rate-limited".
[[nodiscard]] auto toText(RefusalReason reason) -> std::string_view;
/// Parses a wire name.
/// @return the reason, or nothing if the name is unknown
[[nodiscard]] auto parseRefusalReason(std::string_view text) -> std::optional<RefusalReason>;
/// Returns the HTTP status of a reason.
[[nodiscard]] auto statusOf(RefusalReason reason) -> int;
/// Returns whether the same request may succeed if it is routed again after a short delay.
[[nodiscard]] auto isTransient(RefusalReason reason) -> bool;
/// Creates the HTTP response to a refused request: application/problem+json with the verdict, the
/// reason and the request id, and a Retry-After header if Refusal::retryAfter is set.
[[nodiscard]] auto refusalResponse(const Refusal &refusal, std::string_view requestId)
    -> HttpResponse;

} // namespace figlanding
