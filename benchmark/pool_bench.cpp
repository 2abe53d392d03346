#include "bench_support.h"

#include "figlanding/hedge_policy.h"
#include "figlanding/pool_choice.h"
#include "figlanding/retry_policy.h"

#include <memory>
#include <optional>

/// @file
/// Compares the algorithms that choose a pool server, with and without hedging, while 2 servers are
/// periodically ten times slower. Also measures retry amplification when every answer is 503.

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto vmCount = std::size_t{11};
constexpr auto meanServiceTime = milliseconds(20);
constexpr auto slowFactor = 10; ///< service time of a slow server relative to a healthy one
constexpr auto slowServers = std::size_t{2};
constexpr auto runLength = seconds(120);
constexpr auto requestTimeout = seconds(5);
const auto anyTeam = TeamId("any");

// Latency-aware choice with outlier detection disabled: no latency reaches this factor.
class ChoiceWithoutOutlierDetection : public LatencyAwareBalancer
{
public:
    ChoiceWithoutOutlierDetection()
        : LatencyAwareBalancer({.outlierFactor = 1e9})
    { }
};

struct Setup
{
    std::string name;
    std::size_t servers = 12;
    std::uint32_t slots = 2;
    Duration hopLatency; ///< one-way latency between two VMs
    double load = 0.5; ///< offered load as a fraction of all slots, if every server is healthy
};

struct Figures
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    std::uint64_t hedges = 0;
    std::vector<double> latencies; ///< in milliseconds
};

// The first slowServers servers are slow during the second half of every 20 s period.
auto isSlow(std::size_t server, TimePoint now) -> bool
{
    return server < slowServers && (now - simulationStart) % seconds(20) >= seconds(10);
}

template <PoolBalancer Choice>
class PoolRun
{
public:
    PoolRun(const Setup &setup, bool hedging)
        : m_setup(setup)
        , m_hedging(hedging)
        , m_choices(vmCount)
        , m_hedges(vmCount, HedgePolicy(HedgeOptions{}))
    {
        for (auto index = std::size_t{0}; index < setup.servers; ++index) {
            m_ids.emplace_back(std::to_string(index));
            const auto serviceTime = [this, index] {
                const auto time = drawExponential(meanServiceTime, m_random);
                return isSlow(index, m_events.now()) ? slowFactor * time : time;
            };
            m_servers.push_back(std::make_unique<DispatchedServer>(
                m_events, AdmissionOptions{.slots = setup.slots}, serviceTime));
        }
    }

    auto run() -> Figures
    {
        arrive();
        m_events.runUntil(simulationStart + runLength + requestTimeout);
        return m_figures;
    }

private:
    struct Attempt
    {
        std::size_t server = 0;
        AdmissionId id = 0;
    };
    struct Request
    {
        std::size_t vm = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
        std::vector<Attempt> attempts;
        std::uint32_t running = 0;
        bool done = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void arrive()
    {
        if (m_events.now() >= simulationStart + runLength) {
            return;
        }
        const auto now = m_events.now();
        const auto request = std::make_shared<Request>(Request{
            .vm = m_random() % vmCount, .arrivedAt = now, .deadline = now + requestTimeout});
        ++m_figures.requests;
        send(request, m_ids);
        const auto hedgeAt = m_hedges[request->vm].onRequest("GET", request->deadline, now);
        if (m_hedging && hedgeAt) {
            m_events.at(*hedgeAt, [this, request] { hedge(request); });
        }
        const auto offeredSlots =
            m_setup.load * static_cast<double>(m_setup.servers) * m_setup.slots;
        const auto meanInterarrivalTime =
            fromMilliseconds(toMilliseconds(meanServiceTime) / offeredSlots);
        m_events.after(drawExponential(meanInterarrivalTime, m_random), [this] { arrive(); });
    }

    void hedge(const RequestPtr &request)
    {
        if (request->done || !m_hedges[request->vm].take()) {
            return;
        }
        auto others = m_ids;
        std::erase(others, m_ids[request->attempts.front().server]);
        ++m_figures.hedges;
        send(request, others);
    }

    void send(const RequestPtr &request, const std::vector<BackendServerId> &candidates)
    {
        const auto startedAt = m_events.now();
        auto &choice = m_choices[request->vm];
        const auto &id = candidates[choice.choose(candidates, m_random, startedAt)];
        const auto server = static_cast<std::size_t>(std::stoul(id.value()));
        choice.onStart(id, startedAt);
        ++request->running;
        const auto index = request->attempts.size();
        request->attempts.push_back(Attempt{.server = server});
        m_events.after(m_setup.hopLatency, [this, request, index, server, startedAt] {
            const auto onEnd = [this, request, index, startedAt](bool answered) {
                m_events.after(m_setup.hopLatency, [=, this] {
                    end(request, index, {.startedAt = startedAt, .failed = !answered});
                });
            };
            request->attempts[index].id = m_servers[server]->submit(
                anyTeam, request->deadline, {.onStart = [] {}, .onEnd = onEnd});
        });
    }

    void end(const RequestPtr &request, std::size_t index, PoolRequestResult outcome)
    {
        const auto now = m_events.now();
        // An attempt that is cancelled because another one was answered is not a failure of its
        // server.
        outcome.failed = outcome.failed && !request->done;
        m_choices[request->vm].onEnd(m_ids[request->attempts[index].server], outcome, now);
        --request->running;
        if (request->done || (outcome.failed && request->running > 0)) {
            return;
        }
        request->done = true;
        m_figures.failed += outcome.failed ? 1 : 0;
        if (!outcome.failed) {
            m_hedges[request->vm].onAnswer(now - outcome.startedAt, now);
            m_figures.latencies.push_back(toMilliseconds(now - request->arrivedAt));
        }
        for (const auto &attempt : request->attempts) {
            m_servers[attempt.server]->cancel(attempt.id);
        }
    }

    Setup m_setup;
    bool m_hedging;
    EventQueue m_events;
    RandomEngine m_random{11};
    std::vector<BackendServerId> m_ids;
    std::vector<std::unique_ptr<DispatchedServer>> m_servers;
    std::vector<Choice> m_choices;
    std::vector<HedgePolicy> m_hedges;
    Figures m_figures;
};

void print(const Setup &setup, const std::string &choice, const Figures &figures,
           const Figures &baseline)
{
    const auto prefix = "pool." + setup.name + "." + choice + ".";
    const auto percentOf = [](std::uint64_t part, const Figures &whole) {
        return 100.0 * static_cast<double>(part) / static_cast<double>(whole.requests);
    };
    for (const auto percent : {50.0, 99.0, 99.9}) {
        const auto name = percent > 99.0 ? "p999" : percent > 50.0 ? "p99" : "p50";
        printFigure(prefix + name, percentile(figures.latencies, percent), "ms",
                    percentile(baseline.latencies, percent));
    }
    printFigure(prefix + "failed", percentOf(figures.failed, figures), "percent",
                percentOf(baseline.failed, baseline));
    printFigure(prefix + "hedges", percentOf(figures.hedges, figures), "percent", 0.0);
}

void compareChoices(const Setup &setup)
{
    const auto baseline = PoolRun<RoundRobinBalancer>(setup, false).run();
    print(setup, "round_robin_hedged", PoolRun<RoundRobinBalancer>(setup, true).run(), baseline);
    print(setup, "least_requests", PoolRun<LeastRequestsBalancer>(setup, false).run(), baseline);
    print(setup, "latency_aware_without_outliers",
          PoolRun<ChoiceWithoutOutlierDetection>(setup, false).run(), baseline);
    print(setup, "least_requests_hedged", PoolRun<LeastRequestsBalancer>(setup, true).run(),
          baseline);
    print(setup, "latency_aware", PoolRun<LatencyAwareBalancer>(setup, false).run(), baseline);
    print(setup, "latency_aware_hedged", PoolRun<LatencyAwareBalancer>(setup, true).run(),
          baseline);
}

// Returns the mean number of attempts per request when every attempt is answered with 503 and the
// server has not run it.
auto amplification(const RetryOptions &options) -> double
{
    constexpr auto requests = 100'000;
    auto random = RandomEngine(1);
    auto policy = RetryPolicy(options);
    auto attempts = 0.0;
    for (auto request = 0; request < requests; ++request) {
        policy.onRequest();
        auto attempt = FailedAttempt{
            .verdict = Verdict::NotRun, .status = 503, .deadline = simulationStart + seconds(5)};
        ++attempts;
        while (policy.nextAttempt(attempt, simulationStart, random)) {
            ++attempt.attempts;
            ++attempts;
        }
    }
    return attempts / requests;
}

} // namespace

auto main() -> int
{
    compareChoices({"lavalleja", 12, 2, microseconds(500)});
    compareChoices({"reykjavik", 13, 6, microseconds(1400)});
    printFigure("retry.amplification_all_503", amplification({}), "attempts_per_request",
                amplification({.budgetRatio = 10.0, .budgetCapacity = 1e9}));
}
