#include "slot_load.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::test;

namespace {

const auto busy = RouteId("busy");
const auto rare = RouteId("rare");
const auto otherRare = RouteId("other-rare");
constexpr auto loadTime = seconds(10);
constexpr auto servers = 6;
constexpr auto slotsOfServer = 2;

auto sixServers() -> std::vector<LoadedServer>
{
    auto result = std::vector<LoadedServer>{};
    for (auto i = 0; i < servers; ++i) {
        result.push_back({.id = BackendServerId(std::to_string(i)), .slots = slotsOfServer});
    }
    return result;
}

// An urgent route that needs 1.5 times the capacity of the slots.
auto busyRoute(int slots) -> LoadedRoute
{
    constexpr auto work = milliseconds(100);
    return {.id = busy,
            .perSecond = 1.5 * slots * (seconds(1) / work),
            .work = work,
            .priority = 1,
            .objective = milliseconds(800),
            .deadline = milliseconds(3000)};
}

// A route of less urgency that appears in the middle and has few requests.
auto rareRoute(const RouteId &id) -> LoadedRoute
{
    return {.id = id,
            .perSecond = 2.0,
            .work = milliseconds(100),
            .priority = 2,
            .objective = milliseconds(800),
            .deadline = milliseconds(3000),
            .from = milliseconds(4000)};
}

// The users' rule: added routes are served at least a quarter as often as the first ones.
auto isServedEnough(const CallerOutcomes &added, const CallerOutcomes &first) -> bool
{
    const auto served = [](const CallerOutcomes &route) { return route.inAim + route.late; };
    return 4 * served(added) * first.callers >= served(first) * added.callers;
}

} // namespace

// Guards against requests of a rare route that are all refused on arrival.
TEST_CASE("a rare route of less urgency that appears in overload is served")
{
    auto load = SlotLoad(sixServers(), 3);
    const auto outcomes = load.run({busyRoute(servers * slotsOfServer), rareRoute(rare)}, loadTime);
    CHECK(isServedEnough(outcomes.at(rare), outcomes.at(busy)));
}

TEST_CASE("two rare routes of less urgency that appear in overload are served")
{
    auto load = SlotLoad(sixServers(), 3);
    const auto outcomes = load.run(
        {busyRoute(servers * slotsOfServer), rareRoute(rare), rareRoute(otherRare)}, loadTime);
    CHECK(isServedEnough(outcomes.at(rare), outcomes.at(busy)));
    CHECK(isServedEnough(outcomes.at(otherRare), outcomes.at(busy)));
}

TEST_CASE("a rare route of less urgency is served by a full owner of its keys")
{
    auto load = SlotLoad(sixServers(), 3);
    auto first = busyRoute(slotsOfServer);
    auto added = rareRoute(rare);
    first.owner = BackendServerId("1");
    added.owner = first.owner;
    const auto outcomes = load.run({first, added}, loadTime);
    CHECK(isServedEnough(outcomes.at(rare), outcomes.at(busy)));
}

TEST_CASE("a rare route of less urgency is served although its first request is long")
{
    auto load = SlotLoad(sixServers(), 3);
    auto added = rareRoute(rare);
    added.firstWork = milliseconds(1500);
    const auto outcomes = load.run({busyRoute(servers * slotsOfServer), added}, loadTime);
    CHECK(isServedEnough(outcomes.at(rare), outcomes.at(busy)));
}

// Guards against new routes that seem many times as long as the others, whose scale has drifted.
TEST_CASE("a new urgent route is served after a minute of requests whose times vary much")
{
    auto load = SlotLoad(sixServers(), 3);
    auto routes = std::vector<LoadedRoute>{};
    for (const auto work : {20, 80, 140, 200}) {
        routes.push_back({.id = RouteId(std::to_string(work)),
                          .perSecond = 10.0,
                          .work = milliseconds(work),
                          .priority = 1,
                          .objective = milliseconds(1000),
                          .deadline = milliseconds(9000),
                          .spread = 1.3});
    }
    load.run(routes, seconds(60));
    auto added = rareRoute(rare);
    added.priority = 0;
    added.work = milliseconds(20);
    added.objective = milliseconds(400);
    added.deadline = milliseconds(400);
    routes.push_back(added);
    const auto outcomes = load.run(routes, loadTime);
    CHECK(isServedEnough(outcomes.at(rare), outcomes.at(RouteId("20"))));
}
