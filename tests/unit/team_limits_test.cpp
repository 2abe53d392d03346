#include "figlanding/gateway/team_limits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(1000);
const auto team = TeamId("band");

// Simulates VMs that report to each other and requests that arrive at random VMs.
class Fleet
{
public:
    Fleet(std::size_t vms, std::uint64_t seed, milliseconds reportInterval = milliseconds(250))
        : m_random(seed)
        , m_reportInterval(reportInterval)
    {
        for (std::size_t i = 0; i < vms; ++i) {
            m_vms.push_back(std::make_unique<TeamLimits>(TeamLimitOptions{}));
            m_vms.back()->setFleetSize(vms);
        }
    }

    // Starts the processes of all VMs anew. The first report of a process comes after 250 ms.
    auto restart() -> void
    {
        m_refunds.clear();
        m_process += 1;
        for (auto &vm : m_vms) {
            vm = std::make_unique<TeamLimits>(TeamLimitOptions{}, m_now);
            vm->setFleetSize(m_vms.size());
        }
        m_reportAt = m_now + milliseconds(250);
    }

    // Of the admitted requests, this fraction is refused by a full queue, and has not run.
    auto setNotRunFraction(double fraction) -> void
    {
        m_notRunFraction = fraction;
    }

    // Simulates Poisson arrivals for a duration and returns the times of admitted requests that
    // run.
    auto simulate(double perSecond, const TeamRate &rate, milliseconds span)
        -> std::vector<TimePoint>
    {
        auto admitted = std::vector<TimePoint>{};
        const auto end = m_now + span;
        auto gap = std::exponential_distribution<double>(perSecond);
        auto next = m_now;
        while (m_now < end) {
            m_now += milliseconds(1);
            if (m_now >= m_reportAt) {
                report();
            }
            refundDue();
            while (next <= m_now) {
                auto &vm = *m_vms.at(m_random() % m_vms.size());
                m_requestCount += 1;
                const auto accepted = vm.admit(team, rate, m_now);
                m_limitedCount += accepted ? 0 : 1;
                if (accepted && m_uniform(m_random) < m_notRunFraction) {
                    m_refunds.push_back({.vm = &vm, .at = m_now + milliseconds(200)});
                } else if (accepted) {
                    admitted.push_back(m_now);
                }
                next += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(m_random)));
            }
        }
        return admitted;
    }
    [[nodiscard]] auto requestCount() const -> std::size_t
    {
        return m_requestCount;
    }

    // Returns the number of requests that the limit refused.
    [[nodiscard]] auto limitedCount() const -> std::size_t
    {
        return m_limitedCount;
    }

private:
    struct Refund
    {
        TeamLimits *vm;
        TimePoint at;
    };

    auto refundDue() -> void
    {
        while (!m_refunds.empty() && m_refunds.front().at <= m_now) {
            m_refunds.front().vm->refund(team);
            m_refunds.pop_front();
        }
    }

    auto report() -> void
    {
        m_reportAt = m_now + m_reportInterval;
        for (std::size_t from = 0; from < m_vms.size(); ++from) {
            const auto usageByTeam = m_vms[from]->takeUsage(m_now);
            for (std::size_t to = 0; to < m_vms.size(); ++to) {
                if (from != to) {
                    const auto name = std::string("vm").append(std::to_string(from));
                    m_vms[to]->report(VmId(name), std::to_string(m_process), usageByTeam, m_now);
                }
            }
        }
    }

    std::mt19937_64 m_random;
    milliseconds m_reportInterval;
    std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
    double m_notRunFraction = 0.0;
    std::size_t m_limitedCount = 0;
    std::deque<Refund> m_refunds;
    std::vector<std::unique_ptr<TeamLimits>> m_vms;
    TimePoint m_now = start;
    TimePoint m_reportAt = start;
    std::size_t m_requestCount = 0;
    int m_process = 1;
};

// Returns the maximum number of admitted requests in any window of five seconds.
auto maxInWindow(const std::vector<TimePoint> &admitted) -> std::size_t
{
    auto most = std::size_t{0};
    auto first = std::size_t{0};
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= seconds(5)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

// Required bound on a window of five seconds: rate and burst plus a tenth, plus 20 requests.
auto windowLimit(const TeamRate &rate) -> double
{
    return (rate.perSecond * 5 + rate.burst) * 1.1 + 20;
}

} // namespace

TEST_CASE("a team below its rate is rarely refused, although its requests are spread over ten VMs")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = Fleet(10, seed);
        const auto rate = TeamRate{.perSecond = 35, .burst = 35};
        const auto admitted = fleet.simulate(35 / 1.6, rate, seconds(30));
        CHECK(static_cast<double>(admitted.size())
              > 0.97 * static_cast<double>(fleet.requestCount()));
    }
}

TEST_CASE("a team that sends several times its rate gets its rate, and no window exceeds the bound")
{
    for (const auto perSecond : {12.0, 35.0, 120.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto fleet = Fleet(10, seed);
            const auto rate = TeamRate{.perSecond = perSecond, .burst = perSecond};
            auto admitted = fleet.simulate(perSecond / 1.6, rate, seconds(10));
            const auto hot = fleet.simulate(perSecond / 1.6 * 7.5, rate, seconds(20));
            admitted.insert(admitted.end(), hot.begin(), hot.end());
            CAPTURE(perSecond);
            CAPTURE(seed);
            CHECK(static_cast<double>(maxInWindow(admitted)) < windowLimit(rate));
            CHECK(static_cast<double>(hot.size()) > 0.9 * perSecond * 20);
        }
    }
}

TEST_CASE("a team below its rate is rarely refused in a fleet of 83 VMs that report once a second")
{
    for (const auto perSecond : {16.0, 53.0, 160.0}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto fleet = Fleet(83, seed, milliseconds(830));
            const auto rate = TeamRate{.perSecond = perSecond, .burst = perSecond};
            fleet.simulate(perSecond / 1.6, rate, seconds(30));
            CAPTURE(perSecond);
            CAPTURE(seed);
            CHECK(static_cast<double>(fleet.limitedCount())
                  < 0.03 * static_cast<double>(fleet.requestCount()));
        }
    }
}

TEST_CASE("a team that sends several times its rate through 83 VMs stays within the bound")
{
    for (const auto perSecond : {16.0, 53.0, 160.0}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto fleet = Fleet(83, seed, milliseconds(830));
            const auto rate = TeamRate{.perSecond = perSecond, .burst = perSecond};
            auto admitted = fleet.simulate(perSecond / 1.6, rate, seconds(10));
            const auto hot = fleet.simulate(perSecond / 1.6 * 7.5, rate, seconds(20));
            admitted.insert(admitted.end(), hot.begin(), hot.end());
            CAPTURE(perSecond);
            CAPTURE(seed);
            CHECK(static_cast<double>(maxInWindow(admitted)) < windowLimit(rate));
            CHECK(static_cast<double>(hot.size()) > 0.9 * perSecond * 20);
        }
    }
}

TEST_CASE("VMs that all start anew do not each admit the whole rate of a team")
{
    struct Row
    {
        std::size_t vms;
        milliseconds reportInterval;
        TeamRate rate;
    };
    const auto rows = std::vector<Row>{
        {10, milliseconds(250), {.perSecond = 120, .burst = 120}},
        {83, milliseconds(830), {.perSecond = 120, .burst = 120}},
        {83, milliseconds(830), {.perSecond = 35, .burst = 35}},
    };
    for (const auto &row : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto fleet = Fleet(row.vms, seed, row.reportInterval);
            const auto demand = row.rate.perSecond * 5;
            auto admitted = fleet.simulate(demand, row.rate, seconds(10));
            fleet.restart();
            const auto later = fleet.simulate(demand, row.rate, seconds(10));
            admitted.insert(admitted.end(), later.begin(), later.end());
            CAPTURE(row.vms);
            CAPTURE(row.rate.perSecond);
            CAPTURE(seed);
            CHECK(static_cast<double>(maxInWindow(admitted)) < windowLimit(row.rate));
        }
    }
}

TEST_CASE("a VM that is heard of for the first time after long does not use up a team's tokens")
{
    auto limits = TeamLimits({}, start);
    const auto rate = TeamRate{.perSecond = 35, .burst = 35};
    REQUIRE(limits.admit(team, rate, start));
    const auto later = start + seconds(100);
    REQUIRE(limits.admit(team, rate, later));
    limits.report(VmId("other"), "1",
                  {{team, {.admitted = 1000, .demand = 10.0, .admittedRate = 10.0}}}, later);
    CHECK(limits.level(team) > 0.0);
}

TEST_CASE("requests that are refused before they run do not use up the rate of their team")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = Fleet(10, seed);
        fleet.setNotRunFraction(0.6);
        const auto rate = TeamRate{.perSecond = 35, .burst = 35};
        const auto ran = fleet.simulate(2 * 35 / 1.6, rate, seconds(30));
        CAPTURE(seed);
        CHECK(static_cast<double>(fleet.limitedCount())
              < 0.03 * static_cast<double>(fleet.requestCount()));
        CHECK(static_cast<double>(maxInWindow(ran)) < windowLimit(rate));
    }
}

TEST_CASE("a team that sends several times its rate stays within it when many requests do not run")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = Fleet(10, seed);
        fleet.setNotRunFraction(0.6);
        const auto rate = TeamRate{.perSecond = 35, .burst = 35};
        const auto ran = fleet.simulate(35 * 7.5, rate, seconds(30));
        CAPTURE(seed);
        CHECK(static_cast<double>(maxInWindow(ran)) < windowLimit(rate));
        CHECK(static_cast<double>(ran.size()) > 0.9 * 35 * 30);
    }
}

TEST_CASE("a lowered rate takes effect within one window")
{
    auto fleet = Fleet(10, 3);
    fleet.simulate(60, {.perSecond = 80, .burst = 80}, seconds(10));
    const auto low = TeamRate{.perSecond = 10, .burst = 10};
    fleet.simulate(60, low, seconds(5));
    const auto admitted = fleet.simulate(60, low, seconds(15));
    CHECK(static_cast<double>(maxInWindow(admitted)) < windowLimit(low));
}

TEST_CASE("a team without a rate is not limited")
{
    auto limits = TeamLimits({});
    for (auto i = 0; i < 1000; ++i) {
        CHECK(limits.admit(team, {}, start));
    }
}

TEST_CASE("the retry delay of a refused caller grows with the number of refused callers")
{
    auto limits = TeamLimits({});
    const auto rate = TeamRate{.perSecond = 2, .burst = 2};
    while (limits.admit(team, rate, start)) { }
    const auto first = limits.retryAfter(team, rate);
    for (auto i = 0; i < 20; ++i) {
        static_cast<void>(limits.admit(team, rate, start));
    }
    CHECK(first > Duration::zero());
    CHECK(limits.retryAfter(team, rate) > first);
}
