#include "bench_support.h"

#include <deque>
#include <memory>

/// @file
/// Compares three ways to share a backend server's slots among the entry VMs: no coordination (the
/// baseline), one dispatching VM per server, and slot credits. Figures: requests sent while all
/// slots were in use (slot violations), slot utilisation and, below full load, the time from
/// arrival to start.

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto vmCount = std::size_t{11};
constexpr auto meanServiceTime = milliseconds(20);
constexpr auto unreachableDeadline = simulationStart + seconds(100'000);
const auto anyTeam = TeamId("any");

struct Setup
{
    std::string name;
    std::uint32_t slots = 2;
    Duration hopLatency; ///< one-way latency between two VMs
    double load = 0.7; ///< offered load as a fraction of the slots
    seconds length{500};
};

struct Figures
{
    std::uint64_t requests = 0;
    std::uint64_t violations = 0; ///< requests sent while all slots were in use
    double busySeconds = 0.0; ///< sum of the service times of all started requests
    std::vector<double> waits; ///< from arrival to start, in milliseconds
};

// A backend server without admission control. Requests beyond its slots queue inside the server,
// and each counts as a violation.
class ServerWithoutAdmission
{
public:
    ServerWithoutAdmission(EventQueue &events, RandomEngine &random, Figures &figures,
                           std::uint32_t slots)
        : m_events(events)
        , m_random(random)
        , m_figures(figures)
        , m_slots(slots)
    { }

    void run(TimePoint arrivedAt, EventQueue::Callback onEnd)
    {
        if (m_running >= m_slots) {
            ++m_figures.violations;
            m_waiting.emplace_back(arrivedAt, std::move(onEnd));
            return;
        }
        ++m_running;
        m_figures.waits.push_back(toMilliseconds(m_events.now() - arrivedAt));
        const auto time = drawExponential(meanServiceTime, m_random);
        m_figures.busySeconds += toMilliseconds(time) / 1000.0;
        m_events.after(time, [this, onEnd = std::move(onEnd)] {
            --m_running;
            if (!m_waiting.empty()) {
                auto [next, callback] = std::move(m_waiting.front());
                m_waiting.pop_front();
                run(next, std::move(callback));
            }
            onEnd();
        });
    }

private:
    EventQueue &m_events;
    RandomEngine &m_random;
    Figures &m_figures;
    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    std::deque<std::pair<TimePoint, EventQueue::Callback>> m_waiting;
};

// Baseline without coordination: each VM sends at most one request at a time. A static share of the
// slots is not possible, because 2 slots cannot be divided among 11 VMs.
class UncoordinatedVms
{
public:
    UncoordinatedVms(const Setup &setup, EventQueue &events, RandomEngine &random, Figures &figures)
        : m_events(events)
        , m_server(events, random, figures, setup.slots)
        , m_vms(vmCount)
    { }

    void arrive(std::size_t vm)
    {
        m_vms[vm].queue.push_back(m_events.now());
        startNext(vm);
    }

private:
    struct Vm
    {
        std::deque<TimePoint> queue;
        bool busy = false;
    };

    void startNext(std::size_t vm)
    {
        auto &state = m_vms[vm];
        if (state.busy || state.queue.empty()) {
            return;
        }
        state.busy = true;
        const auto arrivedAt = state.queue.front();
        state.queue.pop_front();
        m_server.run(arrivedAt, [this, vm] {
            m_vms[vm].busy = false;
            startNext(vm);
        });
    }

    EventQueue &m_events;
    ServerWithoutAdmission m_server;
    std::vector<Vm> m_vms;
};

// One dispatching VM (index 0) per server, with the production ServerAdmission. Requests that
// arrive at another VM reach it after one hop.
class OneDispatcher
{
public:
    OneDispatcher(const Setup &setup, EventQueue &events, RandomEngine &random, Figures &figures)
        : m_events(events)
        , m_figures(figures)
        , m_hopLatency(setup.hopLatency)
        , m_slots(setup.slots)
        , m_server(events, optionsFor(setup), [&random, &figures] {
            const auto time = drawExponential(meanServiceTime, random);
            figures.busySeconds += toMilliseconds(time) / 1000.0;
            return time;
        })
    { }

    void arrive(std::size_t vm)
    {
        const auto arrivedAt = m_events.now();
        m_events.after(vm == 0 ? Duration{} : m_hopLatency,
                       [this, arrivedAt] { submit(arrivedAt); });
    }

private:
    static auto optionsFor(const Setup &setup) -> AdmissionOptions
    {
        constexpr auto unbounded = std::size_t{1'000'000};
        return AdmissionOptions{.slots = setup.slots,
                                .queue = {.maxItems = unbounded, .maxItemsPerTeam = unbounded},
                                .coldStart = {.initialLimit = setup.slots, .jumpFactor = 1e9}};
    }

    void submit(TimePoint arrivedAt)
    {
        const auto onStart = [this, arrivedAt] {
            m_figures.violations += ++m_running > m_slots ? 1 : 0;
            m_figures.waits.push_back(toMilliseconds(m_events.now() - arrivedAt));
        };
        const auto onEnd = [this](bool /*answered*/) { --m_running; };
        m_server.submit(anyTeam, unreachableDeadline, {.onStart = onStart, .onEnd = onEnd});
    }

    EventQueue &m_events;
    Figures &m_figures;
    Duration m_hopLatency;
    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    DispatchedServer m_server;
};

// Slot credits: the VM with index 0 holds one credit per slot. An entry VM requests a credit for
// each arriving request, sends its queued requests one after another until the credit expires or
// its queue is empty, and then returns the credit.
class SlotCredits
{
public:
    SlotCredits(const Setup &setup, EventQueue &events, RandomEngine &random, Figures &figures)
        : m_events(events)
        , m_server(events, random, figures, setup.slots)
        , m_hopLatency(setup.hopLatency)
        , m_credits(setup.slots)
        , m_queues(vmCount)
    { }

    void arrive(std::size_t vm)
    {
        m_queues[vm].push_back(m_events.now());
        m_events.after(latencyToDispatcher(vm), [this, vm] {
            m_creditRequests.push_back(vm);
            grantCredits();
        });
    }

private:
    static constexpr auto creditLifetime = milliseconds(50);

    [[nodiscard]] auto latencyToDispatcher(std::size_t vm) const -> Duration
    {
        return vm == 0 ? Duration{} : m_hopLatency;
    }

    void grantCredits()
    {
        while (m_credits > 0 && !m_creditRequests.empty()) {
            --m_credits;
            const auto vm = m_creditRequests.front();
            m_creditRequests.pop_front();
            const auto expiresAt = m_events.now() + creditLifetime;
            m_events.after(latencyToDispatcher(vm),
                           [this, vm, expiresAt] { useCredit(vm, expiresAt); });
        }
    }

    void useCredit(std::size_t vm, TimePoint expiresAt)
    {
        if (m_queues[vm].empty() || m_events.now() >= expiresAt) {
            m_events.after(latencyToDispatcher(vm), [this] {
                ++m_credits;
                grantCredits();
            });
            return;
        }
        const auto arrivedAt = m_queues[vm].front();
        m_queues[vm].pop_front();
        m_server.run(arrivedAt, [this, vm, expiresAt] { useCredit(vm, expiresAt); });
    }

    EventQueue &m_events;
    ServerWithoutAdmission m_server;
    Duration m_hopLatency;
    std::uint32_t m_credits;
    std::deque<std::size_t> m_creditRequests;
    std::vector<std::deque<TimePoint>> m_queues;
};

template <typename Model>
auto simulate(const Setup &setup) -> Figures
{
    auto events = EventQueue();
    // Arrivals use a separate random engine, so that every model gets the same arrival sequence.
    auto random = RandomEngine(1);
    auto serviceRandom = RandomEngine(2);
    auto figures = Figures{};
    auto model = Model(setup, events, serviceRandom, figures);
    const auto meanInterarrivalTime =
        fromMilliseconds(toMilliseconds(meanServiceTime) / (setup.load * setup.slots));
    auto next = std::function<void()>();
    next = [&] {
        ++figures.requests;
        model.arrive(std::uniform_int_distribution<std::size_t>(0, vmCount - 1)(random));
        events.after(drawExponential(meanInterarrivalTime, random), next);
    };
    events.after(Duration{}, next);
    events.runUntil(simulationStart + setup.length);
    return figures;
}

void print(const Setup &setup, const std::string &model, const Figures &figures,
           const Figures &baseline)
{
    const auto perThousand = [](const Figures &f) {
        return 1000.0 * static_cast<double>(f.violations) / static_cast<double>(f.requests);
    };
    const auto utilisation = [&setup](const Figures &f) {
        const auto available = std::chrono::duration<double>(setup.length).count() * setup.slots;
        return std::min(100.0, 100.0 * f.busySeconds / available);
    };
    const auto prefix = "admission." + setup.name + "." + model + ".";
    printFigure(prefix + "slot_violations", perThousand(figures), "per_1000_requests",
                perThousand(baseline));
    printFigure(prefix + "utilisation", utilisation(figures), "percent", utilisation(baseline));
    if (setup.load >= 1.0) {
        return; // under overload the waits depend on the length of the run
    }
    for (const auto percent : {50, 99}) {
        printFigure(prefix + "wait_p" + std::to_string(percent), percentile(figures.waits, percent),
                    "ms", percentile(baseline.waits, percent));
    }
}

} // namespace

auto main() -> int
{
    const auto setups = std::vector<Setup>{
        {"lavalleja.load70", 2, microseconds(500), 0.7},
        {"lavalleja.load90", 2, microseconds(500), 0.9},
        {"lavalleja.load150", 2, microseconds(500), 1.5, seconds(20)},
        {"reykjavik.load70", 6, microseconds(1400), 0.7},
        {"reykjavik.load90", 6, microseconds(1400), 0.9},
        {"reykjavik.load150", 6, microseconds(1400), 1.5, seconds(20)},
    };
    for (const auto &setup : setups) {
        const auto alone = simulate<UncoordinatedVms>(setup);
        print(setup, "one_dispatcher", simulate<OneDispatcher>(setup), alone);
        print(setup, "slot_credits", simulate<SlotCredits>(setup), alone);
    }
}
