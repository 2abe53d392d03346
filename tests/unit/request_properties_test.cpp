#include "figlanding/deadline.h"
#include "figlanding/http_method.h"
#include "figlanding/request_digest.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);

} // namespace

TEST_CASE("methods are safe or idempotent as in RFC 9110")
{
    CHECK(isSafe("GET"));
    CHECK(isIdempotent("GET"));
    CHECK(isIdempotent("PUT"));
    CHECK_FALSE(isSafe("DELETE"));
    CHECK(isIdempotent("DELETE"));
    for (const auto *method : {"POST", "PATCH", "get", "", "BOOK"}) {
        CAPTURE(method);
        CHECK_FALSE(isIdempotent(method));
    }
}

TEST_CASE("requests that differ in any field have different digests")
{
    const auto north = TeamId("north");
    const auto requests = std::vector<RequestIdentity>{
        {north, "POST", "/rooms/1", "body"},           {north, "POST", "/rooms/1", "bodz"},
        {north, "POST", "/rooms/1?x=1", "body"},       {north, "PUT", "/rooms/1", "body"},
        {TeamId("south"), "POST", "/rooms/1", "body"}, {north, "POST", "/rooms/1b", "ody"},
        {TeamId{}, "POST", "/rooms/1", "body"},
    };
    auto digests = std::set<std::string>{};
    for (const auto &request : requests) {
        CHECK(requestDigest(request) == requestDigest(request));
        digests.insert(requestDigest(request));
    }
    CHECK(digests.size() == requests.size());
    CHECK(digests.begin()->size() == 32);
}

TEST_CASE("deadlines are positive whole milliseconds up to the maximum")
{
    const auto parsed = [](std::string_view text) {
        return valueOrElse([&] { return parseDeadline(text); },
                           [](const Error &) { return milliseconds(-1); });
    };
    CHECK(parsed("1") == milliseconds(1));
    CHECK(parsed("300000") == maxDeadline);
    for (const auto *text :
         {"0", "-5", "300001", "1.5", " 7", "7 ", "", "1e3", "99999999999999999999"}) {
        CAPTURE(text);
        CHECK(parsed(text) == milliseconds(-1));
    }
}

TEST_CASE("a caller may shorten the route's timeout but not extend it")
{
    CHECK(requestDeadline(std::nullopt, seconds(5), start) == start + seconds(5));
    CHECK(requestDeadline(seconds(1), seconds(5), start) == start + seconds(1));
    CHECK(requestDeadline(seconds(9), seconds(5), start) == start + seconds(5));
}

TEST_CASE("each hop has less time than the previous one, and at most the cap on exclusive routes")
{
    struct Row
    {
        microseconds left;
        std::optional<milliseconds> cap;
        std::optional<milliseconds> time;
    };
    const auto rows = std::vector<Row>{
        {seconds(2), std::nullopt, milliseconds(1995)},
        {seconds(2), milliseconds(800), milliseconds(800)},
        {milliseconds(500), milliseconds(800), milliseconds(495)},
        {microseconds(6900), std::nullopt, milliseconds(1)},
        {microseconds(5900), std::nullopt, std::nullopt},
        {milliseconds(-3), milliseconds(800), std::nullopt},
    };
    for (const auto &row : rows) {
        CAPTURE(row.left.count());
        CHECK(timeForNextHop(start + row.left, start, {.cap = row.cap}) == row.time);
    }
}
