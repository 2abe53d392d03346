#include "figlanding/gateway/connection_trust.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
constexpr auto atMostOnce = Repeatability::AtMostOnce;
constexpr auto idempotent = Repeatability::Idempotent;

auto serverOf(const char *name, std::int64_t startedUnixMs = 1) -> ServerIncarnation
{
    return {.server = BackendServerId(name), .startedUnixMs = startedUnixMs};
}

} // namespace

TEST_CASE(
    "after a rejection without an id its server gets non-idempotent requests on new connections")
{
    for (const auto proven : {false, true}) {
        auto trust = ConnectionTrust({.memory = milliseconds(5000)});
        CHECK_FALSE(trust.takeNewConnection(serverOf("s"), atMostOnce, start));
        trust.addRejection(serverOf("s"), proven, start);
        const auto last = start + milliseconds(4999);
        CHECK(trust.takeNewConnection(serverOf("s"), atMostOnce, start));
        CHECK(trust.takeNewConnection(serverOf("s"), atMostOnce, last));
        CHECK_FALSE(trust.takeNewConnection(serverOf("s", 2), atMostOnce, last));
        CHECK_FALSE(trust.takeNewConnection(serverOf("t"), atMostOnce, last));
        const auto end = start + milliseconds(5000);
        CHECK_FALSE(trust.takeNewConnection(serverOf("s"), atMostOnce, end));

        trust.addRejection(serverOf("s"), proven, last);
        trust.expire(end);
        CHECK(trust.takeNewConnection(serverOf("s"), atMostOnce, end));
        trust.expire(last + milliseconds(5000));
        CHECK(trust.size() == 0);
    }
}

TEST_CASE("one idempotent request takes a new connection after each unproven rejection")
{
    auto trust = ConnectionTrust();
    const auto takes = [&] { return trust.takeNewConnection(serverOf("s"), idempotent, start); };
    CHECK_FALSE(takes());
    trust.addRejection(serverOf("s"), true, start);
    CHECK_FALSE(takes());
    trust.addRejection(serverOf("s"), false, start);
    CHECK(takes());
    CHECK_FALSE(takes());
    trust.addRejection(serverOf("s"), false, start);
    CHECK(trust.takeNewConnection(serverOf("s"), atMostOnce, start));
    CHECK_FALSE(takes()); // the other request is on a new connection
}

TEST_CASE("beyond the limit the server with the oldest rejection is forgotten")
{
    auto trust = ConnectionTrust({.maxServers = 2});
    trust.addRejection(serverOf("a"), true, start);
    trust.addRejection(serverOf("b"), true, start + milliseconds(1));
    trust.addRejection(serverOf("a"), true, start + milliseconds(2));
    trust.addRejection(serverOf("c"), true, start + milliseconds(3));
    const auto isKnown = [&](const char *name) {
        return trust.takeNewConnection(serverOf(name), atMostOnce, start + milliseconds(3));
    };
    CHECK(trust.size() == 2);
    CHECK(isKnown("a"));
    CHECK_FALSE(isKnown("b"));
    CHECK(isKnown("c"));
}

TEST_CASE("after a violation only requests that must run at most once need new connections")
{
    auto trust = ConnectionTrust();
    trust.addViolation(serverOf("s"), start);
    CHECK(trust.takeNewConnection(serverOf("s"), atMostOnce, start));
    CHECK_FALSE(trust.takeNewConnection(serverOf("s"), idempotent, start));
    trust.addRejection(serverOf("s"), false, start);
    trust.addViolation(serverOf("s"), start);
    CHECK(trust.takeNewConnection(serverOf("s"), idempotent, start)); // still checks the rejection
}
