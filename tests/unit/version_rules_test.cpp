#include "figlanding/gateway/ordered_version.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/version_arrivals.h"
#include "figlanding/gateway/version_rules.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(1000);
const ServiceId service("rooms");

auto server(const std::string &id, const std::string &version) -> ServerEntry
{
    return {.id = BackendServerId(id), .service = service, .version = ServerVersion(version)};
}

auto record(RolloutPhase phase, double share) -> RolloutRecord
{
    return {.service = service,
            .version = ServerVersion("v2"),
            .phase = phase,
            .share = share,
            .trialServers = {BackendServerId("n1")}};
}

auto rulesOf(const RolloutRecord &record) -> VersionRules
{
    return {{service, ruleOf(record)}};
}

} // namespace

TEST_CASE("a service without an order is served by all its servers, whatever their versions")
{
    CHECK(poolsOf({}, server("o1", "v1")) == std::vector{service});
    CHECK(poolsOf({}, server("n1", "v2")) == std::vector{service});
    CHECK(allowsRequests({}, server("n1", "v2")));
    CHECK(allowsKeys({}, server("n1", "v2")));
    CHECK(choosePool({}, service, false, 0.0) == service);
    CHECK_FALSE(fallbackPool({}, service, service));
}

TEST_CASE("the share on trial holds over all requests, and retries go to the version in force")
{
    const auto rules = rulesOf(record(RolloutPhase::Trial, 0.08));
    auto random = std::mt19937_64(1);
    auto unit = std::uniform_real_distribution<double>(0.0, 1.0);
    auto chosen = std::map<ServiceId, int>{};
    for (int i = 0; i < 100'000; ++i) {
        chosen[choosePool(rules, service, false, unit(random))] += 1;
    }
    CHECK(chosen.size() == 2);
    CHECK(chosen[service] > 91'500);
    CHECK(chosen[service] < 92'500);
    CHECK(choosePool(rules, service, true, 0.0) == service);
}

TEST_CASE("on trial only the named servers of the new version get requests")
{
    const auto rules = rulesOf(record(RolloutPhase::Trial, 0.08));
    CHECK(allowsRequests(rules, server("o1", "v1")));
    CHECK(allowsRequests(rules, server("n1", "v2")));
    CHECK_FALSE(allowsRequests(rules, server("n2", "v2")));
    const auto pool = choosePool(rules, service, false, 0.0);
    CHECK(poolsOf(rules, server("n1", "v2")).back() == pool);
    CHECK(fallbackPool(rules, service, pool) == service);
    CHECK(mayWaitAt(rules, service, pool));
}

TEST_CASE("after a roll-back no request waits for the new version, and none is sent there")
{
    const auto pool = choosePool(rulesOf(record(RolloutPhase::Trial, 0.08)), service, false, 0.0);
    const auto rules = rulesOf(record(RolloutPhase::RolledBack, 0.0));
    CHECK_FALSE(allowsRequests(rules, server("n1", "v2")));
    CHECK_FALSE(mayWaitAt(rules, service, pool));
    CHECK(choosePool(rules, service, false, 0.0) == service);
}

TEST_CASE("after the completion the old version gets nothing, and servers without an order do")
{
    auto completed = record(RolloutPhase::Completed, 1.0);
    completed.withheld = {ServerVersion("v1")};
    const auto rules = rulesOf(completed);
    const auto pool = choosePool(rules, service, true, 0.99);
    CHECK_FALSE(allowsRequests(rules, server("o1", "v1")));
    CHECK(poolsOf(rules, server("n2", "v2")) == std::vector{pool});
    // It would raise the number of groups of the new pool.
    CHECK(poolsOf(rules, server("o1", "v1")) == std::vector{service});
    CHECK(poolsOf(rules, server("x1", "v9")) == std::vector{pool});
    CHECK_FALSE(mayWaitAt(rules, service, service));
}

TEST_CASE("old servers give up their keys one after the other while the share rises")
{
    auto rules = rulesOf(record(RolloutPhase::Shift, 0.25));
    rules.at(service).keyed = true;
    const auto countLeft = [&] {
        auto count = 0;
        for (int i = 0; i < 200; ++i) {
            const auto old = server(std::string("o").append(std::to_string(i)), "v1");
            CHECK(allowsRequests(rules, old));
            count += allowsKeys(rules, old) ? 1 : 0;
        }
        return count;
    };
    const auto left = countLeft();
    CHECK(left > 120);
    CHECK(left < 180);
    rules.at(service).share = 1.0;
    CHECK(countLeft() == 0);
    CHECK(choosePool(rules, service, false, 0.0) == service);
}

TEST_CASE("servers of a version nobody has mentioned wait for its order, but not for long")
{
    auto registry = ServerRegistry{};
    auto arrivals = VersionArrivals{};
    registry.announce(server("o1", "v1"), start);
    registry.announce(server("o2", "v0"), start);
    arrivals.note(registry, start);
    CHECK(arrivals.heldBack(service, start).empty());
    const auto later = start + seconds(10);
    registry.announce(server("n1", "v2"), later);
    arrivals.note(registry, later);
    CHECK(arrivals.heldBack(service, later) == std::set<ServerVersion>{ServerVersion("v2")});
    CHECK(arrivals.heldBack(service, later + seconds(2)).empty());
}

TEST_CASE("an ordered version waits for its record only beside another one that may serve")
{
    const auto order =
        RolloutOrder{.service = service, .version = ServerVersion("v2"), .offset = 9};
    auto registry = ServerRegistry{};
    registry.announce(server("n1", "v2"), start);
    CHECK_FALSE(isWithheldUntilRecord({.order = order, .isNew = true}, registry));
    registry.announce(server("o1", "v1"), start);
    CHECK(isWithheldUntilRecord({.order = order, .isNew = true}, registry));
    CHECK(isWithheldUntilRecord({.order = order}, registry));
    // This VM has started after a roll-out, whose old servers are not removed yet.
    CHECK_FALSE(isWithheldUntilRecord({.order = order, .recordsRead = false}, registry));
    // The order carried out, and another one before it that withholds v1.
    auto before = record(RolloutPhase::Completed, 1.0);
    before.order = 9;
    CHECK_FALSE(isWithheldUntilRecord({.order = order, .record = &before}, registry));
    before.order = 4;
    before.version = ServerVersion("v0");
    CHECK(isWithheldUntilRecord({.order = order, .record = &before}, registry));
    before.withheld = {ServerVersion("v1")};
    CHECK_FALSE(isWithheldUntilRecord({.order = order, .record = &before}, registry));
}

TEST_CASE("a VM does not stop by itself where the new servers own keys that have moved")
{
    auto rule = ruleOf(record(RolloutPhase::Trial, 0.08));
    CHECK(mayStopAlone(rule));
    rule.keyed = true;
    CHECK(mayStopAlone(rule));
    rule.phase = RolloutPhase::Shift;
    CHECK_FALSE(mayStopAlone(rule));
    rule.keyed = false;
    CHECK(mayStopAlone(rule));
    rule.share = 1.0;
    CHECK_FALSE(mayStopAlone(rule));
}

TEST_CASE("a rule names the record that it comes from, so that a VM can tell what it follows")
{
    auto shift = record(RolloutPhase::Shift, 0.5);
    shift.revision = 7;
    CHECK(ruleOf(shift).revision == 7);
}
