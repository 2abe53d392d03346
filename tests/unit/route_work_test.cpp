#include "figlanding/gateway/route_work.h"

#include "slot_load.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::test;

namespace {

const auto photos = RouteId("photos");
const auto downloads = RouteId("downloads");

// Capacity: 12 servers of two slots, 24 seconds of work in a second.
auto servers() -> std::vector<LoadedServer>
{
    auto result = std::vector<LoadedServer>{};
    for (auto i = 0; i < 12; ++i) {
        result.push_back(
            {.id = BackendServerId(std::to_string(i)), .speed = i % 3 == 0 ? 1.6 : 0.7});
    }
    return result;
}

// Short urgent downloads and long photos that together need a multiple of the capacity; a fifth of
// the work are downloads.
auto mixedLoad(double multiple) -> std::vector<LoadedRoute>
{
    constexpr auto capacity = 24.0; // seconds of work, as the servers' mean speed is 1
    return {{.id = downloads,
             .perSecond = multiple * capacity * 0.2 / 0.13,
             .work = milliseconds(130),
             .priority = 1,
             .objective = milliseconds(1500),
             .deadline = milliseconds(6000)},
            {.id = photos,
             .perSecond = multiple * capacity * 0.8 / 0.64,
             .work = milliseconds(640),
             .priority = 2,
             .objective = milliseconds(5000),
             .deadline = milliseconds(10000)}};
}

// Returns what is known after long requests of one route and then short ones of another.
auto shortAfterLong() -> RouteWork
{
    auto work = RouteWork();
    work.add(photos, 1.0);
    for (auto i = 0; i < 30; ++i) {
        work.add(downloads, 0.05);
    }
    return work;
}

} // namespace

TEST_CASE("the work of routes is learnt on servers of different speed")
{
    auto work = RouteWork{};
    auto times = std::vector<double>(4, 0.0);
    for (auto i = 0U; i < 2000; ++i) {
        auto &server = times.at(i % times.size());
        const auto isPhoto = i % 7 < 2;
        const auto elapsed = (isPhoto ? 640.0 : 130.0) * (1.0 + i % 4U);
        const auto &route = isPhoto ? photos : downloads;
        if (server > 0.0) {
            work.add(route, elapsed / server);
        }
        const auto sample = elapsed / work.factor(route);
        server = server == 0.0 ? sample : server + 0.08 * (sample - server);
    }
    CHECK(work.factor(photos) / work.factor(downloads)
          == doctest::Approx(640.0 / 130.0).epsilon(0.1));
    CHECK(times.at(3) / times.at(0) == doctest::Approx(4.0).epsilon(0.1));
    CHECK(work.factor(RouteId("new")) == work.mean());
}

TEST_CASE("a route without others has the factor one, and servers that turn slow change no route")
{
    auto work = RouteWork{};
    work.add(photos, 5.0);
    CHECK(work.factor(photos) == 1.0);
    for (auto i = 0; i < 200; ++i) {
        work.add(photos, 2.0);
        work.add(downloads, 0.5);
    }
    const auto ratio = work.factor(photos) / work.factor(downloads);
    for (auto i = 0; i < 50; ++i) {
        work.add(downloads, 1.5); // all servers take three times as long, and no photos come
    }
    const auto after = work.factor(photos) / work.factor(downloads);
    CHECK(after > ratio * 0.66);
    CHECK(after < ratio * 1.5);
}

TEST_CASE("a route without samples counts as the recent requests of the others")
{
    const auto work = shortAfterLong();
    CHECK(work.mean() < 0.5);
    CHECK(work.factor(RouteId("new")) == work.mean());
}

TEST_CASE("factors that left one are brought back to it without a change of their ratios")
{
    auto work = shortAfterLong();
    const auto factor = work.factor(downloads);
    const auto ratio = work.factor(photos) / factor;
    const auto scale = work.rebase();
    CHECK(scale < 0.5);
    CHECK(work.mean() == 1.0);
    CHECK(work.factor(downloads) * scale == doctest::Approx(factor));
    CHECK(work.factor(photos) / work.factor(downloads) == doctest::Approx(ratio));
    CHECK(work.rebase() == 1.0);
}

TEST_CASE("10 s at 1.3 times the capacity: short urgent requests are not refused for long ones")
{
    auto load = SlotLoad(servers(), 3);
    const auto outcomes = load.run(mixedLoad(1.3), seconds(10));
    const auto &urgent = outcomes.at(downloads);
    CHECK(urgent.refused * 50 <= urgent.callers);
    CHECK(urgent.inAim * 10 >= urgent.callers * 9);
    const auto &others = outcomes.at(photos);
    CHECK((others.inAim + others.late) * 2 >= others.callers);
}

TEST_CASE(
    "1 s at 3 times the capacity: nobody urgent is refused, and no caller is refused for ever")
{
    auto load = SlotLoad(servers(), 3);
    const auto outcomes = load.run(mixedLoad(3.0), seconds(1));
    CHECK(outcomes.at(downloads).refused == 0);
    const auto &others = outcomes.at(photos);
    CHECK(others.refused * 10 <= others.callers);
    CHECK(others.refusals <= others.callers);
}

TEST_CASE("urgent requests beyond the capacity do not keep a few less urgent ones out for ever")
{
    auto load = SlotLoad(servers(), 3);
    auto routes = mixedLoad(1.0);
    routes.front().perSecond = 1.3 * 24.0 / 0.13;
    routes.back().perSecond = 0.05 * 24.0 / 0.64;
    routes.back().objective = milliseconds(1500);
    const auto outcomes = load.run(routes, seconds(20));
    const auto &others = outcomes.at(photos);
    CHECK(others.refused * 10 <= others.callers);
    const auto &urgent = outcomes.at(downloads);
    CHECK((urgent.inAim + urgent.late) * 10 >= urgent.callers * 6);
}

TEST_CASE("a request that stalls does not make its route seem unservable")
{
    auto work = RouteWork();
    for (auto i = 0; i < 200; ++i) {
        work.add(photos, 1.0);
        work.add(downloads, 1.0);
    }
    work.add(downloads, 500.0);
    CHECK(work.factor(downloads) < 1.2);
}
