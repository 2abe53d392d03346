#include "gateway/request_refusals.h"

#include <doctest/doctest.h>

#include <vector>

using namespace figlanding;

TEST_CASE("a request that may have run is never refused with a promise that it has not")
{
    const auto refusalsBy = [](Verdict verdict) {
        return std::vector<Refusal>{refusalWithoutSlot(verdict, milliseconds(70)),
                                    refusalAfterFailure(verdict), refusalAtDeadline(verdict),
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
