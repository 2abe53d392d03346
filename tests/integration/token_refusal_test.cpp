#include "running_fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace figlanding;
using namespace figlanding::standins;

TEST_CASE("teams within their rate limit are not refused when a VM is killed or shut down")
{
    for (const auto signal : {SIGKILL, SIGTERM}) {
        CAPTURE(signal);
        const RunningFleet running(4);
        auto &fleet = *running.fleet;
        const auto lost = controllerIndex(fleet);
        const auto load = running.load(allExcept(fleet.callerAddresses(), lost), 6);
        std::this_thread::sleep_for(seconds(1));
        fleet.vm(lost).signal(signal);
        running.check(*load);
        INFO(describeFailures(*load));
        CHECK(countStatus(*load, 429) == 0);
    }
}
