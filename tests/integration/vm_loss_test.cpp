#include "running_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

using namespace figlanding;
using namespace figlanding::standins;

TEST_CASE("all keys are served again within three seconds of the loss of the controller's VM")
{
    const RunningFleet running(4);
    auto &fleet = *running.fleet;
    const auto lost = controllerIndex(fleet);
    const auto load = running.load(allExcept(fleet.callerAddresses(), lost), 10);
    std::this_thread::sleep_for(seconds(1));
    const auto lostNs = std::chrono::duration_cast<std::chrono::nanoseconds>(
                            MonotonicClock::now().time_since_epoch())
                            .count();
    fleet.vm(lost).kill();
    running.check(*load);
    constexpr std::int64_t recoveryNs = 3'000'000'000;
    // A request sent before the recovery may wait for it, so its end is checked, not its start.
    const auto late =
        std::count_if(load->records().begin(), load->records().end(), [&](const auto &record) {
            const auto expectedNs = std::max(record.sentNs, lostNs + recoveryNs);
            constexpr std::int64_t serviceNs = 300'000'000;
            return record.status != 429
                && (record.status != 200 || record.endNs > expectedNs + serviceNs);
        });
    INFO(describeFailures(*load));
    CHECK(late == 0);
}
