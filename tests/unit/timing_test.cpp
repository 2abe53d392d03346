#include "figlanding/timing.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

struct TimingCase
{
    const char *name;
    Timing timing;
    bool valid;
};

const TimingCase timingCases[] = {
    {"defaults", {}, true},
    {"no view lifetime", {.viewLifetime = milliseconds(0)}, false},
    {"a view outlives one heartbeat only", {.viewLifetime = milliseconds(300)}, false},
    {"suspicion after one heartbeat", {.suspicionTimeout = milliseconds(200)}, false},
    {"a lease outlives one probe only", {.serverLease = milliseconds(400)}, false},
    {"recovery takes too long", {.exclusiveDeadline = milliseconds(1500)}, false},
};

} // namespace

TEST_CASE("time limits must allow recovery within the maximum time and tolerate one lost renewal")
{
    for (const auto &row : timingCases) {
        CAPTURE(row.name);
        CHECK(static_cast<bool>(checkTiming(row.timing)) == row.valid);
    }
}

TEST_CASE("the wait for an old owner covers view lifetime, clock drift, lease and deadline")
{
    CHECK(unacknowledgedWait(Timing{}) == milliseconds(1450));
    CHECK(recoveryTime(Timing{}) <= maxRecoveryTime);
}
