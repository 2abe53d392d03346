#include "figlanding/cold_start_ramp.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto usualServiceTime = milliseconds(10);

void succeed(ColdStartRamp &ramp, int times, Duration serviceTime, TimePoint now)
{
    for (auto i = 0; i < times; ++i) {
        ramp.onSuccess(serviceTime, ramp.limit(), now + i * serviceTime);
    }
}

auto warmRamp() -> ColdStartRamp
{
    auto ramp = ColdStartRamp(6, ColdStartOptions{});
    ramp.onBootId("boot-1", start);
    succeed(ramp, 100, usualServiceTime, start);
    return ramp;
}

} // namespace

TEST_CASE("only successes at the full limit raise the limit")
{
    auto ramp = ColdStartRamp(6, ColdStartOptions{});
    CHECK(ramp.limit() == 1);
    succeed(ramp, 3, usualServiceTime, start);
    CHECK(ramp.limit() == 2);
    for (auto i = 0; i < 50; ++i) {
        ramp.onSuccess(usualServiceTime, 1, start + seconds(1));
    }
    CHECK(ramp.limit() == 2);
    succeed(ramp, 5, usualServiceTime, start + seconds(1));
    CHECK(ramp.limit() == 2);
    succeed(ramp, 1, usualServiceTime, start + seconds(1));
    CHECK(ramp.limit() == 3);
    // Two increases are at least minRaiseInterval apart.
    succeed(ramp, 10, milliseconds(1), start + milliseconds(1010));
    CHECK(ramp.limit() == 3);
    succeed(ramp, 100, usualServiceTime, start + seconds(2));
    CHECK(ramp.limit() == 6);
    CHECK_FALSE(ramp.ramping());
}

TEST_CASE("signs of a cold server restart the ramp")
{
    const auto now = start + seconds(10);
    struct Row
    {
        std::string name;
        void (*event)(ColdStartRamp &, TimePoint);
        std::uint32_t limit;
    };
    const auto rows = {
        Row{"new boot id", [](auto &ramp, auto at) { ramp.onBootId("boot-2", at); }, 1},
        Row{"same boot id", [](auto &ramp, auto at) { ramp.onBootId("boot-1", at); }, 6},
        Row{"cold report", [](auto &ramp, auto at) { ramp.onColdReport(at); }, 1},
        Row{"lost request", [](auto &ramp, auto at) { ramp.onFailure(at); }, 1},
        Row{"shed at five", [](auto &ramp, auto at) { ramp.onShed(5, at); }, 4},
        Row{"one slow answer",
            [](auto &ramp, auto at) { succeed(ramp, 1, 5 * usualServiceTime, at); }, 6},
        Row{"three slow answers",
            [](auto &ramp, auto at) { succeed(ramp, 3, 5 * usualServiceTime, at); }, 1},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        auto ramp = warmRamp();
        REQUIRE(ramp.limit() == 6);
        row.event(ramp, now);
        CHECK(ramp.limit() == row.limit);
    }
}

TEST_CASE("the limit is not raised shortly after a shed")
{
    auto ramp = warmRamp();
    const auto now = start + seconds(10);
    ramp.onShed(3, now);
    CHECK(ramp.limit() == 2);
    for (auto i = 0; i < 20; ++i) {
        ramp.onSuccess(usualServiceTime, 2, now + milliseconds(499));
    }
    CHECK(ramp.limit() == 2);
    succeed(ramp, 6, usualServiceTime, now + milliseconds(500));
    CHECK(ramp.limit() == 3);
}

TEST_CASE("the limit stays low while probes report a cold server, up to a maximum time")
{
    auto ramp = warmRamp();
    auto now = start + seconds(10);
    for (const auto end = now + seconds(20); now < end; now += milliseconds(200)) {
        ramp.onColdReport(now);
        succeed(ramp, 10, usualServiceTime, now);
        CHECK(ramp.limit() == 1);
    }
    now += seconds(1);
    ramp.onColdReport(now);
    succeed(ramp, 100, usualServiceTime, now);
    CHECK(ramp.limit() == 6);
    ramp.onWarmReport();
    ramp.onColdReport(now + seconds(2));
    CHECK(ramp.limit() == 1);
}

TEST_CASE("a limit is adopted only for the same boot of the server")
{
    auto ramp = ColdStartRamp(6, ColdStartOptions{});
    ramp.onBootId("boot-2", start);
    ramp.adopt(6, "boot-1");
    CHECK(ramp.limit() == 1);
    ramp.adopt(9, "boot-2");
    CHECK(ramp.limit() == 6);
}
