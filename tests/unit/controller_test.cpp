#include "controller_fixture.h"
#include "figlanding/sharding.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto s1 = BackendServerId("s1");
const auto vm1 = VmId("vm-1");
const auto vm2 = VmId("vm-2");

auto convergedFleet(bool checksFence = false) -> ControllerFleet
{
    auto fleet = ControllerFleet(checksFence);
    fleet.run(seconds(6));
    return fleet;
}

auto setServer(ControllerFleet &fleet, const BackendServerId &id, AdminState state) -> void
{
    auto server = fleet.state.servers.at(id).object;
    server.state = state;
    fleet.append({.id = {.writer = "ann", .sequence = 100 + fleet.records.size()},
                  .payload = ConfigChange{.author = "ann",
                                          .changes = {{.ref = refOf(server), .object = server}}}});
}

struct FaultCase
{
    const char *name;
    bool checksFence;
    void (*fault)(ControllerFleet &);
    milliseconds limit; ///< longest time until all shards are served
};

const FaultCase faultCases[] = {
    {"a server dies", false, [](ControllerFleet &fleet) { fleet.downServers.insert(s1); },
     milliseconds(3000)},
    {"a server that checks fences dies", true,
     [](ControllerFleet &fleet) { fleet.downServers.insert(s1); }, milliseconds(3000)},
    {"a server leaves", true,
     [](ControllerFleet &fleet) { setServer(fleet, s1, AdminState::Leaving); }, milliseconds(500)},
    {"a server leaves that does not acknowledge the revocation", true,
     [](ControllerFleet &fleet) {
         fleet.serversIgnoringCommands.insert(s1);
         setServer(fleet, s1, AdminState::Leaving);
     },
     milliseconds(2000)},
    {"a server leaves and the controller dies", true,
     [](ControllerFleet &fleet) {
         setServer(fleet, s1, AdminState::Leaving);
         fleet.vms.at(fleet.state.controller).silent = true;
     },
     milliseconds(3000)},
    {"the target of a move dies", false,
     [](ControllerFleet &fleet) {
         fleet.downServers.insert(s1);
         fleet.run(milliseconds(700));
         const auto &shards = fleet.state.assignments.at(fleet.rooms).shards;
         const auto moving = std::find_if(shards.begin(), shards.end(),
                                          [](const Assignment &shard) { return shard.moving(); });
         REQUIRE(moving != shards.end());
         fleet.downServers.insert(moving->target);
     },
     milliseconds(3000)},
    {"the owner returns before the move is committed", false,
     [](ControllerFleet &fleet) {
         fleet.downServers.insert(s1);
         fleet.run(milliseconds(1000));
         fleet.downServers.clear();
     },
     milliseconds(2000)},
    {"the log is down during a move", false,
     [](ControllerFleet &fleet) {
         fleet.downServers.insert(s1);
         fleet.run(milliseconds(700));
         fleet.logDown = true;
         fleet.run(seconds(60));
         fleet.logDown = false;
     },
     milliseconds(1500)},
    {"the controller restarts during a move", false,
     [](ControllerFleet &fleet) {
         fleet.downServers.insert(s1);
         fleet.run(milliseconds(700));
         fleet.start(fleet.state.controller.value());
     },
     milliseconds(3000)},
    {"a VM restarts during a move", false,
     [](ControllerFleet &fleet) {
         fleet.downServers.insert(s1);
         fleet.run(milliseconds(700));
         fleet.start(fleet.state.controller == vm2 ? "vm-1" : "vm-2");
     },
     milliseconds(3000)},
};

} // namespace

TEST_CASE("VMs elect one controller, join, and assign an owner to every shard")
{
    auto fleet = ControllerFleet(true);
    CHECK(fleet.runUntilServed(seconds(10)) <= seconds(4));
    fleet.run(seconds(3));
    CHECK(fleet.state.term == 1);
    CHECK(fleet.state.members.size() == 3);
    CHECK(fleet.accepted("TermClaim") == 1);
    const auto grants = fleet.countOf("grant");
    const auto appends = fleet.countOf("append");
    CHECK(grants == 3);
    fleet.run(seconds(30));
    CHECK(fleet.countOf("grant") == grants);
    CHECK(fleet.countOf("append") == appends);
}

TEST_CASE("all shards are served again after a fault")
{
    for (const auto &row : faultCases) {
        CAPTURE(row.name);
        auto fleet = convergedFleet(row.checksFence);
        REQUIRE(fleet.isServed());
        row.fault(fleet);
        CHECK(fleet.runUntilServed(seconds(20)).count() <= row.limit.count());
        fleet.run(seconds(5));
        CHECK(fleet.isServed());
    }
}

TEST_CASE("records of a controller that was replaced have no effect")
{
    auto fleet = convergedFleet();
    const auto old = fleet.state.controller;
    fleet.vms.at(old).delaysAppends = true;
    fleet.downServers.insert(s1);
    fleet.run(milliseconds(300));
    REQUIRE(fleet.vms.at(old).delayedAppends.size() > 0);
    fleet.vms.at(old).silent = true;
    fleet.run(milliseconds(900));
    CHECK(fleet.state.term == 2);
    const auto before = fleet.state;
    fleet.deliverDelayedAppends(old);
    CHECK(fleet.state.term == 2);
    CHECK(fleet.state.members == before.members);
    CHECK(fleet.state.serverStatus == before.serverStatus);
    CHECK(fleet.state.assignments == before.assignments);
}

TEST_CASE("an append without a response is retried with the same record id and takes effect once")
{
    auto fleet = convergedFleet();
    auto &vm = fleet.vms.at(fleet.state.controller);
    vm.delaysAppends = true;
    fleet.downServers.insert(s1);
    fleet.run(milliseconds(900));
    REQUIRE(vm.delayedAppends.size() >= 2);
    for (const auto &record : vm.delayedAppends) {
        CHECK(record == vm.delayedAppends.front());
    }
    fleet.deliverDelayedAppends(fleet.state.controller);
    fleet.run(milliseconds(50));
    CHECK(fleet.accepted("ServerStatusChange") == 1);
}

TEST_CASE("a server that the controller reaches is not marked as down on the report of one VM")
{
    auto fleet = convergedFleet();
    for (int i = 0; i < 20; ++i) {
        fleet.run(milliseconds(50));
        const auto member = fleet.state.controller == vm1 ? vm2 : vm1;
        auto report = PeerReport{.vm = member, .incarnation = fleet.vms.at(member).incarnation};
        report.appliedOffset = fleet.state.offset;
        report.suspects = {s1};
        fleet.vms.at(fleet.state.controller).controller.onReport(report, fleet.now);
    }
    CHECK(fleet.accepted("ServerStatusChange") == 0);
}

TEST_CASE("a silent VM is removed, and rejoins only after a period of heartbeats")
{
    auto fleet = convergedFleet();
    const auto other = fleet.state.controller == vm1 ? vm2 : vm1;
    fleet.vms.at(other).silent = true;
    fleet.run(milliseconds(1000));
    CHECK_FALSE(fleet.state.members.contains(other));
    fleet.vms.at(other).silent = false;
    fleet.run(milliseconds(300));
    CHECK_FALSE(fleet.state.members.contains(other));
    fleet.run(milliseconds(1500));
    CHECK(fleet.state.members.contains(other));
}

TEST_CASE("a controller that leaves is replaced and removed")
{
    auto fleet = convergedFleet();
    const auto old = fleet.state.controller;
    fleet.vms.at(old).leaving = true;
    fleet.run(milliseconds(2500));
    CHECK(fleet.state.controller != old);
    CHECK_FALSE(fleet.state.members.contains(old));
}

TEST_CASE("a changed boot id or a new controller causes grants to be resent")
{
    auto fleet = convergedFleet(true);
    auto &controller = fleet.vms.at(fleet.state.controller).controller;
    controller.onBootId(s1, "boot-1");
    fleet.run(milliseconds(100));
    const auto grants = fleet.countOf("grant");
    controller.onBootId(s1, "boot-1");
    fleet.run(milliseconds(100));
    CHECK(fleet.countOf("grant") == grants);
    controller.onBootId(s1, "boot-2");
    fleet.run(milliseconds(100));
    CHECK(fleet.countOf("grant") == grants + 1);
    fleet.vms.at(fleet.state.controller).silent = true;
    fleet.run(milliseconds(1500));
    CHECK(fleet.countOf("grant") == grants + 4);
}

TEST_CASE("without a fresh view, a controller appends only records of joining members")
{
    auto fleet = convergedFleet();
    auto &vm = fleet.vms.at(fleet.state.controller);
    setServer(fleet, s1, AdminState::Leaving);
    vm.state = fleet.state;
    const auto stale = ControllerView{.state = vm.state, .fresh = false, .logReachable = true};
    CHECK(vm.controller.tick(stale, fleet.now).empty());
}

TEST_CASE("requested isolations and moves of a key are carried out, and invalid ones are dropped")
{
    auto fleet = convergedFleet(true);
    auto &controller = fleet.vms.at(fleet.state.controller).controller;
    controller.requestIsolation({.service = fleet.rooms, .key = "k", .isolate = true});
    fleet.run(milliseconds(200));
    const auto &keys = fleet.state.assignments.at(fleet.rooms).isolatedKeys;
    REQUIRE(keys.contains("k"));
    const auto target = keys.at("k").owner == s1 ? BackendServerId("s2") : s1;
    controller.requestMove(fleet.rooms, {.key = "absent", .to = s1});
    controller.requestMove(fleet.rooms, {.key = "k", .to = BackendServerId("s9")});
    controller.requestMove(fleet.rooms, {.key = "k", .to = target});
    controller.requestMove(fleet.rooms, {.key = "k", .to = target});
    fleet.run(milliseconds(500));
    CHECK(keys.at("k").owner == target);
    CHECK(fleet.isServed());
}
