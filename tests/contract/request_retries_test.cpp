#include "gateway/request_retries.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");

// Returns how many retries a new process may make after a number of requests.
auto retriesAfter(int requests, double fleetSize) -> int
{
    auto retries = RequestRetries({.ratio = 0.1, .reserve = 300.0});
    for (auto i = 0; i < requests; ++i) {
        retries.onRequest(service, fleetSize);
    }
    auto count = 0;
    while (retries.take(service)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("VMs that are restarted again and again retry no more than their share of the requests")
{
    // A process that has just started knows of no other VM.
    CHECK(retriesAfter(1, 1.0) == 1);
    CHECK(retriesAfter(100, 1.0) <= 11);
    CHECK(retriesAfter(100, 1.0) >= 10);
}

TEST_CASE("unused retries accumulate up to this VM's part of the reserve")
{
    CHECK(retriesAfter(10'000, 100.0) == 3);
}

TEST_CASE("VMs of a fleet that is larger than the reserve still retry their share of the requests")
{
    CHECK(retriesAfter(100, 1000.0) == 1);
}
