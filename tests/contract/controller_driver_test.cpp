#include "daemon/controller_driver.h"
#include "raw_server.h"
#include "run_until.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using figlanding::testing::RawAction;
using figlanding::testing::RawServer;
using figlanding::testing::RawStep;
using figlanding::testing::runUntil;

// Guards against shards that go to another server while their owner works on them.
TEST_CASE("a late second copy of a response does not acknowledge a command to a server")
{
    const auto read = RawStep{RawAction::ReadRequest, {}};
    const auto hold = RawStep{RawAction::Hold, {}};
    const auto success = RawStep{RawAction::Send, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    const auto conflict =
        RawStep{RawAction::Send, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
    auto server = RawServer({{read, success, read, success, hold}, {read, conflict, hold}});
    auto loop = EventLoop();
    auto client = HttpClient(loop, {});
    auto answered = false;
    client.call(server.address(), {.method = "GET", .target = "/"}, {},
                [&](const HttpOutcome &outcome) { answered = outcome.verdict == Verdict::Ran; });
    REQUIRE(runUntil(
        loop, [&] { return answered; }, seconds(2)));
    auto acknowledged = false;
    postCommand(client, server.address(), "/figlanding/revoke", "{}", [&] { acknowledged = true; });
    REQUIRE(runUntil(
        loop, [&] { return client.pending() == 0; }, seconds(2)));
    CHECK_FALSE(acknowledged);
    CHECK(server.requests().size() == 2);
}
