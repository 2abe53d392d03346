#include "two_vms.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::twovms;

namespace {

// Advances both VMs to a time after the start, in steps as long as those of a VM, and delivers what
// they send meanwhile.
auto runUntil(TwoVms &vms, milliseconds end) -> void
{
    constexpr auto step = milliseconds(25);
    for (auto time = milliseconds(0); time <= end; time += step) {
        vms.broker().tick(start + time);
        vms.caller().tick(start + time);
        vms.deliver();
    }
}

} // namespace

TEST_CASE("a slot is free again soon although its release was lost")
{
    auto vms = TwoVms(1);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.broker().granted() == 1);
    vms.caller().release(1, {.end = SlotEnd::Served, .elapsed = milliseconds(90)}, start);
    const auto lost = vms.hold();
    REQUIRE(lost.size() == 1);
    runUntil(vms, milliseconds(100));
    CHECK(vms.broker().granted() == 0);
    CHECK(vms.broker().serviceTimes().at(BackendServerId("lessons-1")) == milliseconds(90));
}

TEST_CASE("a grant that arrives after its request ended is given back although the release is lost")
{
    auto vms = TwoVms(1);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    const auto acquire = vms.hold();
    vms.caller().release(1, {.end = SlotEnd::Abandoned}, start);
    vms.deliver();
    vms.resume({acquire.front()});
    REQUIRE(vms.broker().granted() == 0);
    vms.resume({acquire.front()}, 2); // the grant arrives and the release does not
    REQUIRE(vms.broker().granted() == 1);
    runUntil(vms, milliseconds(100));
    CHECK(vms.broker().granted() == 0);
}

TEST_CASE("a confirmed release is not sent again")
{
    auto vms = TwoVms(1);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    vms.caller().release(1, {.end = SlotEnd::Served}, start);
    vms.deliver();
    vms.caller().tick(start + milliseconds(100));
    CHECK(vms.hold().empty());
}

TEST_CASE("a release to a VM that confirms nothing is not sent without end")
{
    auto releases = UnconfirmedReleases({.firstRepeatAfter = milliseconds(60), .maxRepeats = 3});
    releases.add({.to = brokerVm, .release = {.ticket = 7}}, start);
    auto sent = 0;
    for (auto time = milliseconds(0); time < seconds(5); time += milliseconds(25)) {
        sent += static_cast<int>(releases.takeDue(start + time).size());
    }
    CHECK(sent == 3);
    CHECK(releases.size() == 0);
}
