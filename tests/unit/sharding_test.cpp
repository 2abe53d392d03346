#include "figlanding/sharding.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto stateWithMembers() -> ClusterState
{
    ClusterState state;
    for (const auto *name : {"vm-1", "vm-2", "vm-3"}) {
        state.members[VmId(name)] = Member{.vm = VmId(name), .zone = AvailabilityZoneId("a")};
    }
    state.members[VmId("vm-4")] = Member{.vm = VmId("vm-4"), .zone = AvailabilityZoneId("b")};
    state.servers[BackendServerId("s1")].object.zone = AvailabilityZoneId("b");
    return state;
}

} // namespace

TEST_CASE("a server's dispatcher is in the server's zone if that zone has a member")
{
    CHECK(dispatcherOf(stateWithMembers(), BackendServerId("s1")) == VmId("vm-4"));
}

TEST_CASE("removing a member changes the token issuer only of the teams that it issued tokens for")
{
    auto state = stateWithMembers();
    const auto team = TeamId("north");
    const auto before = tokenIssuerOf(state, team).value();
    state.members.erase(before == VmId("vm-1") ? VmId("vm-2") : VmId("vm-1"));
    CHECK(tokenIssuerOf(state, team) == before);
}

TEST_CASE("a key without shards has no assignment")
{
    CHECK(assignmentForKey(ClusterState{}, ServiceId("rooms"), "room-12") == nullptr);
}
