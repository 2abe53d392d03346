#include "gateway/request_refusals.h"

#include <algorithm>
#include <string>
#include <utility>

namespace figlanding {

namespace {

constexpr milliseconds retryAfterNotRun{100};
/// A move takes a call to the owner, which ends its running requests, and a record in the store.
constexpr milliseconds retryAfterMove{300};
/// Time in which a key gets another owner after its server was removed. The announcement of a
/// server expires some seconds after its last lease began, so that part of the lease is over by
/// then.
constexpr milliseconds timeToNewOwner{4000};

// Returns a refusal whose reason and Retry-After depend on whether the request did not run.
auto refusalBy(Verdict verdict, RefusalReason ifNotRun, RefusalReason otherwise, std::string detail)
    -> Refusal
{
    if (verdict == Verdict::NotRun) {
        return {.reason = ifNotRun,
                .detail = std::move(detail),
                .verdict = verdict,
                .retryAfter = retryAfterNotRun};
    }
    return {.reason = otherwise, .detail = std::move(detail), .verdict = verdict};
}

} // namespace

auto refusalWithoutSlot(Verdict verdict, Duration retryAfter) -> Refusal
{
    auto refusal =
        refusalBy(verdict, RefusalReason::QueueFull, RefusalReason::AnswerLost, "no slot in time");
    if (refusal.retryAfter) {
        refusal.retryAfter = retryAfter;
    }
    return refusal;
}

auto refusalWhileKeyMoves(Verdict verdict) -> Refusal
{
    auto refusal = refusalBy(verdict, RefusalReason::KeyIsMoving, RefusalReason::AnswerLost,
                             "the key moves to another owner");
    if (refusal.retryAfter) {
        refusal.retryAfter = retryAfterMove;
    }
    return refusal;
}

auto refusalWithoutOwner(Verdict verdict, Duration goneFor) -> Refusal
{
    auto refusal = refusalBy(verdict, RefusalReason::KeyIsMoving, RefusalReason::AnswerLost,
                             "the owner of the key is gone");
    if (refusal.retryAfter) {
        refusal.retryAfter = std::max<Duration>(timeToNewOwner - goneFor, retryAfterMove);
    }
    return refusal;
}

auto refusalAfterFailure(Verdict verdict) -> Refusal
{
    return refusalBy(verdict, RefusalReason::ServerDeclined, RefusalReason::AnswerLost, {});
}

auto refusalAtDeadline(Verdict verdict) -> Refusal
{
    const auto *detail =
        verdict == Verdict::NotRun ? "no slot until the deadline" : "no answer in time";
    return refusalBy(verdict, RefusalReason::QueueFull, RefusalReason::DeadlineExceeded, detail);
}

auto refusalAtShutdown(Verdict verdict) -> Refusal
{
    return refusalBy(verdict, RefusalReason::ShuttingDown, RefusalReason::AnswerLost,
                     "this VM shuts down");
}

} // namespace figlanding
