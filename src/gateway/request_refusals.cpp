#include "gateway/request_refusals.h"

#include <string>
#include <utility>

namespace figlanding {

namespace {

constexpr milliseconds retryAfterNotRun{100};

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
