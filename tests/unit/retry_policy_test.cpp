#include "figlanding/retry_policy.h"

#include <doctest/doctest.h>

#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);

auto failedAttempt(Verdict verdict, int status, bool idempotent) -> FailedAttempt
{
    return FailedAttempt{.verdict = verdict,
                         .status = status,
                         .idempotent = idempotent,
                         .deadline = start + seconds(5)};
}

} // namespace

TEST_CASE("only requests that were not run or are idempotent are retried")
{
    struct Row
    {
        Verdict verdict;
        int status;
        bool idempotent;
        bool retry;
    };
    const auto rows = std::vector<Row>{
        {Verdict::NotRun, 0, false, true},        {Verdict::NotRun, 503, false, true},
        {Verdict::NotRun, 409, false, true},      {Verdict::NotRun, 400, false, false},
        {Verdict::MayHaveRun, 0, false, false},   {Verdict::MayHaveRun, 0, true, true},
        {Verdict::MayHaveRun, 503, false, false}, {Verdict::Ran, 503, false, false},
        {Verdict::Ran, 503, true, true},          {Verdict::Ran, 500, true, false},
        {Verdict::Ran, 409, true, false},         {Verdict::Ran, 404, true, false},
    };
    for (const auto &row : rows) {
        CAPTURE(toText(row.verdict));
        CAPTURE(row.status);
        CAPTURE(row.idempotent);
        CHECK(mayRetry(failedAttempt(row.verdict, row.status, row.idempotent)) == row.retry);
    }
}

TEST_CASE("backoff has full jitter and honours Retry-After")
{
    struct Row
    {
        std::uint32_t attempts;
        std::optional<Duration> retryAfter;
        milliseconds earliest;
        milliseconds latest;
    };
    const auto rows = std::vector<Row>{
        {1, std::nullopt, milliseconds(0), milliseconds(10)},
        {3, std::nullopt, milliseconds(0), milliseconds(40)},
        {60, std::nullopt, milliseconds(0), milliseconds(500)},
        {1, seconds(1), milliseconds(1000), milliseconds(1010)},
    };
    for (const auto &row : rows) {
        auto random = RandomEngine(7);
        auto policy = RetryPolicy({.maxAttempts = 100, .budgetCapacity = 1000.0});
        auto attempt = failedAttempt(Verdict::NotRun, 503, false);
        attempt.attempts = row.attempts;
        attempt.retryAfter = row.retryAfter;
        auto first = TimePoint::max();
        auto last = TimePoint::min();
        for (auto draw = 0; draw < 500; ++draw) {
            const auto moment = policy.nextAttempt(attempt, start, random).value();
            first = std::min(first, moment);
            last = std::max(last, moment);
        }
        const auto range = Duration(row.latest - row.earliest);
        CHECK(first >= start + row.earliest);
        CHECK(first <= start + row.earliest + range / 20);
        CHECK(last <= start + row.latest);
        CHECK(last >= start + row.latest - range / 20);
    }
}

TEST_CASE("no retry after the last attempt, past the deadline or for a long Retry-After")
{
    auto random = RandomEngine(7);
    auto policy = RetryPolicy(RetryOptions{});
    auto last = failedAttempt(Verdict::NotRun, 503, false);
    last.attempts = 3;
    CHECK_FALSE(policy.nextAttempt(last, start, random));
    auto late = failedAttempt(Verdict::NotRun, 503, false);
    late.deadline = start + milliseconds(4);
    CHECK_FALSE(policy.nextAttempt(late, start, random));
    auto patient = failedAttempt(Verdict::NotRun, 503, false);
    patient.retryAfter = seconds(3);
    CHECK_FALSE(policy.nextAttempt(patient, start, random));
    CHECK(policy.nextAttempt(failedAttempt(Verdict::NotRun, 503, false), start, random));
}

TEST_CASE("the budget limits attempts to 1.2 per request if every response is 503")
{
    auto random = RandomEngine(7);
    auto policy = RetryPolicy(RetryOptions{});
    auto attempts = 0;
    constexpr auto requests = 1000;
    for (auto request = 0; request < requests; ++request) {
        policy.onRequest();
        auto attempt = failedAttempt(Verdict::NotRun, 503, false);
        ++attempts;
        while (policy.nextAttempt(attempt, start, random)) {
            ++attempt.attempts;
            ++attempts;
        }
    }
    CHECK(attempts > requests);
    CHECK(attempts <= requests * 12 / 10);
}
