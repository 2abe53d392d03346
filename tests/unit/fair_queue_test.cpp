#include "figlanding/fair_queue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto loud = TeamId("loud");
const auto quiet = TeamId("quiet");

} // namespace

TEST_CASE("a team with few items alternates with a team that has many")
{
    auto queue = FairQueue<int>({.maxItems = 100, .maxItemsPerTeam = 50});
    for (auto item = 0; item < 40; ++item) {
        CHECK(queue.push(loud, item).accepted);
    }
    CHECK(queue.itemsAhead(quiet) == 1);
    CHECK(queue.push(quiet, 1000).accepted);
    CHECK(queue.push(quiet, 1001).accepted);
    auto served = std::vector<int>{};
    for (auto turn = 0; turn < 4; ++turn) {
        served.push_back(queue.pop().value());
    }
    CHECK(served == std::vector<int>{0, 1000, 1, 1001});
    CHECK(queue.countOf(quiet) == 0);
    CHECK(queue.size() == 38);
}

TEST_CASE("teams get equal shares of the served cost, not of the number of items")
{
    auto queue = FairQueue<std::string>({.quantum = 2.0});
    for (auto item = 0; item < 60; ++item) {
        CHECK(queue.push(loud, "costly", 4.0).accepted);
        CHECK(queue.push(quiet, "cheap", 1.0).accepted);
    }
    auto cheap = 0;
    for (auto turn = 0; turn < 50; ++turn) {
        cheap += queue.pop().value() == "cheap" ? 1 : 0;
    }
    CHECK(cheap == 40);
}

TEST_CASE("a full queue evicts the newest item of the team with the most items")
{
    auto queue = FairQueue<int>({.maxItems = 4, .maxItemsPerTeam = 4});
    for (auto item = 0; item < 4; ++item) {
        CHECK(queue.push(loud, item).accepted);
    }
    CHECK_FALSE(queue.push(loud, 4).accepted);
    const auto first = queue.push(quiet, 10);
    CHECK(first.accepted);
    CHECK(first.evicted == 3);
    CHECK(queue.push(quiet, 11).evicted == 2);
    // With equal shares no item is evicted.
    CHECK_FALSE(queue.push(quiet, 12).accepted);
    CHECK(queue.size() == 4);
}

TEST_CASE("removed items are not served")
{
    auto queue = FairQueue<int>({});
    CHECK(queue.push(loud, 1).accepted);
    CHECK(queue.push(quiet, 2).accepted);
    auto removed = std::vector<int>{};
    queue.removeIf([](int item) { return item == 1; },
                   [&removed](int item) { removed.push_back(item); });
    CHECK(removed == std::vector<int>{1});
    CHECK(queue.push(loud, 3).accepted);
    CHECK(queue.pop().has_value());
    CHECK(queue.pop().has_value());
    CHECK_FALSE(queue.pop().has_value());
    CHECK(queue.size() == 0);
}

TEST_CASE("a team whose items were removed does not get two turns afterwards")
{
    auto queue = FairQueue<int>({});
    CHECK(queue.push(loud, 0).accepted);
    queue.removeIf([](int) { return true; }, [](int) {});
    for (auto item = 1; item <= 3; ++item) {
        CHECK(queue.push(loud, item).accepted);
        CHECK(queue.push(quiet, 10 * item).accepted);
    }
    auto served = std::vector<int>{};
    while (const auto item = queue.pop()) {
        served.push_back(*item);
    }
    CHECK(served == std::vector<int>{1, 10, 2, 20, 3, 30});
}
