#include "bench_support.h"

#include <optional>

/// @file
/// Counts the requests that a cold server receives beyond its capacity and sheds, and those that it
/// answers, with the cold-start ramp and without it (the baseline).

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto warmServiceTime = milliseconds(20);
constexpr auto coldFactor = 5; ///< service time of a cold server relative to a warm one
constexpr auto timePerSlot = seconds(1); ///< time in which a cold server gains one slot
constexpr auto coldAt = simulationStart + seconds(20);
constexpr auto runEnd = simulationStart + seconds(40);
constexpr auto probeInterval = milliseconds(200);
constexpr auto requestTimeout = seconds(1);
constexpr auto offeredLoad = 0.7; ///< as a fraction of the slots of a warm server
const auto anyTeam = TeamId("any");

/// How the dispatching VM can tell that the server is cold.
enum class ColdSignal {
    BootId, ///< the server restarts: running requests are lost, probes return a new boot id
    ColdReport, ///< probes report that the server is cold
    None, ///< only by longer service times
};

struct Figures
{
    std::uint64_t overCapacity = 0; ///< sent beyond the server's capacity, and shed
    std::uint64_t answered = 0; ///< of the requests sent since the cold phase began
};

class ColdStartRun
{
public:
    ColdStartRun(std::uint32_t slots, ColdSignal coldSignal, const ColdStartOptions &ramp)
        : m_slots(slots)
        , m_coldSignal(coldSignal)
        , m_admission({.slots = slots, .coldStart = ramp})
    { }

    auto run() -> Figures
    {
        arrive();
        probe();
        m_events.at(coldAt, [this] { turnCold(); });
        m_events.runUntil(runEnd);
        return m_figures;
    }

private:
    // Returns the number of requests that the server can process at once.
    [[nodiscard]] auto capacity() const -> std::uint32_t
    {
        const auto now = m_events.now();
        return now < coldAt
            ? m_slots
            : std::min(m_slots, static_cast<std::uint32_t>(1 + (now - coldAt) / timePerSlot));
    }

    [[nodiscard]] auto isCold() const -> bool
    {
        return m_events.now() >= coldAt && capacity() < m_slots;
    }

    void arrive()
    {
        const auto now = m_events.now();
        const auto request =
            AdmissionRequest{.id = ++m_lastId, .team = anyTeam, .deadline = now + requestTimeout};
        if (m_admission.submit(request, now) == AdmissionOutcome::Started) {
            send(request.id);
        }
        const auto meanInterarrivalTime =
            fromMilliseconds(toMilliseconds(warmServiceTime) / (offeredLoad * m_slots));
        m_events.after(drawExponential(meanInterarrivalTime, m_random), [this] { arrive(); });
    }

    void probe()
    {
        const auto now = m_events.now();
        auto &ramp = m_admission.ramp();
        ramp.onBootId(m_coldSignal == ColdSignal::BootId && now >= coldAt ? "second" : "first",
                      now);
        if (m_coldSignal == ColdSignal::ColdReport && isCold()) {
            ramp.onColdReport(now);
        } else {
            ramp.onWarmReport();
        }
        m_events.after(probeInterval, [this] { probe(); });
    }

    void turnCold()
    {
        if (m_coldSignal == ColdSignal::BootId) {
            ++m_boot;
            m_running = 0;
        }
    }

    void send(AdmissionId id)
    {
        const auto sentAt = m_events.now();
        if (m_running >= capacity()) {
            ++m_figures.overCapacity;
            m_events.after(milliseconds(1),
                           [this, id, sentAt] { finish(id, RequestEnd::Shed, sentAt); });
            return;
        }
        ++m_running;
        const auto time = (isCold() ? coldFactor : 1) * drawExponential(warmServiceTime, m_random);
        m_events.after(time, [this, id, sentAt, boot = m_boot] {
            const auto lost = boot != m_boot;
            m_running -= lost ? 0 : 1;
            m_figures.answered += !lost && sentAt >= coldAt ? 1 : 0;
            finish(id, lost ? RequestEnd::Lost : RequestEnd::Answered, sentAt);
        });
    }

    void finish(AdmissionId id, RequestEnd end, TimePoint sentAt)
    {
        const auto now = m_events.now();
        m_admission.finish(id, end, now - sentAt, now);
        m_admission.confirmEnded(id);
        while (const auto next = m_admission.takeNext(now)) {
            send(next->id);
        }
        static_cast<void>(m_admission.takeRefused(now));
    }

    std::uint32_t m_slots;
    ColdSignal m_coldSignal;
    EventQueue m_events;
    RandomEngine m_random{21};
    ServerAdmission m_admission;
    std::uint32_t m_running = 0;
    std::uint32_t m_boot = 0;
    AdmissionId m_lastId = 0;
    Figures m_figures;
};

void compare(const std::string &deployment, std::uint32_t slots)
{
    struct Row
    {
        std::string name;
        ColdSignal coldSignal;
    };
    const auto rows = std::vector<Row>{{"boot_id", ColdSignal::BootId},
                                       {"cold_report", ColdSignal::ColdReport},
                                       {"no_sign", ColdSignal::None}};
    const auto withoutRamp = ColdStartOptions{.initialLimit = slots, .jumpFactor = 1e9};
    for (const auto &row : rows) {
        const auto ramp = ColdStartRun(slots, row.coldSignal, {}).run();
        const auto baseline = ColdStartRun(slots, row.coldSignal, withoutRamp).run();
        const auto prefix = "cold_start." + deployment + "." + row.name + ".";
        printFigure(prefix + "beyond_borne", static_cast<double>(ramp.overCapacity), "requests",
                    static_cast<double>(baseline.overCapacity));
        printFigure(prefix + "answered_in_20s", static_cast<double>(ramp.answered), "requests",
                    static_cast<double>(baseline.answered));
    }
}

} // namespace

auto main() -> int
{
    compare("lavalleja", 2);
    compare("reykjavik", 6);
}
