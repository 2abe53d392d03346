#include "bench_support.h"

/// @file
/// Compares the fair queue, which serves the teams in turn, with one first-in-first-out queue for
/// all teams (the baseline), while a noisy team offers five times the capacity that the others
/// leave.

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto runLength = seconds(120);

struct QueueFigures
{
    double refusedPercent = 0.0; ///< of the other teams' requests
    double waitP99 = 0.0; ///< of the other teams, in milliseconds
};

// Simulates one server. Team 0 is the noisy team; the figures count only the other teams. For the
// baseline all requests are submitted under one team id and thus share one first-in-first-out
// queue.
class QueueRun
{
public:
    QueueRun(std::uint32_t slots, bool fair)
        : m_slots(slots)
        , m_fair(fair)
        , m_server(m_events,
                   {.slots = slots, .coldStart = {.initialLimit = slots, .jumpFactor = 1e9}},
                   [this] { return drawExponential(meanServiceTime, m_random); })
    { }

    auto run() -> QueueFigures
    {
        for (auto team = std::size_t{0}; team <= otherTeams; ++team) {
            arrive(team);
        }
        m_events.runUntil(simulationStart + runLength);
        return {.refusedPercent = 100.0 * m_refused / m_requests,
                .waitP99 = percentile(m_waits, 99)};
    }

private:
    static constexpr auto meanServiceTime = milliseconds(20);
    static constexpr auto timeout = seconds(2);
    static constexpr auto otherTeams = std::size_t{7};
    static constexpr auto otherLoad = 0.05; ///< of each other team, as a fraction of the slots
    static constexpr auto noisyLoad = 5.0 * (1.0 - otherTeams * otherLoad);

    void arrive(std::size_t team)
    {
        const auto isMeasured = team != 0;
        const auto arrivedAt = m_events.now();
        const auto onStart = [this, isMeasured, arrivedAt] {
            if (isMeasured) {
                m_waits.push_back(toMilliseconds(m_events.now() - arrivedAt));
            }
        };
        const auto onEnd = [this, isMeasured](bool answered) {
            m_refused += isMeasured && !answered ? 1.0 : 0.0;
        };
        m_requests += isMeasured ? 1.0 : 0.0;
        m_server.submit(TeamId(m_fair ? std::to_string(team) : "all"), arrivedAt + timeout,
                        {.onStart = onStart, .onEnd = onEnd});
        const auto load = team == 0 ? noisyLoad : otherLoad;
        const auto meanInterarrivalTime =
            fromMilliseconds(toMilliseconds(meanServiceTime) / (load * m_slots));
        m_events.after(drawExponential(meanInterarrivalTime, m_random),
                       [this, team] { arrive(team); });
    }

    std::uint32_t m_slots;
    bool m_fair;
    EventQueue m_events;
    RandomEngine m_random{5};
    DispatchedServer m_server;
    std::vector<double> m_waits;
    double m_requests = 0.0;
    double m_refused = 0.0;
};

void printQueue(const std::string &name, std::uint32_t slots)
{
    const auto fair = QueueRun(slots, true).run();
    const auto baseline = QueueRun(slots, false).run();
    const auto prefix = "fair_queue." + name + ".";
    printFigure(prefix + "other_teams_refused", fair.refusedPercent, "percent",
                baseline.refusedPercent);
    printFigure(prefix + "other_teams_wait_p99", fair.waitP99, "ms", baseline.waitP99);
}

} // namespace

auto main() -> int
{
    printQueue("lavalleja", 2);
    printQueue("reykjavik", 6);
}
