#include "two_vms.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::twovms;

TEST_CASE("a VM that starts anew is not given the slot of its earlier process")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "lessons-1");
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    vms.deliver();
    CHECK(vms.decision(1) == "archive-1");
    CHECK(vms.broker().granted() == 2);
}

TEST_CASE("a slot response to an earlier process decides nothing in the next one")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    const auto acquire = vms.hold();
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    const auto next = vms.hold();
    vms.resume(acquire);
    CHECK(vms.decision(1) == "undecided");
    vms.resume(next);
    CHECK(vms.decision(1) == "archive-1");
}

TEST_CASE("a release of an earlier process does not end a slot of the next one")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    vms.caller().release(1, {.end = SlotEnd::Served}, start);
    const auto late = vms.hold();
    vms.resume(late);
    REQUIRE(vms.broker().granted() == 0);
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "archive-1");
    vms.resume(late);
    CHECK(vms.broker().granted() == 1);
}

TEST_CASE("queued requests of an earlier process get no slot once the next one is seen")
{
    auto vms = TwoVms(1);
    vms.broker().acquire(request(1, lessons, "lessons-1"), start);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.broker().waiting() == 1);
    vms.restartCaller("c2");
    vms.caller().acquire(request(9, archive), start);
    vms.deliver();
    CHECK(vms.broker().waiting() == 0);
    CHECK(vms.decision(9) == "archive-1");
    vms.broker().release(1, {.end = SlotEnd::Served}, start);
    vms.deliver();
    CHECK(vms.broker().granted() == 1);
    CHECK(vms.decision(1) == "undecided");
}

TEST_CASE("a late release of an attempt does not end the slot of the request's next attempt")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "lessons-1");
    vms.caller().release(1, {.end = SlotEnd::Declined}, start);
    const auto late = vms.hold();
    vms.caller().acquire(request(1, lessons, "lessons-2"), start);
    vms.deliver();
    CHECK(vms.decision(1) == "lessons-2");
    vms.resume(late);
    CHECK(vms.broker().granted() == 1);
}
