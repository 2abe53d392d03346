#include "gateway/request_refusals.h"

#include <doctest/doctest.h>

#include <vector>

using namespace figlanding;

TEST_CASE("a request that may have run is never refused with a promise that it has not")
{
    const auto refusalsBy = [](Verdict verdict) {
        return std::vector<Refusal>{refusalWithoutSlot(verdict, milliseconds(70)),
                                    refusalWhileKeyMoves(verdict),
                                    refusalWithoutOwner(verdict, seconds(1)),
                                    refusalAfterFailure(verdict),
                                    refusalAtDeadline(verdict),
                                    refusalAtShutdown(verdict)};
    };
    constexpr auto promise = 503;
    for (const auto verdict : {Verdict::MayHaveRun, Verdict::Ran}) {
        for (const auto &refusal : refusalsBy(verdict)) {
            CAPTURE(toText(refusal.reason));
            CHECK(statusOf(refusal.reason) != promise);
            CHECK_FALSE(refusal.retryAfter);
            CHECK(refusal.verdict == verdict);
        }
    }
    for (const auto &refusal : refusalsBy(Verdict::NotRun)) {
        CAPTURE(toText(refusal.reason));
        CHECK(statusOf(refusal.reason) == promise);
        CHECK(refusal.retryAfter);
        CHECK(refusal.verdict == Verdict::NotRun);
    }
    CHECK(refusalWithoutSlot(Verdict::NotRun, milliseconds(70)).retryAfter == milliseconds(70));
}

TEST_CASE("the longer an owner is gone, the sooner its callers are to come back")
{
    const auto early = refusalWithoutOwner(Verdict::NotRun, milliseconds(0)).retryAfter;
    const auto late = refusalWithoutOwner(Verdict::NotRun, seconds(3)).retryAfter;
    const auto overdue = refusalWithoutOwner(Verdict::NotRun, seconds(30)).retryAfter;
    REQUIRE((early && late && overdue));
    CHECK(*early > *late);
    CHECK(*late > *overdue);
    CHECK(*overdue > Duration::zero());
}
