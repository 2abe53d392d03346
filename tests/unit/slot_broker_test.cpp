#include "figlanding/gateway/slot_broker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto service = ServiceId("rooms#0");

auto server(const std::string &name, std::uint32_t slots) -> BrokeredServer
{
    return {.incarnation = {.server = BackendServerId(name), .startedUnixMs = 1},
            .zone = AvailabilityZoneId("a"),
            .slots = slots};
}

auto request(std::uint64_t number, TimePoint now) -> SlotRequest
{
    return {.id = {.vm = VmId("vm"), .number = number},
            .service = service,
            .priority = 1,
            .zone = AvailabilityZoneId("a"),
            .arrivedAt = now,
            .objectiveAt = now + milliseconds(300),
            .deadline = now + milliseconds(1000)};
}

auto served(milliseconds elapsed) -> SlotResult
{
    return {.end = SlotEnd::Served, .elapsed = elapsed};
}

auto grantedTo(const std::vector<SlotDecision> &decisions, std::uint64_t number) -> std::string
{
    for (const auto &decision : decisions) {
        const auto *grant = std::get_if<SlotGrant>(&decision.outcome);
        if (decision.id.number == number) {
            return grant == nullptr ? "refused" : grant->server.server.value();
        }
    }
    return "waiting";
}

} // namespace

TEST_CASE("a server gets no more requests than it has slots")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 2)});
    for (std::uint64_t number = 1; number <= 4; ++number) {
        broker.acquire(request(number, start), start);
    }
    auto decisions = broker.takeDecisions();
    CHECK(grantedTo(decisions, 2) == "s1");
    CHECK(grantedTo(decisions, 3) == "waiting");
    CHECK(broker.running() == 2);
    broker.release({.vm = VmId("vm"), .number = 1}, served(milliseconds(100)), start);
    CHECK(grantedTo(broker.takeDecisions(), 3) == "s1");
}

TEST_CASE("slots go to the most urgent request, then to one that can still meet its objective")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    broker.acquire(request(1, start), start);
    auto late = request(2, start);
    late.objectiveAt = start - milliseconds(1);
    broker.acquire(late, start);
    broker.acquire(request(3, start), start);
    auto urgent = request(4, start);
    urgent.priority = 0;
    broker.acquire(urgent, start);
    static_cast<void>(broker.takeDecisions());
    const auto order = std::vector<std::uint64_t>{4, 3, 2};
    auto running = std::uint64_t{1};
    for (const auto next : order) {
        broker.release({.vm = VmId("vm"), .number = running}, served(milliseconds(50)), start);
        CHECK(grantedTo(broker.takeDecisions(), next) == "s1");
        running = next;
    }
}

TEST_CASE("a request that cannot be served in time is refused immediately with a retry delay")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    auto refused = 0;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        broker.acquire(request(number, start), start);
    }
    for (const auto &decision : broker.takeDecisions()) {
        if (const auto *refusal = std::get_if<SlotRefusal>(&decision.outcome)) {
            ++refused;
            CHECK(refusal->retryAfter > milliseconds(100));
        }
    }
    CHECK(refused >= 12); // one server runs about 7 requests of 150 ms in a second
    CHECK(refused <= 15);
}

TEST_CASE("requests that overtake a queued one cause its refusal before its deadline")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    broker.acquire(request(1, start), start);
    auto late = request(2, start);
    late.objectiveAt = start - milliseconds(1);
    broker.acquire(late, start);
    auto number = std::uint64_t{10};
    for (auto i = 0; i < 6; ++i) {
        auto fresh = request(number++, start);
        fresh.deadline = start + milliseconds(3000);
        broker.acquire(fresh, start);
    }
    static_cast<void>(broker.takeDecisions());
    broker.tick(start + milliseconds(25));
    CHECK(grantedTo(broker.takeDecisions(), 2) == "refused");
}

TEST_CASE("a timeout of a request that had little time left does not pause its server")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1},
                   {.end = SlotEnd::TimedOut, .elapsed = milliseconds(100)}, start);
    broker.acquire(request(2, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 2) == "s1");
    for (const std::uint64_t number : {std::uint64_t{2}, std::uint64_t{3}}) {
        broker.acquire(request(number, start), start);
        broker.release({.vm = VmId("vm"), .number = number},
                       {.end = SlotEnd::TimedOut, .elapsed = milliseconds(900)}, start);
    }
    static_cast<void>(broker.takeDecisions());
    broker.acquire(request(4, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 4) != "s1");
}

TEST_CASE("one lost response limits a server to one request at a time until its next response")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 2)});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1}, {.end = SlotEnd::Lost}, start);
    broker.acquire(request(2, start), start);
    broker.acquire(request(3, start), start);
    auto decisions = broker.takeDecisions();
    CHECK(grantedTo(decisions, 2) == "s1");
    CHECK(grantedTo(decisions, 3) == "waiting");
    broker.release({.vm = VmId("vm"), .number = 2}, served(milliseconds(50)), start);
    broker.acquire(request(4, start), start);
    decisions = broker.takeDecisions();
    CHECK(grantedTo(decisions, 3) == "s1");
    CHECK(grantedTo(decisions, 4) == "s1");
}

TEST_CASE(
    "a server that recovers from losses is treated as cold until a restart would be announced")
{
    auto broker = SlotBroker({}, 1);
    auto known = server("s1", 10);
    known.coldRequestsPerSecond = 4.8;
    broker.setServers(service, {known});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1}, {.end = SlotEnd::Unreachable}, start);
    auto now = start + milliseconds(600);
    broker.acquire(request(2, now), now);
    broker.release({.vm = VmId("vm"), .number = 2}, served(milliseconds(20)), now);
    static_cast<void>(broker.takeDecisions());
    const auto grantsOf = [&](std::uint64_t first) {
        auto grants = 0;
        for (auto number = first; number < first + 8; ++number) {
            broker.acquire(request(number, now), now);
        }
        for (const auto &decision : broker.takeDecisions()) {
            grants += std::holds_alternative<SlotGrant>(decision.outcome) ? 1 : 0;
        }
        return grants;
    };
    now += milliseconds(20);
    CHECK(grantsOf(10) <= 3);
    now += milliseconds(2500);
    broker.tick(now);
    CHECK(grantsOf(30) >= 5);
}

TEST_CASE("an unreachable server is paused, then probed with a single request")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 2)});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1}, {.end = SlotEnd::Unreachable}, start);
    broker.acquire(request(9, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 9) == "waiting");
    broker.release({.vm = VmId("vm"), .number = 9}, {.end = SlotEnd::Abandoned}, start);
    const auto later = start + milliseconds(600);
    broker.acquire(request(2, later), later);
    broker.acquire(request(3, later), later);
    auto decisions = broker.takeDecisions();
    CHECK(grantedTo(decisions, 2) == "s1");
    CHECK(grantedTo(decisions, 3) == "waiting");
    broker.release({.vm = VmId("vm"), .number = 2}, served(milliseconds(50)), later);
    broker.acquire(request(4, later), later);
    decisions = broker.takeDecisions();
    CHECK(grantedTo(decisions, 3) == "s1");
    CHECK(grantedTo(decisions, 4) == "s1");
}

TEST_CASE("a cold server gets no more requests in any second than its cold rate allows")
{
    auto broker = SlotBroker({}, 1);
    auto cold = server("s1", 10);
    cold.coldRequestsPerSecond = 4.8;
    cold.coldUntil = start + seconds(3);
    broker.setServers(service, {cold});
    auto grants = std::vector<TimePoint>{};
    auto number = std::uint64_t{1};
    for (auto now = start; now < start + seconds(3); now += milliseconds(10)) {
        broker.acquire(request(number, now), now);
        broker.tick(now);
        for (const auto &decision : broker.takeDecisions()) {
            if (std::holds_alternative<SlotGrant>(decision.outcome)) {
                grants.push_back(now);
                broker.release(decision.id, served(milliseconds(5)), now);
            }
        }
        ++number;
    }
    for (const auto &first : grants) {
        CHECK(std::count_if(grants.begin(), grants.end(),
                            [&](TimePoint at) { return at >= first && at < first + seconds(1); })
              <= 3); // 0.65 of 4.8, rounded down
    }
    CHECK(grants.size() >= 9); // the full rate in each of the three seconds
}

TEST_CASE("acquiring is idempotent, and the slot of an unresponsive VM is reclaimed")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    broker.acquire(request(1, start), start);
    broker.acquire(request(1, start), start);
    CHECK(broker.takeDecisions().size() == 2);
    CHECK(broker.running() == 1);
    broker.acquire(request(2, start), start);
    broker.acquire(request(2, start), start);
    CHECK(broker.waiting() == 1);
    const auto later = start + seconds(2);
    auto next = request(3, later);
    broker.tick(later);
    broker.acquire(next, later);
    CHECK(grantedTo(broker.takeDecisions(), 3) == "s1");
}

TEST_CASE("the faster server is selected, unless it is currently slow")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("fast", 2), server("slow", 2)});
    auto number = std::uint64_t{1};
    for (auto i = 0; i < 40; ++i) {
        broker.acquire(request(number, start), start);
        const auto chosen = grantedTo(broker.takeDecisions(), number);
        broker.release({.vm = VmId("vm"), .number = number},
                       served(milliseconds(chosen == "fast" ? 50 : 200)), start);
        ++number;
    }
    broker.acquire(request(100, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 100) == "fast");
    broker.release({.vm = VmId("vm"), .number = 100},
                   {.end = SlotEnd::Served,
                    .elapsed = milliseconds(400),
                    .load = LoadReport{.slots = 2, .slowness = 8.0}},
                   start);
    broker.acquire(request(101, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 101) == "slow");
}

TEST_CASE("losses seen by one zone pause a server for that zone, losses seen by two zones for all")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 4)});
    const auto acquireFrom = [&](std::uint64_t number, const char *zone) {
        auto zoneRequest = request(number, start);
        zoneRequest.zone = AvailabilityZoneId(zone);
        broker.acquire(zoneRequest, start);
        return grantedTo(broker.takeDecisions(), number);
    };
    const auto lose = [&](std::uint64_t number) {
        broker.release({.vm = VmId("vm"), .number = number}, {.end = SlotEnd::Unreachable}, start);
    };
    CHECK(acquireFrom(1, "a") == "s1");
    lose(1);
    CHECK(acquireFrom(2, "a") == "waiting");
    CHECK(acquireFrom(3, "b") == "s1");
    CHECK(acquireFrom(4, "c") == "s1");
    lose(3);
    CHECK(acquireFrom(5, "c") == "waiting");
}

TEST_CASE("a probe that its VM never releases does not block the server for its zone")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 2)});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1}, {.end = SlotEnd::Unreachable}, start);
    const auto probeAt = start + seconds(1);
    broker.acquire(request(2, probeAt), probeAt);
    static_cast<void>(broker.takeDecisions());
    const auto later = probeAt + seconds(2);
    broker.tick(later);
    broker.acquire(request(3, later), later);
    CHECK(grantedTo(broker.takeDecisions(), 3) == "s1");
}

TEST_CASE("a server that declines every request gets fewer and fewer of them until it runs one")
{
    constexpr auto step = milliseconds(10);
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 2)});
    auto declined = 0;
    auto number = std::uint64_t{1};
    const auto end = start + seconds(8);
    for (auto now = start; now < end; now += step) {
        broker.acquire(request(number, now), now);
        for (const auto &decision : broker.takeDecisions()) {
            if (std::holds_alternative<SlotGrant>(decision.outcome)) {
                ++declined;
                broker.release(decision.id, {.end = SlotEnd::Declined}, now);
            }
        }
        broker.release({.vm = VmId("vm"), .number = number++}, {.end = SlotEnd::Abandoned}, now);
    }
    CHECK(declined >= 8); // it is asked again within a second
    CHECK(declined <= 16);
    const auto probedAt = end + seconds(1);
    broker.acquire(request(number, probedAt), probedAt);
    CHECK(grantedTo(broker.takeDecisions(), number) == "s1");
    broker.release({.vm = VmId("vm"), .number = number}, served(milliseconds(50)), probedAt);
    broker.acquire(request(++number, probedAt), probedAt);
    broker.release({.vm = VmId("vm"), .number = number}, {.end = SlotEnd::Declined}, probedAt);
    static_cast<void>(broker.takeDecisions());
    const auto soon = probedAt + milliseconds(61);
    broker.acquire(request(++number, soon), soon);
    CHECK(grantedTo(broker.takeDecisions(), number) == "s1");
}

TEST_CASE("requests that a full server declines together pause it once")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 4)});
    for (std::uint64_t number = 1; number <= 4; ++number) {
        broker.acquire(request(number, start), start);
    }
    for (std::uint64_t number = 1; number <= 4; ++number) {
        broker.release({.vm = VmId("vm"), .number = number}, {.end = SlotEnd::Declined},
                       start + milliseconds(number));
    }
    static_cast<void>(broker.takeDecisions());
    const auto later = start + milliseconds(70);
    broker.acquire(request(9, later), later);
    CHECK(grantedTo(broker.takeDecisions(), 9) == "s1");
}

TEST_CASE("a server that states a limit gets the requests of its limit, and the others are refused")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 6)});
    broker.acquire(request(1, start), start);
    auto result = served(milliseconds(100));
    result.terms = ServerTerms{.requestsPerSecond = 5.0};
    broker.release({.vm = VmId("vm"), .number = 1}, result, start);
    static_cast<void>(broker.takeDecisions());
    auto granted = 0;
    auto refused = 0;
    auto number = std::uint64_t{2};
    for (auto time = milliseconds(0); time < seconds(4); time += milliseconds(25)) {
        broker.acquire(request(number++, start + time), start + time);
        broker.tick(start + time);
        for (const auto &decision : broker.takeDecisions()) {
            if (const auto *refusal = std::get_if<SlotRefusal>(&decision.outcome)) {
                ++refused;
                CHECK(refusal->retryAfter > milliseconds(100));
                continue;
            }
            ++granted;
            broker.release(decision.id, result, start + time);
        }
    }
    CHECK(granted <= 21);
    CHECK(granted >= 18);
    CHECK(refused >= 130);
    CHECK(broker.waiting() <= 5); // as many as one second allows
}

TEST_CASE("a VM that takes servers over knows the limits that they stated to the VM before")
{
    auto before = SlotBroker({}, 1);
    before.setServers(service, {server("s1", 6)});
    before.acquire(request(1, start), start);
    auto result = served(milliseconds(100));
    result.terms = ServerTerms{.requestsPerSecond = 5.0};
    before.release({.vm = VmId("vm"), .number = 1}, result, start);
    const auto reports = before.statedLimits(start);
    REQUIRE(reports.size() == 1);
    auto after = SlotBroker({}, 2);
    after.setServers(service, {server("s1", 6)});
    after.onLimitReport(VmId("before"), reports.front(), start);
    for (std::uint64_t number = 2; number < 8; ++number) {
        after.acquire(request(number, start), start);
    }
    CHECK(after.running() == 0);
    CHECK(after.statedLimits(start).empty());
}

TEST_CASE("a VM that reports an impossible service time does not make a server seem too slow")
{
    auto broker = SlotBroker({}, 1);
    broker.setServers(service, {server("s1", 1)});
    broker.acquire(request(1, start), start);
    broker.release({.vm = VmId("vm"), .number = 1}, served(std::chrono::hours(1)), start);
    CHECK(broker.running() == 0);
    broker.acquire(request(2, start), start);
    CHECK(grantedTo(broker.takeDecisions(), 2) == "s1");
    const auto longest = milliseconds(1500); // of a request that ends before its slot is reclaimed
    broker.release({.vm = VmId("vm"), .number = 2}, served(longest), start);
    CHECK(broker.serviceTimes().at(BackendServerId("s1")) == longest);
}
