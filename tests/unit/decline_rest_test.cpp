#include "figlanding/gateway/decline_rest.h"

#include "figlanding/gateway/slot_types.h"
#include "slot_load.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::test;

namespace {

const auto start = TimePoint{} + seconds(100);

auto declined(std::uint32_t running, std::uint32_t waiting) -> SlotResult
{
    return {.end = SlotEnd::Declined,
            .load = LoadReport{.running = running, .waiting = waiting, .slots = 2}};
}

auto rejection(RejectionKind kind, TimePoint grantedAt) -> SlotRejection
{
    return {.kind = kind, .timeToFreeSlot = milliseconds(50), .grantedAt = grantedAt};
}

auto sheddingServers(int count, double share) -> std::vector<LoadedServer>
{
    auto servers = std::vector<LoadedServer>{};
    for (auto i = 0; i < count; ++i) {
        servers.push_back({.id = BackendServerId(std::to_string(i)), .shedding = share});
    }
    return servers;
}

// Reads with work for 13 of them a second at each server.
auto reads(double perSecond) -> LoadedRoute
{
    return {.id = RouteId("reads"),
            .perSecond = perSecond,
            .work = milliseconds(150),
            .objective = milliseconds(800),
            .deadline = milliseconds(6000),
            .returns = 2};
}

} // namespace

TEST_CASE("a rejection is told by what the server reports of its load")
{
    CHECK(rejectionKindOf(declined(2, 0), false) == RejectionKind::Full);
    CHECK(rejectionKindOf(declined(1, 3), false) == RejectionKind::Full);
    CHECK(rejectionKindOf(declined(1, 0), false) == RejectionKind::Shedding);
    CHECK(rejectionKindOf(declined(1, 0), true) == RejectionKind::Cold);
    CHECK(rejectionKindOf({.end = SlotEnd::Declined}, false) == RejectionKind::Unreported);
    auto leaving = declined(1, 0);
    leaving.terms = ServerTerms{.leaving = true};
    CHECK(rejectionKindOf(leaving, false) == RejectionKind::Leaving);
}

TEST_CASE("a full server rests longer with each rejection, until its slot is free")
{
    auto rest = DeclineRest{};
    auto now = start;
    for (const auto expected : {50, 100, 200, 400, 800, 960, 960}) {
        CHECK(rest.onRejection(rejection(RejectionKind::Full, now), {}, now)
              == milliseconds(expected));
        now = rest.until();
    }
    rest.onRun(true, now);
    CHECK(rest.until() <= now);
    CHECK(rest.onRejection(rejection(RejectionKind::Full, now), {}, now) == milliseconds(50));
}

TEST_CASE("a server that rejects every request counts as full although it reports free slots")
{
    auto rest = DeclineRest{};
    auto now = start;
    auto rests = 0;
    for (auto i = 0; i < 10; ++i) {
        const auto granted = now;
        now += milliseconds(2);
        rests += rest.onRejection(rejection(RejectionKind::Shedding, granted), {}, now)
                > Duration::zero()
            ? 1
            : 0;
        now = std::max(now, rest.until()) + milliseconds(1);
    }
    CHECK(rests == 5);
}

TEST_CASE("a leaving server gets nothing more")
{
    auto broker = SlotBroker({}, 1);
    const auto service = ServiceId("rooms#0");
    const auto server =
        BrokeredServer{.incarnation = {.server = BackendServerId("s1"), .startedUnixMs = 1}};
    broker.setServers(service, {server});
    const auto request = [&](std::uint64_t number) {
        return SlotRequest{.id = {.vm = VmId("vm"), .number = number},
                           .service = service,
                           .deadline = start + seconds(2)};
    };
    broker.acquire(request(1), start);
    broker.release(request(1).id, {.end = SlotEnd::Declined, .terms = ServerTerms{.leaving = true}},
                   start);
    static_cast<void>(broker.takeDecisions());
    broker.acquire(request(2), start + seconds(1));
    const auto decisions = broker.takeDecisions();
    REQUIRE(decisions.size() == 1);
    CHECK(std::holds_alternative<SlotRefusal>(decisions.front().outcome));
}

TEST_CASE("callers are served in time by servers that reject 40 % of requests at random")
{
    auto load = SlotLoad(sheddingServers(24, 0.4), 7);
    const auto outcome = load.run({reads(240.0)}, seconds(10)).at(RouteId("reads"));
    CHECK(outcome.inAim * 10 >= outcome.callers * 9);
    CHECK(outcome.refused * 20 <= outcome.callers);
}

TEST_CASE("a server that sheds gets fewer requests than its sound neighbours")
{
    auto servers = sheddingServers(12, 0.0);
    servers.front().shedding = 0.4;
    auto load = SlotLoad(servers, 7);
    const auto outcome = load.run({reads(120.0)}, seconds(10)).at(RouteId("reads"));
    CHECK(outcome.inAim * 100 >= outcome.callers * 99);
    const auto rejected = load.rejections().at(servers.front().id);
    CHECK(rejected * 12 < outcome.callers * 0.4); // it would reject these of an equal share
}

TEST_CASE("full servers are asked seldom and cost callers little")
{
    auto servers = sheddingServers(12, 0.0);
    for (auto i = 0; i < 3; ++i) {
        servers.at(static_cast<std::size_t>(i)).takenSlots = 2;
    }
    auto load = SlotLoad(servers, 7);
    const auto outcome = load.run({reads(100.0)}, seconds(10)).at(RouteId("reads"));
    CHECK(outcome.inAim * 100 >= outcome.callers * 99);
    for (const auto &[server, count] : load.rejections()) {
        CHECK(count <= 20);
    }
}

TEST_CASE("rejections with a free slot do not lengthen the first rest of a full server")
{
    const auto options = DeclineRestOptions{};
    auto rest = DeclineRest();
    auto now = start;
    for (std::uint32_t i = 1; i < options.believedRejections; ++i) {
        now += milliseconds(10);
        CHECK(rest.onRejection(rejection(RejectionKind::Shedding, now), options, now)
              == Duration::zero());
    }
    now += milliseconds(10);
    CHECK(rest.onRejection(rejection(RejectionKind::Full, now), options, now) == milliseconds(50));
}
