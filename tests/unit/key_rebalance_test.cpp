#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/key_loads.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");
constexpr auto step = milliseconds(100);

auto serverName(int number) -> BackendServerId
{
    return BackendServerId(std::string("s").append(std::to_string(number)));
}

// An active controller and servers that accept all commands, except releases that are left
// unanswered.
class FleetFixture
{
public:
    /// @param table owners recorded by an earlier controller
    explicit FleetFixture(int servers, const OwnershipTable &table = {})
    {
        for (auto i = 0; i < servers; ++i) {
            m_registry.announce({.id = serverName(i),
                                 .startedUnixMs = 1,
                                 .service = service,
                                 .address = {.ip = "10.0.0.1", .port = 1},
                                 .slots = 2,
                                 .sequence = 1},
                                m_now);
        }
        m_controller.setElected(true);
        auto view = OwnershipView{.end = 1};
        if (!table.ranges.empty()) {
            view.tables[service] = table;
            m_table = table;
        }
        m_controller.onView(view, m_now);
        run(seconds(3));
    }

    auto run(Duration span) -> void
    {
        const auto end = m_now + span;
        while (m_now < end) {
            m_now += step;
            m_controller.onStoreContact(m_now);
            const auto inputs = ControllerInputs{.registry = m_registry,
                                                 .keyedServices = {service},
                                                 .loads = m_loads,
                                                 .serviceTimes = m_serviceTimes,
                                                 .limits = &m_limits};
            for (const auto &action : m_controller.tick(inputs, m_now)) {
                std::visit([this](const auto &content) { handle(content); }, action);
            }
        }
    }

    auto setLoad(ShardKey key, float load) -> void
    {
        auto &loads = m_loads[service];
        loads.resize(shardKeyCount);
        loads[key] = load;
    }
    auto setLimit(const BackendServerId &server, double requestsPerSecond) -> void
    {
        m_limits[server] = requestsPerSecond;
    }
    auto setServiceTime(const BackendServerId &server, milliseconds time) -> void
    {
        m_serviceTimes[server] = time;
    }
    [[nodiscard]] auto loadOf(const BackendServerId &server) const -> double
    {
        auto sum = 0.0;
        for (const auto &range : m_table.ranges) {
            for (auto key = range.keys.from; key <= range.keys.to; ++key) {
                sum += range.owner.server == server ? m_loads.at(service)[key] : 0.0F;
            }
        }
        return sum;
    }
    [[nodiscard]] auto ownerOf(ShardKey key) const -> BackendServerId
    {
        return findRange(m_table, key)->owner.server;
    }
    auto hangReleasesOf(const BackendServerId &server) -> void
    {
        m_hangingServer = server;
    }
    /// Returns how many adjacent ranges of the same owner were renewed separately in the last two
    /// seconds.
    [[nodiscard]] auto unmergedRanges() const -> int
    {
        auto count = 0;
        const auto *before = static_cast<const Renewal *>(nullptr);
        for (const auto &[keys, renewal] : m_renewals) {
            if (m_now - renewal.at > seconds(2)) {
                continue;
            }
            const auto unmerged = before != nullptr && before->owner == renewal.owner;
            count += unmerged ? 1 : 0;
            before = &renewal;
        }
        return count;
    }
    /// Returns the number of releases whose fence is lower than that of a grant of the same keys.
    [[nodiscard]] auto releasesWithLowFence() const -> int
    {
        return m_releasesWithLowFence;
    }
    [[nodiscard]] auto hangingReleases() const -> int
    {
        return m_hangingReleases;
    }

private:
    struct Renewal
    {
        BackendServerId owner;
        TimePoint at;
        FencingToken fence = 0;
    };

    auto handle(const AppendClaim &record) -> void
    {
        m_controller.onAppend(AppendOutcome::Appended, record.expectedEnd, m_now);
    }
    auto handle(const AppendTable &record) -> void
    {
        m_table = record.table;
        m_controller.onAppend(AppendOutcome::Appended, record.expectedEnd, m_now);
    }
    auto handle(const GrantCommand &command) -> void
    {
        m_renewals[command.keys] = {
            .owner = command.to.server, .at = m_now, .fence = command.fence};
        m_controller.onGrant(command.id, CommandOutcome::Accepted, m_now);
    }
    auto handle(const ReleaseCommand &command) -> void
    {
        for (const auto &[keys, renewal] : m_renewals) {
            const auto overlaps = keys.from <= command.keys.to && command.keys.from <= keys.to;
            const auto fromOwner = renewal.owner == command.from.server;
            m_releasesWithLowFence +=
                overlaps && fromOwner && renewal.fence > command.fence ? 1 : 0;
        }
        if (command.from.server == m_hangingServer) {
            m_hangingReleases += 1;
            return;
        }
        m_controller.onRelease(command.id, CommandOutcome::Accepted, "token", m_now);
    }

    TimePoint m_now = TimePoint{} + seconds(1000);
    ServerRegistry m_registry;
    std::map<ServiceId, std::vector<float>> m_loads;
    std::map<BackendServerId, milliseconds> m_serviceTimes;
    std::map<BackendServerId, double> m_limits;
    KeyController m_controller{{.self = VmId("vm"), .incarnation = "1"}};
    OwnershipTable m_table = unownedTable();
    BackendServerId m_hangingServer;
    int m_hangingReleases = 0;
    int m_releasesWithLowFence = 0;
    std::map<KeyRange, Renewal> m_renewals; ///< last renewal of each range
};

} // namespace

TEST_CASE("a server that is slow to release keys does not keep other servers from being relieved")
{
    auto fleet = FleetFixture(6);
    const auto slow = fleet.ownerOf(0);
    fleet.hangReleasesOf(slow);
    for (ShardKey key = 0; key < 10; ++key) {
        fleet.setLoad(key, 12.0F);
    }
    fleet.run(seconds(1));
    REQUIRE(fleet.hangingReleases() > 0);

    const auto busy = fleet.ownerOf(65'000);
    REQUIRE(busy != slow);
    for (ShardKey key = 65'000; key < 65'010; ++key) {
        fleet.setLoad(key, 12.0F);
    }
    fleet.run(seconds(1));
    auto owners = std::vector<BackendServerId>{};
    for (ShardKey key = 65'000; key < 65'010; ++key) {
        owners.push_back(fleet.ownerOf(key));
    }
    CHECK(std::count(owners.begin(), owners.end(), busy) < 5);
}

TEST_CASE("hot keys of a large fleet are spread within two seconds")
{
    constexpr auto servers = 159;
    auto fleet = FleetFixture(servers);
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        fleet.setLoad(key, 0.02F); // a total of 1,311
    }
    for (ShardKey key = 30'000; key < 30'200; ++key) {
        // A total of 740 on the keys of one server, whose capacity is about 20.
        fleet.setLoad(key, 3.7F);
    }
    fleet.run(seconds(2));
    auto loads = std::map<BackendServerId, double>{};
    for (ShardKey key = 30'000; key < 30'200; ++key) {
        loads[fleet.ownerOf(key)] += 3.7;
    }
    auto most = 0.0;
    for (const auto &[server, load] : loads) {
        most = std::max(most, load);
    }
    CHECK(most < 2 * (1311.0 + 740.0) / servers);
}

TEST_CASE("adjacent ranges that moves have split are merged again when they have one owner")
{
    auto fleet = FleetFixture(6);
    for (ShardKey at = 0; at < 60'000; at += 10'000) {
        for (ShardKey key = at; key < at + 50; ++key) {
            fleet.setLoad(key, 4.0F);
        }
        fleet.run(seconds(3));
        for (ShardKey key = at; key < at + 50; ++key) {
            fleet.setLoad(key, 0.0F);
        }
    }
    fleet.run(seconds(12));
    CHECK(fleet.unmergedRanges() == 0);
    CHECK(fleet.releasesWithLowFence() == 0);
}

TEST_CASE("a busy server of a service with too many ranges is relieved")
{
    constexpr auto width = ShardKey{512};
    auto table = OwnershipTable{};
    for (ShardKey key = 0; key < shardKeyCount; key += width) {
        const auto number = static_cast<int>(key / width) % 12;
        table.ranges.push_back({.keys = {key, key + width - 1},
                                .owner = {.server = serverName(number), .startedUnixMs = 1},
                                .fence = 1});
    }
    auto fleet = FleetFixture(12, table);
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        fleet.setLoad(key, key / width % 12 == 3 ? 0.02F : 0.001F);
    }
    const auto before = fleet.loadOf(serverName(3));
    fleet.run(seconds(1));
    CHECK(fleet.loadOf(serverName(3)) < 0.8 * before);
}

TEST_CASE("a server with one fast response does not get more keys than it can serve")
{
    constexpr auto servers = 40;
    auto fleet = FleetFixture(servers);
    for (auto i = 0; i < servers; ++i) {
        fleet.setServiceTime(serverName(i), milliseconds(100));
    }
    fleet.setServiceTime(serverName(7), milliseconds(3));
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        fleet.setLoad(key, 0.0075F);
    }
    for (ShardKey key = 20'000; key < 20'400; ++key) {
        fleet.setLoad(key, 0.4F);
    }
    fleet.run(seconds(5));
    CHECK(fleet.loadOf(serverName(7)) < 2.5 * (0.0075 * shardKeyCount + 160.0) / servers);
}

TEST_CASE("a server with one slow response keeps a part of the keys")
{
    constexpr auto servers = 40;
    auto fleet = FleetFixture(servers);
    for (auto i = 0; i < servers; ++i) {
        fleet.setServiceTime(serverName(i), milliseconds(100));
    }
    fleet.setServiceTime(serverName(7), milliseconds(3000));
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        fleet.setLoad(key, 0.01F);
    }
    fleet.run(seconds(5));
    CHECK(fleet.loadOf(serverName(7)) > 0.2 * 0.01 * shardKeyCount / servers);
}

TEST_CASE("a server whose limit is below its load gives keys to servers without a limit")
{
    constexpr auto servers = 10;
    constexpr auto capped = 7;
    auto fleet = FleetFixture(servers);
    for (auto i = 0; i < servers; ++i) {
        fleet.setServiceTime(serverName(i), milliseconds(100));
    }
    for (auto i = 0; i < capped; ++i) {
        fleet.setLimit(serverName(i), 4.0); // of 20 requests per second
    }
    constexpr auto totalLoad = 300.0;
    for (ShardKey key = 0; key < shardKeyCount; ++key) {
        fleet.setLoad(key, static_cast<float>(totalLoad / shardKeyCount));
    }
    fleet.run(seconds(10));
    auto cappedLoad = 0.0;
    for (auto i = 0; i < capped; ++i) {
        cappedLoad += fleet.loadOf(serverName(i));
    }
    // Of three servers without a limit and seven that count as a third: 131 of 300; by their number
    // 210.
    CHECK(cappedLoad < 0.5 * totalLoad);
    CHECK(cappedLoad > 0.35 * totalLoad);
}

TEST_CASE("loads are the sums of the counts of all VMs, and decay")
{
    auto loads = KeyLoads();
    loads.count(service, 7);
    loads.count(service, 7);
    const auto report =
        WorkReport{.keys = loads.takeCounts(), .serviceTimes = {{serverName(1), milliseconds(90)}}};
    CHECK(loads.takeCounts().empty());
    const auto start = TimePoint{} + seconds(100);
    loads.decay(start);
    loads.add(report);
    loads.add(report);
    CHECK(loads.loads().at(service).at(7) == doctest::Approx(4.0));
    CHECK(loads.serviceTimes().at(serverName(1)) == milliseconds(90));
    loads.decay(start + seconds(2));
    CHECK(loads.loads().at(service).at(7) == doctest::Approx(4.0 / 2.718).epsilon(0.01));
}
