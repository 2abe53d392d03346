#include "figlanding/gateway/unidentified_rejections.h"

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
        auto rejections = UnidentifiedRejections({.memory = milliseconds(5000)});
        CHECK_FALSE(rejections.takeNewConnection(serverOf("s"), atMostOnce, start));
        rejections.add(serverOf("s"), proven, start);
        const auto last = start + milliseconds(4999);
        CHECK(rejections.takeNewConnection(serverOf("s"), atMostOnce, start));
        CHECK(rejections.takeNewConnection(serverOf("s"), atMostOnce, last));
        CHECK_FALSE(rejections.takeNewConnection(serverOf("s", 2), atMostOnce, last));
        CHECK_FALSE(rejections.takeNewConnection(serverOf("t"), atMostOnce, last));
        const auto end = start + milliseconds(5000);
        CHECK_FALSE(rejections.takeNewConnection(serverOf("s"), atMostOnce, end));

        rejections.add(serverOf("s"), proven, last);
        rejections.expire(end);
        CHECK(rejections.takeNewConnection(serverOf("s"), atMostOnce, end));
        rejections.expire(last + milliseconds(5000));
        CHECK(rejections.size() == 0);
    }
}

TEST_CASE("one idempotent request takes a new connection after each unproven rejection")
{
    auto rejections = UnidentifiedRejections();
    const auto takes = [&] {
        return rejections.takeNewConnection(serverOf("s"), idempotent, start);
    };
    CHECK_FALSE(takes());
    rejections.add(serverOf("s"), true, start);
    CHECK_FALSE(takes());
    rejections.add(serverOf("s"), false, start);
    CHECK(takes());
    CHECK_FALSE(takes());
    rejections.add(serverOf("s"), false, start);
    CHECK(rejections.takeNewConnection(serverOf("s"), atMostOnce, start));
    CHECK_FALSE(takes()); // the other request is on a new connection
}

TEST_CASE("beyond the limit the server with the oldest rejection is forgotten")
{
    auto rejections = UnidentifiedRejections({.maxServers = 2});
    rejections.add(serverOf("a"), true, start);
    rejections.add(serverOf("b"), true, start + milliseconds(1));
    rejections.add(serverOf("a"), true, start + milliseconds(2));
    rejections.add(serverOf("c"), true, start + milliseconds(3));
    const auto isKnown = [&](const char *name) {
        return rejections.takeNewConnection(serverOf(name), atMostOnce, start + milliseconds(3));
    };
    CHECK(rejections.size() == 2);
    CHECK(isKnown("a"));
    CHECK_FALSE(isKnown("b"));
    CHECK(isKnown("c"));
}
