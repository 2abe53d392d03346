#include "figlanding/gateway/key_capacity.h"
#include "figlanding/gateway/key_loads.h"
#include "figlanding/gateway/response_model.h"
#include "figlanding/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <string>

using namespace figlanding;

namespace {

const auto service = ServiceId("grids");
constexpr auto serverCount = 60;
constexpr auto slots = 2U;
constexpr auto serviceMs = std::to_array({105.0, 105.0, 240.0});
constexpr auto objectiveMs = 800.0;
constexpr auto things = 20'000;

auto serverName(int number) -> BackendServerId
{
    return BackendServerId(std::string("s").append(std::to_string(number)));
}

auto candidateOf(const BackendServerId &server, double capacity) -> OwnerCandidate
{
    auto result = OwnerCandidate{.capacity = capacity, .slots = slots};
    result.incarnation.server = server;
    return result;
}

// What callers get if the present rates last.
struct Outcome
{
    double meanWaitMs = 0.0;
    double slowWaitMs = 0.0; ///< 95 of 100 requests wait no longer
    double inObjective = 0.0; ///< share of requests with a mean response within the objective
};

// Random requests for keys of servers that differ in speed, whose keys are placed every 0.5 s.
class PlacementFixture
{
public:
    explicit PlacementFixture(double utilisation)
        : m_rates(shardKeyCount)
    {
        auto candidates = std::vector<OwnerCandidate>{};
        auto capacity = 0.0;
        for (auto i = 0; i < serverCount; ++i) {
            m_registry.announce({.id = serverName(i), .service = service, .slots = slots}, m_now);
            candidates.push_back(candidateOf(serverName(i), 1.0));
            capacity += slots * 1000.0 / timeOf(i);
        }
        apply(planUnowned(m_table, candidates, {}, {}));
        m_moved = 0;
        auto key = std::uniform_int_distribution<ShardKey>(0, shardKeyCount - 1);
        for (auto i = 1; i <= things; ++i) {
            m_rates[key(m_random)] += std::pow(i, -0.4);
        }
        scale(utilisation * capacity);
    }

    // Gives some keys a share of all requests, in place of those that had one.
    auto setHot(int count, double share) -> void
    {
        for (const auto &[key, rate] : m_hot) {
            m_rates[key] -= rate;
        }
        m_hot.clear();
        auto key = std::uniform_int_distribution<ShardKey>(0, shardKeyCount - 1);
        const auto cold = sum();
        for (auto i = 0; i < count; ++i) {
            m_hot.emplace_back(key(m_random), cold * share / (1.0 - share) / count);
            m_rates[m_hot.back().first] += m_hot.back().second;
        }
    }
    auto run(seconds span) -> void
    {
        constexpr auto step = milliseconds(500);
        auto request = std::discrete_distribution<ShardKey>(m_rates.begin(), m_rates.end());
        auto requests = std::poisson_distribution<int>(sum() / 2.0);
        auto error = std::normal_distribution<double>(1.0, 0.25);
        for (const auto end = m_now + span; m_now < end; m_now += step) {
            for (auto left = requests(m_random); left > 0; --left) {
                m_loads.count(service, request(m_random));
            }
            auto report = WorkReport{.keys = m_loads.takeCounts()};
            for (auto i = 0; i < serverCount; ++i) {
                const auto ms = timeOf(i) * std::max(0.3, error(m_random));
                report.serviceTimes.emplace(serverName(i), milliseconds(std::lround(ms)));
            }
            m_loads.add(report);
            m_loads.decay(m_now);
            place();
        }
    }
    [[nodiscard]] auto outcome() const -> Outcome
    {
        const auto model = ResponseModel(slots, 1.5);
        auto waits = std::vector<std::pair<double, double>>{};
        auto result = Outcome{};
        const auto total = sum();
        for (auto i = 0; i < serverCount; ++i) {
            const auto rate = rateOf(serverName(i));
            const auto wait = timeOf(i) * model.wait(rate * timeOf(i) / 1000.0 / slots);
            waits.emplace_back(wait, rate / total);
            result.meanWaitMs += wait * rate / total;
            result.inObjective += wait + timeOf(i) <= objectiveMs ? rate / total : 0.0;
        }
        std::sort(waits.begin(), waits.end());
        auto share = 0.0;
        for (const auto &[wait, part] : waits) {
            result.slowWaitMs = share < 0.95 ? wait : result.slowWaitMs;
            share += part;
        }
        return result;
    }
    [[nodiscard]] auto rateOf(const BackendServerId &server) const -> double
    {
        auto rate = 0.0;
        for (const auto &range : m_table.ranges) {
            for (auto key = range.keys.from; key <= range.keys.to; ++key) {
                rate += range.owner.server == server ? m_rates[key] : 0.0;
            }
        }
        return rate;
    }
    // Returns the hot keys and their rates.
    [[nodiscard]] auto hot() const -> const std::vector<std::pair<ShardKey, double>> &
    {
        return m_hot;
    }
    [[nodiscard]] auto ownerOf(ShardKey key) const -> BackendServerId
    {
        return findRange(m_table, key)->owner.server;
    }
    [[nodiscard]] auto moved() const -> double
    {
        return static_cast<double>(m_moved) / shardKeyCount;
    }

private:
    static auto timeOf(int server) -> double
    {
        return serviceMs.at(static_cast<std::size_t>(server) % serviceMs.size());
    }
    [[nodiscard]] auto sum() const -> double
    {
        return std::accumulate(m_rates.begin(), m_rates.end(), 0.0);
    }
    auto scale(double requestsPerSecond) -> void
    {
        const auto factor = requestsPerSecond / sum();
        for (auto &rate : m_rates) {
            rate *= factor;
        }
    }
    auto apply(const std::vector<PlannedMove> &moves) -> void
    {
        for (const auto &move : moves) {
            m_table = withMove(std::move(m_table), move);
            m_moved += move.keys.size();
        }
    }
    auto place() -> void
    {
        const auto capacities =
            ServerCapacities(m_registry, service, m_loads.expectedServiceTimes());
        auto candidates = std::vector<OwnerCandidate>{};
        for (const auto &[id, server] : m_registry.servers()) {
            candidates.push_back(candidateOf(id, capacities.of(server)));
        }
        const auto &loads = m_loads.expectedLoads().at(service);
        apply(planRebalance(m_table, candidates, loads, {.loadVariance = steadyLoadVariance}));
    }

    TimePoint m_now = TimePoint{} + seconds(1000);
    RandomEngine m_random{7};
    std::vector<double> m_rates; ///< requests per second, by key
    std::vector<std::pair<ShardKey, double>> m_hot;
    ServerRegistry m_registry;
    KeyLoads m_loads;
    OwnershipTable m_table = unownedTable();
    std::size_t m_moved = 0;
};

} // namespace

TEST_CASE("keys leave slow servers until callers wait little longer than with shares by speed")
{
    for (const auto utilisation : {0.4, 0.55, 0.7}) {
        CAPTURE(utilisation);
        auto fixture = PlacementFixture(utilisation);
        const auto before = fixture.outcome();
        fixture.run(seconds(20));
        const auto after = fixture.outcome();
        const auto wait = ResponseModel(slots, 1.5).wait(utilisation);
        CHECK(after.meanWaitMs < before.meanWaitMs);
        CHECK(after.meanWaitMs < 1.5 * wait * 129.0); // mean service time with shares by speed
        CHECK(after.slowWaitMs < objectiveMs);
        CHECK(after.inObjective > 0.95);
        CHECK(fixture.moved() < 1.0);
    }
}

TEST_CASE("a hot set that wanders is spread within two seconds, again and again")
{
    auto fixture = PlacementFixture(0.3); // 0.5 with the hot set
    fixture.run(seconds(10));
    for (auto round = 0; round < 4; ++round) {
        CAPTURE(round);
        fixture.setHot(100, 0.4);
        fixture.run(seconds(2));
        CHECK(fixture.outcome().inObjective > 0.95);
        fixture.run(seconds(3));
    }
    CHECK(fixture.moved() < 2.0);
}

TEST_CASE("a key that exceeds every server gets one to itself, and others wait no longer")
{
    auto fixture = PlacementFixture(0.4);
    fixture.run(seconds(10));
    fixture.setHot(1, 0.16);
    fixture.run(seconds(5));
    const auto [key, rate] = fixture.hot().front();
    CHECK(fixture.rateOf(fixture.ownerOf(key)) < 1.05 * rate);
    CHECK(fixture.outcome().inObjective > 0.95 * (1.0 - 0.16));
}
