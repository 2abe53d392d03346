#include "figlanding/hot_keys.h"
#include "figlanding/sharding.h"
#include "state_machine_fixture.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto rooms = ServiceId("rooms");
const auto s1 = BackendServerId("s1");
const auto s2 = BackendServerId("s2");
const auto s3 = BackendServerId("s3");
constexpr auto start = TimePoint{} + seconds(100);

// Returns a log in whose state s1 owns all shards, in term 1.
auto logOwnedByS1() -> InMemoryLog
{
    auto log = smallClusterLog();
    auto moves = std::vector<Move>{};
    for (ShardIndex shard = 0; shard < 8; ++shard) {
        moves.push_back({.shard = shard, .to = s1});
    }
    log.append(beginRoomsMoves(std::move(moves)));
    log.append(commitRoomsMoves(log.state().offset));
    return log;
}

auto roomsOf(const InMemoryLog &log) -> const Service &
{
    return log.state().services.at(rooms).object;
}

auto isolate(const char *key, bool isolated) -> KeyIsolation
{
    return {.service = rooms, .key = key, .isolate = isolated};
}

struct IsolationCase
{
    const char *name;
    double rate; ///< requests per second of key "k", at a mean load of 100 per server
    int secondsHot;
    bool isolates;
};

const IsolationCase isolationCases[] = {
    {"hot for long enough", 30, 10, true},
    {"just hot enough", 20, 10, true},
    {"hot too briefly", 30, 9, false},
    {"not hot", 19, 60, false},
};

auto evenLoad(double keyRate) -> ServiceLoad
{
    return {.servers = {{s1, 100}, {s2, 100}, {s3, 100}}, .keys = {{"k", keyRate}}};
}

} // namespace

TEST_CASE("frequent keys are counted in bounded memory")
{
    auto hitters = HeavyHitters(20);
    for (int i = 0; i < 10000; ++i) {
        hitters.add("rare-" + std::to_string(i));
        if (i % 10 == 0) {
            hitters.add("often");
        }
        if (i % 5 == 0) {
            hitters.add("most");
        }
    }
    const auto top = hitters.top(2);
    REQUIRE(top.size() == 2);
    CHECK(top[0].key == "most");
    CHECK(top[1].key == "often");
    CHECK(top[0].count >= 2000);
    CHECK(top[0].count - top[0].error <= 2000);
    CHECK(hitters.total() == 13000);
    CHECK(hitters.top(100).size() == 20);
    hitters.halve();
    CHECK(hitters.top(1)[0].count == top[0].count / 2);
}

TEST_CASE("a key is isolated after it has stayed hot for the isolation delay")
{
    for (const auto &row : isolationCases) {
        CAPTURE(row.name);
        const auto log = logOwnedByS1();
        auto policy = HotKeyPolicy{};
        const auto first = policy.decide(log.state(), roomsOf(log), evenLoad(row.rate), start);
        CHECK(first == HotKeyDecisions{});
        const auto second = policy.decide(log.state(), roomsOf(log), evenLoad(row.rate),
                                          start + seconds(row.secondsHot));
        CHECK(second.isolations.empty() != row.isolates);
    }
}

TEST_CASE("the isolation delay restarts when a key is not hot for a while")
{
    const auto log = logOwnedByS1();
    auto policy = HotKeyPolicy{};
    for (const auto &[second, rate] : {std::pair{0, 30.0}, {8, 5.0}, {9, 30.0}, {18, 30.0}}) {
        const auto decisions =
            policy.decide(log.state(), roomsOf(log), evenLoad(rate), start + seconds(second));
        CHECK(decisions == HotKeyDecisions{});
    }
}

TEST_CASE("an isolated key moves from an overloaded to the least loaded server, and back")
{
    auto log = logOwnedByS1();
    log.append(KeyIsolation{.term = 1, .service = rooms, .key = "k", .isolate = true});
    auto policy = HotKeyPolicy{};
    const auto uneven =
        ServiceLoad{.servers = {{s1, 180}, {s2, 80}, {s3, 40}}, .keys = {{"k", 60}}};
    const auto hot = policy.decide(log.state(), roomsOf(log), uneven, start);
    CHECK(hot.moves == std::vector{Move{.key = "k", .to = s3}});
    CHECK(policy.decide(log.state(), roomsOf(log), uneven, start + seconds(1)).moves.empty());
    log.append(beginRoomsMoves(hot.moves));
    log.append(commitRoomsMoves(log.state().offset));

    const auto cold = evenLoad(1);
    CHECK(policy.decide(log.state(), roomsOf(log), cold, start + seconds(60)) == HotKeyDecisions{});
    const auto back = policy.decide(log.state(), roomsOf(log), cold, start + seconds(200));
    CHECK(back.moves == std::vector{Move{.key = "k", .to = s1}});
    log.append(beginRoomsMoves(back.moves));
    log.append(commitRoomsMoves(log.state().offset));
    const auto returned = policy.decide(log.state(), roomsOf(log), cold, start + seconds(210));
    CHECK(returned.isolations == std::vector{isolate("k", false)});
}

TEST_CASE("a move that would overload the target instead is not made")
{
    auto log = logOwnedByS1();
    log.append(KeyIsolation{.term = 1, .service = rooms, .key = "k", .isolate = true});
    auto policy = HotKeyPolicy{};
    const auto load = ServiceLoad{.servers = {{s1, 180}, {s2, 60}, {s3, 60}}, .keys = {{"k", 150}}};
    CHECK(policy.decide(log.state(), roomsOf(log), load, start) == HotKeyDecisions{});
}

TEST_CASE("a declared key stays isolated, on a server that its declaration allows")
{
    auto log = logOwnedByS1();
    const auto goldTier = Selector::parse("tier=gold");
    REQUIRE(goldTier);
    log.set({RoutingKey{.service = rooms, .key = "k", .servers = goldTier.value()}});
    REQUIRE(log.state().assignments.at(rooms).isolatedKeys.contains("k"));
    auto policy = HotKeyPolicy{};
    const auto uneven =
        ServiceLoad{.servers = {{s1, 180}, {s2, 80}, {s3, 40}}, .keys = {{"k", 60}}};
    CHECK(policy.decide(log.state(), roomsOf(log), uneven, start).moves.empty());
    CHECK(policy.decide(log.state(), roomsOf(log), evenLoad(0), start) == HotKeyDecisions{});
    CHECK(policy.decide(log.state(), roomsOf(log), evenLoad(0), start + seconds(500))
          == HotKeyDecisions{});
}
