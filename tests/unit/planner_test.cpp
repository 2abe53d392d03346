#include "figlanding/planner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;

namespace {

auto serverName(std::size_t index) -> BackendServerId
{
    return BackendServerId("s" + std::to_string(1000 + index));
}

auto stateWith(std::size_t servers) -> ClusterState
{
    ClusterState state;
    state.zones[AvailabilityZoneId("a")].object.id = AvailabilityZoneId("a");
    for (std::size_t i = 0; i < servers; ++i) {
        const auto id = serverName(i);
        state.servers[id].object = BackendServer{.id = id, .zone = AvailabilityZoneId("a")};
    }
    return state;
}

auto serviceWith(std::uint32_t shards) -> Service
{
    return {.id = ServiceId("rooms"), .mode = ServiceMode::Exclusive, .shardCount = shards};
}

auto applyMoves(ClusterState &state, const Service &service, const std::vector<Move> &moves) -> void
{
    auto &assignments = state.assignments[service.id];
    assignments.shards.resize(service.shardCount);
    for (const auto &move : moves) {
        auto &assignment =
            move.key.empty() ? assignments.shards[move.shard] : assignments.isolatedKeys[move.key];
        assignment = Assignment{.owner = move.to, .fence = 1};
    }
}

template <typename Algorithm>
auto planAndApply(ClusterState &state, const Service &service, const Algorithm &algorithm)
    -> MovePlan
{
    auto plan = planMoves(state, service, algorithm);
    applyMoves(state, service, plan.required);
    applyMoves(state, service, plan.balancing);
    return plan;
}

auto loads(const ClusterState &state, const Service &service)
    -> std::map<BackendServerId, std::uint32_t>
{
    auto result = std::map<BackendServerId, std::uint32_t>{};
    for (const auto &assignment : state.assignments.at(service.id).shards) {
        ++result[assignment.owner];
    }
    return result;
}

auto maxToMean(const ClusterState &state, const Service &service, std::size_t servers) -> double
{
    std::uint32_t largest = 0;
    for (const auto &[server, load] : loads(state, service)) {
        largest = std::max(largest, load);
    }
    return largest * static_cast<double>(servers) / service.shardCount;
}

} // namespace

TEST_CASE_TEMPLATE("the first plan assigns every shard and balances the servers", Algorithm,
                   StableLeastLoaded, BoundedRendezvous)
{
    for (const auto servers : {std::size_t{1}, std::size_t{6}, std::size_t{13}}) {
        auto state = stateWith(servers);
        const auto service = serviceWith(256);
        CHECK(planAndApply(state, service, Algorithm{}).required.size() == 256);
        CHECK(maxToMean(state, service, servers) <= 1.05);
        CHECK(planMoves(state, service, Algorithm{}) == MovePlan{});
    }
}

TEST_CASE("shards are balanced over 2,900 servers")
{
    auto state = stateWith(2900);
    const auto service = serviceWith(65536);
    planAndApply(state, service, StableLeastLoaded{});
    CHECK(maxToMean(state, service, 2900) <= 1.05);
}

TEST_CASE("only the shards of an unavailable server move")
{
    struct Reason
    {
        const char *name;
        void (*remove)(ClusterState &);
    };
    const Reason reasons[] = {
        {"removed", [](ClusterState &state) { state.servers.erase(serverName(3)); }},
        {"leaving",
         [](ClusterState &state) {
             state.servers[serverName(3)].object.state = AdminState::Leaving;
         }},
        {"down", [](ClusterState &state) { state.serverStatus[serverName(3)].up = false; }},
        {"without weight",
         [](ClusterState &state) { state.servers[serverName(3)].object.weight = 0; }},
        {"in a leaving zone",
         [](ClusterState &state) {
             state.zones[AvailabilityZoneId("b")].object.state = AdminState::Leaving;
             state.servers[serverName(3)].object.zone = AvailabilityZoneId("b");
         }},
    };
    for (const auto &reason : reasons) {
        CAPTURE(reason.name);
        auto state = stateWith(13);
        const auto service = serviceWith(256);
        planAndApply(state, service, StableLeastLoaded{});
        const auto share = loads(state, service)[serverName(3)];
        reason.remove(state);
        const auto plan = planAndApply(state, service, StableLeastLoaded{});
        CHECK(plan.required.size() == share);
        CHECK(plan.balancing.empty());
        CHECK(loads(state, service)[serverName(3)] == 0);
    }
}

TEST_CASE("a new server receives a share of the shards in proportion to its weight")
{
    auto state = stateWith(13);
    const auto service = serviceWith(256);
    planAndApply(state, service, StableLeastLoaded{});
    state.servers[serverName(13)].object =
        BackendServer{.id = serverName(13), .zone = AvailabilityZoneId("a"), .weight = 200};
    const auto plan = planAndApply(state, service, StableLeastLoaded{});
    CHECK(plan.required.empty());
    CHECK(plan.unbalanced);
    CHECK(plan.balancing.size() == 35);
    CHECK(loads(state, service)[serverName(13)] == 35);
}

TEST_CASE("a moving shard keeps its target unless the target is not eligible")
{
    auto state = stateWith(3);
    const auto service = serviceWith(3);
    planAndApply(state, service, StableLeastLoaded{});
    auto &shard = state.assignments[service.id].shards[0];
    const auto owner = shard.owner;
    state.serverStatus[owner].up = false;
    const auto plan = planMoves(state, service, StableLeastLoaded{});
    REQUIRE(plan.required.size() == 1);
    shard.target = plan.required[0].to;
    shard.begin = 7;
    CHECK(planMoves(state, service, StableLeastLoaded{}).required.empty());
    state.serverStatus[shard.target].up = false;
    for (const auto &move : planMoves(state, service, StableLeastLoaded{}).required) {
        CHECK(isAvailable(state, state.servers.at(move.to).object));
    }
}

TEST_CASE("an isolated key is assigned to a server that its declaration allows")
{
    auto state = stateWith(4);
    const auto service = serviceWith(8);
    state.servers[serverName(2)].object.labels["size"] = "large";
    planAndApply(state, service, StableLeastLoaded{});
    state.assignments[service.id].isolatedKeys["k"] = Assignment{.owner = serverName(0)};
    CHECK(planMoves(state, service, StableLeastLoaded{}) == MovePlan{});
    const auto large = Selector::parse("size=large");
    REQUIRE(large);
    state.routingKeys["rooms/k"].object =
        RoutingKey{.service = service.id, .key = "k", .servers = large.value()};
    const auto plan = planMoves(state, service, StableLeastLoaded{});
    REQUIRE(plan.required.size() == 1);
    CHECK(plan.required[0] == Move{.key = "k", .to = serverName(2)});
}
