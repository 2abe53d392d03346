#include "figlanding/gateway/store_outage.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);

} // namespace

TEST_CASE("an outage lasts from the first failed read to the first answer after the last one")
{
    auto outage = StoreOutage();
    CHECK_FALSE(outage.onAnswer(start, start));
    CHECK(outage.onFailure(start + seconds(1)));
    CHECK_FALSE(outage.onFailure(start + seconds(2)));
    CHECK_FALSE(outage.lastEnd());
    CHECK(outage.onAnswer(start + seconds(3), start + seconds(3)));
    CHECK_FALSE(outage.onAnswer(start + seconds(4), start + seconds(4)));
    CHECK(outage.lastEnd() == start + seconds(3));
}

TEST_CASE("an answer that may be older than the last failed read does not end an outage")
{
    auto outage = StoreOutage();
    CHECK(outage.onFailure(start));
    CHECK_FALSE(outage.onFailure(start + seconds(2)));
    CHECK_FALSE(outage.onAnswer(start + milliseconds(1999), start + seconds(3)));
    CHECK(outage.onAnswer(start + seconds(2), start + seconds(3)));
    CHECK(outage.lastEnd() == start + seconds(3));
}

TEST_CASE("failures that end soon are no outage, and do not hide the one before")
{
    auto outage = StoreOutage();
    CHECK(outage.onFailure(start));
    CHECK(outage.onAnswer(start + milliseconds(800), start + milliseconds(800)));
    CHECK_FALSE(outage.lastEnd());
    CHECK(outage.onFailure(start + seconds(1)));
    CHECK(outage.onAnswer(start + seconds(2), start + seconds(2)));
    CHECK(outage.onFailure(start + seconds(3)));
    CHECK(outage.onAnswer(start + seconds(3), start + seconds(3)));
    CHECK(outage.lastEnd() == start + seconds(2));
}
