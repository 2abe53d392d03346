#include "figlanding/gateway/server_terms.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto other = VmId("other");

auto stated(double limit) -> ServerTerms
{
    return {.requestsPerSecond = limit};
}

// Sends requests as soon as the limit accepts them, and returns their number.
auto requestsIn(StatedLimit &limit, TimePoint from, milliseconds span, double share = 1.0) -> int
{
    auto sent = 0;
    for (auto time = milliseconds(0); time < span; time += milliseconds(1)) {
        if (limit.accepts(share, from + time)) {
            limit.onRequest(share, from + time);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("a server that states a limit gets no burst when it becomes known")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(5.5), start, start);
    CHECK_FALSE(limit.accepts(1.0, start));
    CHECK(requestsIn(limit, start, milliseconds(4000)) <= 22);
    CHECK(requestsIn(limit, start + seconds(4), milliseconds(4000)) >= 21);
}

TEST_CASE("a pause under a limit is followed by a small burst only")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(8.0), start, start);
    CHECK(requestsIn(limit, start + seconds(60), milliseconds(1)) == 1);
    CHECK(requestsIn(limit, start + seconds(60), milliseconds(1000)) <= 10);
}

TEST_CASE("a part of a limit allows that part of its requests")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(20.0), start, start);
    const auto sent = requestsIn(limit, start, milliseconds(4000), 0.25);
    CHECK(sent <= 20);
    CHECK(sent >= 19);
}

TEST_CASE("a response sent before the limit was known does not end it, a later one does")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(2.0), start, start + milliseconds(100));
    limit.onTerms({}, start + milliseconds(50), start + milliseconds(200));
    CHECK(limit.requestsPerSecond(start + milliseconds(200)) == 2.0);
    limit.onTerms({}, start + milliseconds(150), start + milliseconds(300));
    CHECK_FALSE(limit.requestsPerSecond(start + milliseconds(300)));
    CHECK(limit.accepts(1.0, start + milliseconds(300)));
}

TEST_CASE("a late response does not bring an earlier limit back")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(9.0), start + milliseconds(50), start + milliseconds(100));
    limit.onTerms(stated(3.0), start + milliseconds(120), start + milliseconds(200));
    limit.onTerms(stated(9.0), start + milliseconds(60), start + milliseconds(300));
    CHECK(limit.requestsPerSecond(start + milliseconds(300)) == 3.0);
}

TEST_CASE("a limit of another VM's report holds until it is not reported any more")
{
    auto limit = StatedLimit();
    limit.onReport(other, {.requestsPerSecond = 4.0}, start);
    CHECK(limit.requestsPerSecond(start + seconds(2)) == 4.0);
    CHECK_FALSE(limit.report(start)); // it is not passed on further
    CHECK_FALSE(limit.requestsPerSecond(start + seconds(4)));
    CHECK(limit.accepts(1.0, start + seconds(4)));
    limit.onTerms(stated(2.0), start + seconds(5), start + seconds(5));
    limit.onReport(other, {.requestsPerSecond = 4.0}, start + seconds(6));
    CHECK(limit.requestsPerSecond(start + seconds(30)) == 2.0);
}

TEST_CASE("a server that accepts nothing still gets a request every few seconds")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(0.0), start, start);
    CHECK(requestsIn(limit, start, milliseconds(4000)) <= 1);
    CHECK(requestsIn(limit, start + seconds(4), milliseconds(4001)) >= 1);
}

TEST_CASE("VMs that allocate the slots of one server at the same time keep to its limit together")
{
    constexpr auto limit = 5.0;
    constexpr auto vms = 4;
    auto limits = std::vector<StatedLimit>(vms);
    for (auto &own : limits) {
        own.onTerms(stated(limit), start, start);
    }
    auto sent = 0;
    for (auto time = milliseconds(0); time < seconds(4); time += milliseconds(10)) {
        const auto now = start + time;
        for (auto vm = 0; vm < vms; ++vm) {
            auto &own = limits[static_cast<std::size_t>(vm)];
            if (time % milliseconds(900) == milliseconds(0)) {
                for (auto from = 0; from < vms; ++from) {
                    if (from != vm) {
                        const auto report = limits[static_cast<std::size_t>(from)].report(now);
                        own.onReport(VmId(std::to_string(from)), report.value(), now);
                    }
                }
            }
            sent += requestsIn(own, now, milliseconds(1));
            own.onTerms(stated(limit), now, now);
        }
    }
    CHECK(sent <= 1.5 * limit * 4.0 + 5.0);
    CHECK(sent >= limit * 4.0 * 0.8);
}

TEST_CASE("a VM uses the whole limit again soon after the others have stopped to send requests")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(10.0), start, start);
    limit.onReport(other, {.requestsPerSecond = 10.0, .used = 5.0}, start);
    CHECK(limit.pace(1.0, start) == 7.0);
    CHECK(limit.pace(1.0, start + seconds(3)) == 10.0);
}

TEST_CASE("a VM that sends few requests to a server with a limit takes little from the others")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(10.0), start, start);
    limit.onReport(other, {.requestsPerSecond = 10.0, .used = 0.5}, start);
    CHECK(limit.pace(1.0, start) == 10.0);
    limit.onReport(other, {.requestsPerSecond = 10.0, .used = 10.0}, start); // if both need it
    CHECK(limit.pace(1.0, start) == 6.0);
}
