#include "figlanding/pool_choice.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto usual = milliseconds(10);

auto servers(int count) -> std::vector<BackendServerId>
{
    auto result = std::vector<BackendServerId>{};
    for (auto index = 0; index < count; ++index) {
        result.emplace_back(std::to_string(index));
    }
    return result;
}

// Sends requests sequentially. The first @p slow servers respond after @p slowTime, the others
// after the usual latency.
// @return number of requests per server
template <PoolBalancer Choice>
auto send(Choice &choice, std::size_t slow, Duration slowTime, int requests,
          const std::vector<BackendServerId> &pool, TimePoint from = start)
    -> std::map<BackendServerId, int>
{
    auto random = RandomEngine(3);
    auto counts = std::map<BackendServerId, int>{};
    auto now = from;
    for (auto request = 0; request < requests; ++request) {
        const auto index = choice.choose(pool, random, now);
        const auto latency = index < slow ? slowTime : Duration(usual);
        choice.onStart(pool[index], now);
        choice.onEnd(pool[index], {.startedAt = now}, now + latency);
        ++counts[pool[index]];
        now += latency;
    }
    return counts;
}

} // namespace

TEST_CASE("servers of equal latency receive equal shares, within the variance of random selection")
{
    const auto pool = servers(12);
    auto roundRobin = RoundRobinBalancer();
    auto leastRequests = LeastRequestsBalancer();
    auto latencyAware = LatencyAwareBalancer();
    for (const auto &[server, count] : send(roundRobin, 0, usual, 1200, pool)) {
        CHECK(count == 100);
    }
    for (const auto &[server, count] : send(leastRequests, 0, usual, 1200, pool)) {
        CHECK(count > 60);
    }
    for (const auto &[server, count] : send(latencyAware, 0, usual, 1200, pool)) {
        CHECK(count > 50);
        CHECK(count < 170);
    }
}

TEST_CASE("slow servers receive few requests until they recover")
{
    const auto pool = servers(12);
    auto choice = LatencyAwareBalancer();
    const auto first = send(choice, 2, 10 * usual, 1000, pool);
    CHECK(first.at(pool[0]) + first.at(pool[1]) <= 12);
    const auto after = send(choice, 0, usual, 3000, pool, start + seconds(20));
    CHECK(after.at(pool[0]) > 100);
}

TEST_CASE("a server that stops responding is avoided, even if it was the fastest")
{
    const auto pool = servers(4);
    auto choice = LatencyAwareBalancer();
    auto random = RandomEngine(3);
    send(choice, 1, usual / 10, 200, pool);
    const auto now = start + seconds(3);
    choice.onStart(pool[0], now);
    auto fresh = 0;
    for (auto draw = 0; draw < 200; ++draw) {
        fresh += choice.choose(pool, random, now) == 0 ? 1 : 0;
        CHECK(choice.choose(pool, random, now + milliseconds(100)) != 0);
    }
    CHECK(fresh > 0);
}

TEST_CASE("a server that fails fast does not attract requests")
{
    const auto pool = servers(4);
    auto choice = LatencyAwareBalancer();
    auto random = RandomEngine(3);
    send(choice, 0, usual, 200, pool);
    auto now = start + seconds(3);
    for (auto failure = 0; failure < 100; ++failure) {
        choice.onStart(pool[2], now);
        choice.onEnd(pool[2], {.startedAt = now, .failed = true}, now + microseconds(100));
        now += milliseconds(1);
    }
    for (auto draw = 0; draw < 200; ++draw) {
        CHECK(choice.choose(pool, random, now + milliseconds(1)) != 2);
    }
}

TEST_CASE("requests in flight on one server move new requests to an idle one")
{
    const auto pool = servers(2);
    auto random = RandomEngine(3);
    auto choice = LatencyAwareBalancer();
    // The first server is the faster one.
    send(choice, 1, usual / 2, 100, pool);
    const auto now = start + seconds(2);
    for (const auto inFlight : {0, 3}) {
        for (auto request = 0; request < inFlight; ++request) {
            choice.onStart(pool[0], now);
        }
        for (auto draw = 0; draw < 100; ++draw) {
            CHECK(choice.choose(pool, random, now) == (inFlight == 0 ? 0 : 1));
        }
    }
}

TEST_CASE("a single candidate, or one of several outliers, is still selected")
{
    auto random = RandomEngine(3);
    auto choice = LatencyAwareBalancer();
    const auto one = servers(1);
    CHECK(choice.choose(one, random, start) == 0);
    send(choice, 1, 100 * usual, 5, one);
    CHECK(choice.choose(one, random, start) == 0);
    const auto two = servers(2);
    choice.onStart(two[0], start);
    choice.onStart(two[1], start);
    CHECK(choice.choose(two, random, start + seconds(9)) < 2);
}
