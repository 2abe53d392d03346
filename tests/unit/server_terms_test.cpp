#include "figlanding/gateway/server_terms.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);

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
    limit.onReport(4.0, start);
    CHECK(limit.requestsPerSecond(start + seconds(2)) == 4.0);
    CHECK_FALSE(limit.isRecent(start)); // it is not passed on further
    CHECK_FALSE(limit.requestsPerSecond(start + seconds(4)));
    CHECK(limit.accepts(1.0, start + seconds(4)));
    limit.onTerms(stated(2.0), start + seconds(5), start + seconds(5));
    limit.onReport(4.0, start + seconds(6));
    CHECK(limit.requestsPerSecond(start + seconds(30)) == 2.0);
}

TEST_CASE("a server that accepts nothing still gets a request every few seconds")
{
    auto limit = StatedLimit();
    limit.onTerms(stated(0.0), start, start);
    CHECK(requestsIn(limit, start, milliseconds(4000)) <= 1);
    CHECK(requestsIn(limit, start + seconds(4), milliseconds(4001)) >= 1);
}
