#include "two_vms.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::twovms;

namespace {

auto isDecodable(const FleetMessage &message) -> bool
{
    return static_cast<bool>(
        settle([&] { return decodeFleetMessage(encodeFleetMessage(message)); }));
}

} // namespace

TEST_CASE("a request that may wait for longer than datagrams can tell still gets a slot")
{
    auto vms = TwoVms(1);
    auto patient = request(1, lessons, "lessons-1");
    patient.arrivedAt = start - 2 * maxRequestTime;
    patient.objectiveAt = start - 2 * maxRequestTime;
    patient.deadline = start + 2 * maxRequestTime;
    vms.caller().acquire(patient, start);
    const auto sent = vms.hold();
    REQUIRE(sent.size() == 1);
    CHECK(isDecodable(sent.front().second));
    vms.resume(sent);
    CHECK(vms.decision(1) == "lessons-1");
    vms.caller().release(1, {.end = SlotEnd::Served, .elapsed = 2 * maxRequestTime}, start);
    const auto release = vms.hold();
    REQUIRE(release.size() == 1);
    CHECK(isDecodable(release.front().second));
}
