#include "figlanding/gateway/key_ownership.h"
#include "figlanding/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace figlanding;

namespace {

auto incarnation(int number) -> ServerIncarnation
{
    return {.server = BackendServerId(std::string("s").append(std::to_string(number))),
            .startedUnixMs = 1};
}

auto servers(int count) -> std::vector<OwnerCandidate>
{
    auto result = std::vector<OwnerCandidate>{};
    for (auto i = 0; i < count; ++i) {
        result.push_back({.incarnation = incarnation(i), .capacity = 2.0});
    }
    return result;
}

auto withMoves(OwnershipTable table, const std::vector<PlannedMove> &moves) -> OwnershipTable
{
    for (const auto &move : moves) {
        table = withMove(std::move(table), move);
    }
    return table;
}

auto loadOf(const OwnershipTable &table, const ServerIncarnation &owner,
            const std::vector<float> &loads) -> double
{
    auto sum = 0.0;
    for (const auto &range : table.ranges) {
        for (auto key = range.keys.from; range.owner == owner && key <= range.keys.to; ++key) {
            sum += loads[key];
        }
    }
    return sum;
}

auto evenTable(int count) -> OwnershipTable
{
    return withMoves(unownedTable(), planUnowned(unownedTable(), servers(count), {}, {}));
}

auto rebalanced(OwnershipTable table, const std::vector<OwnerCandidate> &candidates,
                const std::vector<float> &loads, int rounds) -> OwnershipTable
{
    for (auto i = 0; i < rounds; ++i) {
        const auto moves = planRebalance(table, candidates, loads, {});
        table = withMoves(std::move(table), moves);
    }
    return table;
}

} // namespace

TEST_CASE("first owners get equal parts of all keys")
{
    const auto table = evenTable(13);
    CHECK(isComplete(table));
    for (auto i = 0; i < 13; ++i) {
        const auto share = loadOf(table, incarnation(i), std::vector<float>(shardKeyCount, 1.0F));
        CHECK(share == doctest::Approx(shardKeyCount / 13.0).epsilon(0.02));
    }
}

TEST_CASE("splitting keeps all keys and owners")
{
    const auto table = splitAround(evenTable(3), {100, 200});
    CHECK(isComplete(table));
    REQUIRE(findRange(table, 150) != nullptr);
    CHECK(findRange(table, 150)->keys == KeyRange{100, 200});
    CHECK(findRange(table, 99)->keys.to == 99);
    CHECK(findRange(table, 65'535)->keys.to == 65'535);
}

TEST_CASE("adjacent hot keys are spread over servers, and few keys move")
{
    auto loads = std::vector<float>(shardKeyCount, 0.002F);
    for (auto key = 30'000; key < 30'200; ++key) {
        // A total of 120 on 200 keys, and of 130 on all others.
        loads[static_cast<std::size_t>(key)] = 0.6F;
    }
    const auto candidates = servers(13);
    const auto before = evenTable(13);
    const auto after = rebalanced(before, candidates, loads, 4);
    auto most = 0.0;
    for (auto i = 0; i < 13; ++i) {
        most = std::max(most, loadOf(after, incarnation(i), loads));
    }
    const auto fair = 250.0 / 13.0;
    CHECK(most < fair * 1.45);
    auto moved = 0U;
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        moved += findRange(before, key)->owner == findRange(after, key)->owner ? 0 : 1;
    }
    CHECK(moved < shardKeyCount / 20);
}

TEST_CASE("a key too hot for any other server keeps its server, which loses its other keys")
{
    auto loads = std::vector<float>(shardKeyCount, 0.002F);
    loads[100] = 100.0F;
    const auto candidates = servers(4);
    const auto after = rebalanced(evenTable(4), candidates, loads, 6);
    const auto owner = findRange(after, 100)->owner;
    CHECK(loadOf(after, owner, loads) < 110.0);
    // The load of the other servers stays balanced.
    for (auto i = 0; i < 4; ++i) {
        if (incarnation(i) != owner) {
            CHECK(loadOf(after, incarnation(i), loads) < 131.0 / 3.0 * 1.45);
        }
    }
}

TEST_CASE("a key too hot for any server does not move to one that appears to be faster")
{
    auto loads = std::vector<float>(shardKeyCount, 0.002F);
    loads[100] = 300.0F;
    auto candidates = servers(4);
    const auto before = evenTable(4);
    for (auto &candidate : candidates) {
        candidate.capacity = candidate.incarnation == findRange(before, 100)->owner ? 1.5 : 5.0;
    }
    const auto after = rebalanced(before, candidates, loads, 3);
    CHECK(findRange(after, 100)->owner == findRange(before, 100)->owner);
    CHECK(loadOf(after, findRange(after, 100)->owner, loads) < 310.0);
}

TEST_CASE("one server that cannot be relieved does not keep other servers from being relieved")
{
    auto loads = std::vector<float>(shardKeyCount, 0.002F);
    loads[100] = 200.0F;
    for (auto key = 60'000; key < 60'050; ++key) {
        loads[static_cast<std::size_t>(key)] = 2.0F;
    }
    const auto after = rebalanced(evenTable(8), servers(8), loads, 6);
    const auto hotOwner = findRange(after, 100)->owner;
    for (auto i = 0; i < 8; ++i) {
        if (incarnation(i) != hotOwner) {
            CHECK(loadOf(after, incarnation(i), loads) < 50.0);
        }
    }
}

TEST_CASE("a server that joins gets keys even if no other server is overloaded")
{
    const auto loads = std::vector<float>(shardKeyCount, 0.0001F);
    const auto after = rebalanced(evenTable(4), servers(5), loads, 3);
    CHECK(loadOf(after, incarnation(4), loads) > 0.3 * 6.5 / 5);
}

TEST_CASE("a busy server is relieved of whole ranges if the table must not get longer")
{
    auto table = evenTable(20);
    for (ShardKey key = 0; key < 60'000; key += 500) {
        table = withMoves(std::move(table), {{.keys = {key, key + 20}, .to = incarnation(7)}});
    }
    auto loads = std::vector<float>(shardKeyCount, 0.001F);
    for (ShardKey key = 0; key < 60'000; key += 500) {
        loads[key] = 2.0F;
    }
    const auto moves = planRebalance(table, servers(20), loads, {}, RangeSplits::Forbidden);
    CHECK(moves.size() == maxMoves(20, {}));
    CHECK(withMoves(table, moves).ranges.size() == table.ranges.size());
}

TEST_CASE("servers with little load keep their keys")
{
    auto loads = std::vector<float>(shardKeyCount, 0.00001F);
    loads[5] = 3.0F;
    CHECK(planRebalance(evenTable(4), servers(4), loads, {}).empty());
}

TEST_CASE("a server with few requests for its keys gets no others while no server is busy")
{
    const auto table = evenTable(40);
    auto loads = std::vector<float>(shardKeyCount, 0.0025F); // 4 per server
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        if (findRange(table, key)->owner == incarnation(7)) {
            loads[key] = 0.0F;
        }
    }
    CHECK(planRebalance(table, servers(40), loads, {}).empty());
}

TEST_CASE("ranges with many keys are not merged for having little load")
{
    auto table = evenTable(20);
    auto loads = std::vector<float>(shardKeyCount, 0.0F);
    for (ShardKey key = 500; key < 60'000; key += 600) {
        table = withMoves(std::move(table), {{.keys = {key, key + 20}, .to = incarnation(7)}});
        loads[key] = 1.0F;
    }
    REQUIRE(table.ranges.size() > 100);
    auto moved = 0U;
    for (const auto &move : planMerges(table, servers(20), loads, {}, 1'000)) {
        moved += move.keys.size();
    }
    CHECK(moved < shardKeyCount / 20);
}

TEST_CASE("small ranges are merged into adjacent ones until a table has few ranges for its servers")
{
    auto table = evenTable(20);
    for (ShardKey key = 500; key < 60'000; key += 600) {
        table = withMoves(std::move(table), {{.keys = {key, key + 20}, .to = incarnation(7)}});
    }
    REQUIRE(table.ranges.size() > 100);
    const auto loads = std::vector<float>(shardKeyCount, 0.005F);
    auto busiest = 0.0;
    for (auto round = 0; round < 40; ++round) {
        const auto merges = planMerges(table, servers(20), loads, {}, 8);
        table = withMoves(std::move(table), merges);
        auto merged = OwnershipTable{};
        for (const auto &range : table.ranges) {
            if (!merged.ranges.empty() && merged.ranges.back().owner == range.owner) {
                merged.ranges.back().keys.to = range.keys.to;
            } else {
                merged.ranges.push_back(range);
            }
        }
        table = std::move(merged);
    }
    CHECK(isComplete(table));
    CHECK(table.ranges.size() <= 30);
    for (auto i = 0; i < 20; ++i) {
        busiest = std::max(busiest, loadOf(table, incarnation(i), loads));
    }
    CHECK(busiest < 1.4 * 0.005 * shardKeyCount / 20);
    CHECK(planMerges(table, servers(20), loads, {}, 8).empty());
}

TEST_CASE("random fluctuations of an even load move few keys")
{
    constexpr auto count = 159;
    const auto table = evenTable(count);
    auto moves = std::size_t{0};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto random = RandomEngine(seed);
        auto key = std::uniform_int_distribution<ShardKey>(0, shardKeyCount - 1);
        auto loads = std::vector<float>(shardKeyCount, 0.0F);
        for (auto i = 0; i < count * 35; ++i) {
            loads[key(random)] += 0.5F; // mean 17.5 per server, with half the variance of a count
        }
        moves += planRebalance(table, servers(count), loads, {}).size();
    }
    CHECK(moves < 20);
}

TEST_CASE("cold servers get keys only if there is no warm one")
{
    auto candidates = servers(2);
    candidates[0].cold = true;
    for (const auto &move : planUnowned(unownedTable(), candidates, {}, {})) {
        CHECK(move.to == incarnation(1));
    }
    candidates[1].cold = true;
    CHECK(planUnowned(unownedTable(), candidates, {}, {}).size() == 2);
}
