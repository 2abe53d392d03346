#include "daemon/duplicate_guard.h"

#include <utility>

namespace figlanding {

namespace {

auto needsGuard(const DispatchRequest &request) -> bool
{
    return !request.idempotent && !request.idempotencyKey.empty();
}

auto scopeOf(const DispatchRequest &request) -> IdempotencyScope
{
    return {.team = request.team, .service = request.service, .key = request.idempotencyKey};
}

auto storedResponse(const StoredAnswer &stored) -> HttpResponse
{
    HttpResponse response{.status = stored.status, .body = stored.body};
    for (const auto &[name, value] : stored.headers) {
        response.headers.add(name, value);
    }
    return response;
}

} // namespace

DuplicateGuard::DuplicateGuard(TimePoint now)
    : m_store({}, now)
{ }

auto DuplicateGuard::begin(const DispatchRequest &request, TimePoint now)
    -> std::optional<DispatchResult>
{
    if (!needsGuard(request)) {
        return std::nullopt;
    }
    const auto decision = m_store.begin(scopeOf(request), request.digest, now);
    const auto key = "Idempotency-Key \"" + request.idempotencyKey + "\" ";
    switch (decision.outcome) {
    case IdempotencyOutcome::Run:
        return std::nullopt;
    case IdempotencyOutcome::Replay:
        return storedResponse(*decision.answer);
    case IdempotencyOutcome::InFlight:
        return Refusal{.reason = RefusalReason::DuplicateInFlight,
                       .detail = key + "is in flight",
                       .verdict = Verdict::MayHaveRun};
    case IdempotencyOutcome::AnswerLost:
        return Refusal{.reason = RefusalReason::AnswerLost,
                       .detail = key + "was answered before",
                       .verdict = Verdict::Ran};
    case IdempotencyOutcome::OutcomeUnknown:
        return Refusal{.reason = RefusalReason::AnswerLost,
                       .detail = key + "may have run before",
                       .verdict = Verdict::MayHaveRun};
    case IdempotencyOutcome::KeyReused:
        return Refusal{.reason = RefusalReason::MalformedRequest,
                       .detail = key + "belongs to another request"};
    case IdempotencyOutcome::StoreFull:
        break;
    }
    return Refusal{.reason = RefusalReason::QueueFull,
                   .detail = "too many requests with an Idempotency-Key"};
}

auto DuplicateGuard::finish(const DispatchRequest &request, const DispatchResult &result,
                            TimePoint now) -> void
{
    if (!needsGuard(request)) {
        return;
    }
    StoredAnswer stored;
    auto verdict = Verdict::Ran;
    if (const auto *refused = std::get_if<Refusal>(&result)) {
        verdict = refused->verdict;
    } else {
        const auto &response = std::get<HttpResponse>(result);
        stored = {
            .status = response.status, .headers = response.headers.fields(), .body = response.body};
    }
    m_store.finish(scopeOf(request), verdict, std::move(stored), now);
}

} // namespace figlanding
