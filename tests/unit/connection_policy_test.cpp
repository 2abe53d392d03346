#include "figlanding/connection_policy.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figlanding;
using enum ConnectionAction;

namespace {

constexpr auto now = TimePoint{} + seconds(1000);

// Returns a connection of the given age that last received data, and became idle, @p sinceReceived
// ago.
auto connection(std::uint64_t id, Duration sinceReceived, Duration age = seconds(60))
    -> IdleConnection
{
    return {.id = id,
            .openedAt = now - age,
            .idleSince = now - sinceReceived,
            .lastReceivedAt = now - sinceReceived};
}

} // namespace

TEST_CASE(
    "the choice of a connection depends on idempotency, silence, age and the connection limit")
{
    struct Row
    {
        std::string name;
        std::vector<IdleConnection> idle;
        bool idempotent;
        bool mayOpen;
        ConnectionChoice choice;
    };
    const auto alive = connection(1, milliseconds(400));
    const auto silent = connection(2, milliseconds(600));
    const auto stale = connection(3, seconds(6));
    const auto aged = connection(4, milliseconds(10), seconds(301));
    const auto rows = std::vector<Row>{
        {"none", {}, false, true, {OpenNew}},
        {"none, at the bound", {}, false, false, {Wait}},
        {"alive", {silent, alive}, false, true, {Reuse, 1}},
        {"silent", {silent}, false, true, {OpenNew}},
        {"silent, idempotent", {silent}, true, true, {Reuse, 2}},
        {"silent, at the bound", {silent, stale}, false, false, {ReplaceIdle, 3}},
        {"stale, idempotent", {stale}, true, true, {OpenNew}},
        {"too old", {aged}, true, true, {OpenNew}},
        {"too old, at the bound", {aged}, true, false, {ReplaceIdle, 4}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        CHECK(chooseConnection(row.idle, row.idempotent, row.mayOpen, now, {}) == row.choice);
    }
}

TEST_CASE("connections idle for too long or too old are closed, silent ones are probed")
{
    const auto idle = std::vector<IdleConnection>{
        connection(1, milliseconds(100)), connection(2, seconds(31)),
        connection(3, seconds(1), seconds(301)), connection(4, milliseconds(300))};
    CHECK(connectionsToClose(idle, now, {}) == std::vector<std::uint64_t>{2, 3});
    CHECK(connectionToProbe(idle, now, {}) == 2);
    CHECK_FALSE(connectionToProbe(std::span(idle).first(1), now, {}));
    CHECK_FALSE(connectionToProbe({}, now, {}));
}

TEST_CASE("after a timeout, connections without data since the request are suspect")
{
    const auto idle =
        std::vector<IdleConnection>{connection(1, milliseconds(100)), connection(2, seconds(3))};
    CHECK(suspectConnections(idle, now - seconds(1)) == std::vector<std::uint64_t>{2});
}
