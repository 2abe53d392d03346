#include "figlanding/lease_renewal.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
const auto s1 = BackendServerId("s1");
const auto s2 = BackendServerId("s2");

auto at(int ms) -> TimePoint
{
    return start + milliseconds(ms);
}

auto moveOf(const BackendServerId &owner, LogOffset begin) -> OpenMove
{
    return {.service = ServiceId("rooms"),
            .begin = begin,
            .owners = {{owner, MovingItems{.shards = {0}}}}};
}

} // namespace

TEST_CASE("an old owner's lease is renewed until the last older view expires")
{
    auto renewal = LeaseRenewal{};
    CHECK(renewal.mayRenew(s1, at(0)));
    renewal.onState({moveOf(s1, 7)}, at(500));
    renewal.onState({moveOf(s1, 7)}, at(900));
    CHECK(renewal.mayRenew(s1, at(499)));
    CHECK_FALSE(renewal.mayRenew(s1, at(500)));
    CHECK(renewal.mayRenew(s2, at(500)));
    renewal.onState({}, at(2000));
    CHECK(renewal.mayRenew(s1, at(1000)));
}

TEST_CASE("each open move of a server limits its lease, and an unknown view expiry forbids renewal")
{
    auto renewal = LeaseRenewal{};
    renewal.onState({moveOf(s1, 7)}, at(500));
    renewal.onState({moveOf(s1, 7), moveOf(s1, 9)}, at(700));
    CHECK_FALSE(renewal.mayRenew(s1, at(600)));
    renewal.onState({moveOf(s1, 9)}, at(900));
    CHECK(renewal.mayRenew(s1, at(600)));
    CHECK_FALSE(renewal.mayRenew(s1, at(700)));
    renewal.onState({moveOf(s2, 11)}, std::nullopt);
    CHECK_FALSE(renewal.mayRenew(s2, at(0)));
}
