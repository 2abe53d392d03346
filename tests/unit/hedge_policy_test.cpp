#include "figlanding/hedge_policy.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto deadline = start + seconds(5);

// Returns a policy with samples of 10 ms, of which @p slow in 10 are 100 ms.
auto policyWith(int slow) -> HedgePolicy
{
    auto policy = HedgePolicy(HedgeOptions{});
    for (auto answer = 0; answer < 200; ++answer) {
        policy.onAnswer(milliseconds(answer % 10 < slow ? 100 : 10), start);
    }
    return policy;
}

} // namespace

TEST_CASE("quantiles of recent samples are accurate to the bucket width")
{
    auto window = LatencyWindow(seconds(1));
    CHECK_FALSE(window.quantile(0.5, 1));
    for (auto sample = 1; sample <= 100; ++sample) {
        window.add(milliseconds(sample), start);
    }
    CHECK_FALSE(window.quantile(0.5, 101));
    CHECK(window.quantile(0.5, 1).value() >= milliseconds(50));
    CHECK(window.quantile(0.5, 1).value() <= milliseconds(55));
    CHECK(window.quantile(0.99, 1).value() >= milliseconds(99));
    CHECK(window.quantile(0.99, 1).value() <= milliseconds(108));
    window.add(milliseconds(5), start + seconds(1));
    CHECK(window.quantile(1.0, 1).value() >= milliseconds(100));
    window.add(milliseconds(5), start + seconds(2));
    CHECK(window.quantile(1.0, 1).value() <= milliseconds(6));
}

TEST_CASE("the delay follows the quantile up to a multiple of the median")
{
    CHECK(policyWith(0).delay().value() <= milliseconds(11));
    CHECK(policyWith(2).delay().value() <= milliseconds(33));
    CHECK(policyWith(2).delay().value() >= milliseconds(30));
    CHECK_FALSE(HedgePolicy(HedgeOptions{}).delay());
}

TEST_CASE("only safe methods with time before the deadline are hedged, within the budget")
{
    auto policy = policyWith(0);
    CHECK(policy.onRequest("GET", deadline, start));
    CHECK_FALSE(policy.onRequest("POST", deadline, start));
    CHECK_FALSE(policy.onRequest("PUT", deadline, start));
    CHECK_FALSE(policy.onRequest("GET", start + milliseconds(5), start));
    auto taken = 0;
    for (auto request = 0; request < 1000; ++request) {
        REQUIRE(policy.onRequest("GET", deadline, start));
        taken += policy.take() ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 106);
}
