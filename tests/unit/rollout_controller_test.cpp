#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/rollout_controller.h"

#include <doctest/doctest.h>

#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(1000);
const ServiceId service("rooms");
const ServerVersion v1("v1");
const ServerVersion v2("v2");
const RouteId lookup("lookup");
const VmProcess vm{.vm = VmId("vm-1"), .incarnation = "p1"};

// A service with twenty servers, one VM with requests, and a controller that may be replaced.
struct Rollout
{
    auto addServers(const ServerVersion &version, int count, TimePoint since) -> void
    {
        for (int i = 0; i < count; ++i) {
            auto entry = ServerEntry{};
            entry.id =
                BackendServerId(version.value() + std::string("-").append(std::to_string(i)));
            entry.startedUnixMs = 1;
            entry.service = service;
            entry.zone = AvailabilityZoneId(std::to_string(i % 3));
            entry.version = version;
            entry.slots = 4;
            entry.sequence = 1;
            registry.announce(entry, since);
        }
    }
    auto give(const ServerVersion &version, milliseconds duration = seconds(14)) -> void
    {
        order = RolloutOrder{.service = service,
                             .version = version,
                             .duration = duration,
                             .offset = order ? order->offset + 1 : 5};
        orderedAt = now;
    }
    [[nodiscard]] auto serversOf(const ServerVersion &version) const -> std::vector<BackendServerId>
    {
        auto result = std::vector<BackendServerId>{};
        for (const auto &[id, server] : registry.servers()) {
            if (server.entry.version == version) {
                result.push_back(id);
            }
        }
        return result;
    }
    // Reports 100 ms of requests: 100, divided by the record's share.
    auto report(double failures) -> void
    {
        auto message = RolloutReport{.service = service,
                                     .order = record->order,
                                     .revision = record->revision,
                                     .pendingAtOld = pendingAtOld};
        const auto tried = static_cast<std::uint32_t>(record->share * 100.0);
        message.counts[{.route = lookup, .server = {}}].successes.at(10) = 100 - tried;
        const auto isTrial = record->phase == RolloutPhase::Trial;
        for (const auto &server : isTrial ? record->trialServers : std::vector<BackendServerId>{}) {
            const auto each = tried / static_cast<std::uint32_t>(record->trialServers.size());
            const auto failed = static_cast<std::uint32_t>(std::lround(each * failures));
            message.counts[{.route = lookup, .server = server}] = {.failures = failed};
            message.counts[{.route = lookup, .server = server}].successes.at(10) = each - failed;
        }
        const auto fresh = serversOf(record->version);
        for (std::uint32_t i = 0; !isTrial && i < tried; ++i) { // all new servers get some
            auto &counts =
                message.counts[{.route = lookup, .server = fresh[random() % fresh.size()]}];
            const auto failed = unit(random) < failures;
            (failed ? counts.failures : counts.successes.at(10)) += 1;
        }
        exposed += record->phase == RolloutPhase::Trial ? tried : 0;
        controller.onReport(vm, message, now);
    }
    // Runs for @p time; the store accepts all records while @p storeIsUp.
    auto run(Duration time, double failures = 0.0) -> void
    {
        for (const auto until = now + time; now < until; now += milliseconds(100)) {
            if (record && isRunning(*record)) {
                report(failures);
            }
            const auto next = controller.step({.order = order ? &*order : nullptr,
                                               .record = record ? &*record : nullptr,
                                               .registry = registry,
                                               .sinceOrder = now - orderedAt,
                                               .unixMs = 1'000'000,
                                               .keyed = keyed,
                                               .liveVms = {live},
                                               .serversKnown = serversKnown},
                                              now);
            if (next && storeIsUp) {
                if (record) {
                    CHECK(next->revision == record->revision + 1);
                }
                record = next;
                CHECK((record->phase != RolloutPhase::Trial || record->share < 0.1));
            }
        }
    }
    auto replaceController() -> void
    {
        controller = RolloutController(service, {});
    }
    [[nodiscard]] auto phase() const -> RolloutPhase
    {
        return record->phase;
    }

    ServerRegistry registry;
    std::optional<RolloutOrder> order;
    std::optional<RolloutRecord> record;
    TimePoint now = start;
    TimePoint orderedAt = start;
    RolloutController controller{service, {}};
    std::uint32_t pendingAtOld = 0;
    std::uint32_t exposed = 0; ///< requests on trial
    bool storeIsUp = true;
    bool serversKnown = true;
    bool keyed = false;
    VmProcess live = vm;
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> unit{0.0, 1.0};
};

// A service with an order and servers of the ordered version that are warm a second later.
auto ordered() -> Rollout
{
    auto rollout = Rollout{};
    rollout.addServers(v1, 20, start - seconds(60));
    rollout.give(v2);
    rollout.run(milliseconds(200));
    rollout.addServers(v2, 20, rollout.now);
    return rollout;
}

} // namespace

TEST_CASE("a good version is completed before the deadline, and not before its trial")
{
    auto rollout = ordered();
    rollout.run(milliseconds(6500));
    CHECK(rollout.phase() == RolloutPhase::Trial);
    CHECK(rollout.record->trialServers.size() == 1); // of 21 in use: two were more than the share
    CHECK(rollout.exposed > 60);
    rollout.run(milliseconds(2500)); // until two thirds of the time
    CHECK(rollout.phase() == RolloutPhase::Trial);
    rollout.run(milliseconds(3500));
    CHECK(rollout.phase() == RolloutPhase::Completed);
    CHECK(rollout.record->withheld == std::vector{v1});
}

TEST_CASE("a version is not completed while a VM has requests at the replaced servers")
{
    auto rollout = ordered();
    rollout.pendingAtOld = 3;
    rollout.run(milliseconds(12'000));
    CHECK(rollout.phase() == RolloutPhase::Shift);
    CHECK(rollout.record->share == 1.0);
    SUBCASE("until they end")
    {
        rollout.pendingAtOld = 0;
        rollout.run(milliseconds(300));
        CHECK(rollout.phase() == RolloutPhase::Completed);
    }
    SUBCASE("but in time for the deadline")
    {
        rollout.run(milliseconds(1500));
        CHECK(rollout.phase() == RolloutPhase::Completed);
    }
}

TEST_CASE("a bad version is rolled back before fifty bad responses")
{
    auto rollout = ordered();
    rollout.run(seconds(4), 0.5);
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
    CHECK(rollout.exposed < 50);
    CHECK(rollout.record->reason.find("lookup") != std::string::npos);
    CHECK(rollout.record->withheld == std::vector{v2});
}

TEST_CASE("a version that turns bad during the shift is rolled back")
{
    auto rollout = ordered();
    while (rollout.phase() == RolloutPhase::Trial && rollout.now < start + seconds(14)) {
        rollout.run(milliseconds(100));
    }
    CHECK(rollout.phase() == RolloutPhase::Shift);
    rollout.run(milliseconds(600), 0.5);
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
}

TEST_CASE("a controller that is replaced at any step carries the roll-out to its end")
{
    for (int step = 1; step < 130; step += 3) {
        CAPTURE(step);
        auto rollout = ordered();
        rollout.run(milliseconds(100) * step);
        rollout.replaceController();
        rollout.run(milliseconds(13'600) - milliseconds(100) * step);
        CHECK(rollout.phase() == RolloutPhase::Completed);
    }
}

TEST_CASE("a controller that starts late counts the servers that it finds, once it has read them")
{
    auto rollout = ordered();
    rollout.storeIsUp = false; // the trial goes on, as its controller cannot end it
    rollout.run(milliseconds(9'600));
    rollout.storeIsUp = true;
    // Its VM is new as well: it sees all servers for the first time.
    rollout.registry = ServerRegistry{};
    rollout.replaceController();
    rollout.serversKnown = false;
    rollout.run(milliseconds(600));
    CHECK(rollout.phase() == RolloutPhase::Trial);
    rollout.addServers(v1, 20, rollout.now);
    rollout.addServers(v2, 20, rollout.now);
    rollout.serversKnown = true;
    rollout.run(milliseconds(3300));
    CHECK(rollout.phase() == RolloutPhase::Completed);
}

TEST_CASE("an order for the version in force is completed at once, and withholds nothing of it")
{
    auto rollout = Rollout{};
    rollout.addServers(v1, 20, start - seconds(60));
    SUBCASE("as the first order of the service")
    {
        rollout.give(v1);
        rollout.run(milliseconds(100));
        CHECK(rollout.record->withheld.empty());
    }
    SUBCASE("after the roll-back of another version, whose servers are still there")
    {
        rollout.give(v2);
        rollout.run(milliseconds(200));
        rollout.addServers(v2, 20, rollout.now);
        rollout.run(seconds(5), 0.5);
        CHECK(rollout.phase() == RolloutPhase::RolledBack);
        rollout.give(v1);
        rollout.run(milliseconds(100));
        CHECK(rollout.record->withheld == std::vector{v2});
    }
    CHECK(rollout.phase() == RolloutPhase::Completed);
    CHECK(rollout.record->version == v1);
    const auto rules = VersionRules{{service, ruleOf(*rollout.record)}};
    const auto &old = rollout.registry.servers().at(BackendServerId("v1-0")).entry;
    CHECK(allowsRequests(rules, old));
    CHECK(poolsOf(rules, old) == std::vector{choosePool(rules, service, false, 0.5)});
}

TEST_CASE("a roll-out is not completed on the word of a process that has ended since")
{
    auto rollout = ordered();
    rollout.run(seconds(10));
    rollout.live.incarnation = "p2"; // reports of p1 are still on their way
    rollout.run(milliseconds(2500));
    CHECK(rollout.phase() == RolloutPhase::Shift);
    CHECK(rollout.record->share == 1.0);
}

TEST_CASE("new servers that are lost during the shift are missed before the old ones go")
{
    auto rollout = ordered();
    rollout.pendingAtOld = 1;
    SUBCASE("while the share rises")
    {
        rollout.run(milliseconds(9500));
    }
    SUBCASE("while requests are left at the replaced servers")
    {
        rollout.run(milliseconds(11'500));
    }
    CHECK(rollout.phase() == RolloutPhase::Shift);
    for (int i = 0; i < 10; ++i) {
        rollout.registry.remove(BackendServerId(std::string("v2-").append(std::to_string(i))),
                                rollout.now);
    }
    CHECK(rollout.registry.expire(rollout.now));
    rollout.pendingAtOld = 0;
    rollout.run(milliseconds(100));
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
}

TEST_CASE("a trial keeps to the share in a small service, also where keys are divided by server")
{
    auto rollout = Rollout{};
    rollout.addServers(v1, 8, start - seconds(60));
    rollout.addServers(v2, 8, start - seconds(60));
    SUBCASE("with keys: no server is small enough")
    {
        rollout.keyed = true;
        rollout.give(v2);
        rollout.run(seconds(14));
        CHECK(rollout.exposed == 0);
        CHECK(rollout.phase() == RolloutPhase::RolledBack);
    }
    SUBCASE("without: chance divides the requests")
    {
        rollout.give(v2);
        rollout.run(seconds(4));
        CHECK(rollout.record->trialServers.size() == 1);
        CHECK(rollout.record->share < 0.081);
    }
}

TEST_CASE("a repeated order keeps the evidence against a version")
{
    auto rollout = ordered();
    rollout.run(milliseconds(3300));
    CHECK(rollout.record->share > 0.0);
    const auto before = rollout.controller.judgement().responses;
    rollout.run(milliseconds(400));
    const auto seen = rollout.controller.judgement().responses;
    CHECK(seen > before);
    const auto orderedAt = rollout.orderedAt;
    rollout.give(v2);
    rollout.orderedAt = orderedAt;
    rollout.run(milliseconds(300));
    CHECK(rollout.controller.judgement().responses > seen);
}

TEST_CASE("a store that is away until after the deadline leaves the share, then rolls back")
{
    auto rollout = ordered();
    rollout.run(seconds(4));
    const auto before = *rollout.record;
    rollout.storeIsUp = false;
    rollout.run(seconds(20));
    CHECK(*rollout.record == before);
    rollout.storeIsUp = true;
    rollout.run(milliseconds(200));
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
}

TEST_CASE("a version that no server has is rolled back in time, without a share")
{
    auto rollout = Rollout{};
    rollout.addServers(v1, 20, start - seconds(60));
    rollout.give(v2);
    rollout.run(seconds(14));
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
    CHECK(rollout.exposed == 0);
}

TEST_CASE("a version with too few servers is rolled back, as they have no room for all requests")
{
    auto rollout = Rollout{};
    rollout.addServers(v1, 20, start - seconds(60));
    rollout.addServers(v2, 5, start - seconds(5));
    rollout.give(v2);
    rollout.run(seconds(14));
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
}

TEST_CASE("an order that is repeated keeps the roll-out and its deadline")
{
    auto rollout = ordered();
    rollout.run(seconds(4));
    const auto before = *rollout.record;
    const auto orderedAt = rollout.orderedAt;
    rollout.give(v2);
    rollout.orderedAt = orderedAt;
    rollout.run(milliseconds(100));
    CHECK(rollout.record->order == before.order + 1);
    CHECK(rollout.record->trialServers == before.trialServers);
    rollout.run(seconds(9));
    CHECK(rollout.phase() == RolloutPhase::Completed);
    const auto completed = *rollout.record;
    rollout.give(v2);
    rollout.run(seconds(20));
    CHECK(rollout.phase() == RolloutPhase::Completed);
    CHECK(rollout.record->withheld == completed.withheld);
}

TEST_CASE("an order of another version rolls the running one back first")
{
    auto rollout = ordered();
    rollout.run(seconds(4));
    rollout.give(ServerVersion("v3"));
    rollout.run(milliseconds(100));
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
    CHECK(rollout.record->version == v2);
    rollout.run(milliseconds(100));
    CHECK(rollout.phase() == RolloutPhase::Trial);
    CHECK(rollout.record->version == ServerVersion("v3"));
    CHECK(rollout.record->withheld == std::vector{v2});
}

TEST_CASE("a version that was rolled back may be ordered again, and one after a completed one")
{
    auto rollout = ordered();
    rollout.run(seconds(4), 0.5);
    CHECK(rollout.phase() == RolloutPhase::RolledBack);
    rollout.give(v2);
    rollout.run(seconds(13));
    CHECK(rollout.phase() == RolloutPhase::Completed);
    rollout.addServers(ServerVersion("v3"), 20, rollout.now - seconds(5));
    rollout.give(ServerVersion("v3"));
    rollout.run(seconds(1));
    CHECK(rollout.record->base == v2);
    CHECK(rollout.record->withheld == std::vector{v1});
}

TEST_CASE("records and reports of roll-outs survive their encoding")
{
    auto rollout = ordered();
    rollout.run(seconds(4));
    const auto encoded = encodeFleetRecord(*rollout.record);
    const auto sameRecord = [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(
            decoded, decodeFleetRecord({.offset = 9, .key = encoded.key, .value = encoded.value}));
        return std::get<RolloutRecord>(decoded) == *rollout.record;
    };
    CHECK(valueOrElse(sameRecord, [](const Error &) { return false; }));

    auto report = RolloutReport{.service = service, .order = 7, .revision = 3, .pendingAtOld = 2};
    report.counts[{.route = lookup, .server = BackendServerId("v2-1")}] = {.failures = 4};
    report.counts[{.route = lookup, .server = {}}].successes.at(35) = 11;
    const auto message = FleetMessage{.from = vm.vm, .incarnation = "i", .payload = report};
    const auto sameMessage = [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(received, decodeFleetMessage(encodeFleetMessage(message)));
        return received == message;
    };
    CHECK(valueOrElse(sameMessage, [](const Error &) { return false; }));
}
