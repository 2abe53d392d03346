#include "bench_support.h"

#include "figlanding/token_limit.h"

#include <optional>

/// @file
/// Compares the fleet-wide team limits with equal static shares, while one team sends five times
/// its rate: excess over the bound, wrongful refusals, the worst-served other team, and refusals
/// after the home VM of the tokens is lost or moved.

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto vmCount = std::size_t{11};
constexpr auto runLength = seconds(120);
constexpr auto homeChange = simulationStart + seconds(60);
constexpr auto suspicionTimeout = milliseconds(500);
constexpr auto homeWait = milliseconds(650); ///< view lifetime and clock drift

struct Setup
{
    std::string name;
    Duration hop; ///< one way between two VMs
    std::size_t vmsPerTeam = 3; ///< VMs that most requests of a team arrive at
};

struct TeamSetup
{
    TokenRate rate;
    double demandFactor = 0.9; ///< demand relative to the rate
};

// A few large teams; the first one sends five times its rate.
const auto teamSetups = std::vector<TeamSetup>{
    {{200.0, 200.0}, 5.0}, {{200.0, 200.0}, 0.9}, {{100.0, 100.0}, 0.9}, {{50.0, 50.0}, 0.9},
    {{20.0, 20.0}, 0.9},   {{20.0, 10.0}, 0.7},   {{10.0, 10.0}, 0.7},   {{5.0, 10.0}, 0.7},
};

// A token bucket that all VMs would see at once and without delay: the ideal.
class Bucket
{
public:
    explicit Bucket(const TokenRate &rate)
        : m_rate(rate)
        , m_level(rate.burst)
    { }

    auto take(TimePoint now) -> bool
    {
        const auto elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
        m_level = std::min(m_rate.burst, m_level + m_rate.perSecond * elapsed);
        m_updatedAt = now;
        if (m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

private:
    TokenRate m_rate;
    double m_level;
    TimePoint m_updatedAt = simulationStart;
};

struct TeamFigures
{
    std::uint64_t requests = 0;
    std::uint64_t ideal = 0; ///< admitted by the ideal bucket
    std::uint64_t admitted = 0;
    std::uint64_t aroundChange = 0; ///< refused in the 5 s after a change of home
    std::uint64_t wrongful = 0; ///< refused although the ideal bucket admits
    std::uint64_t excess = 0; ///< admitted beyond the bound
    std::vector<double> waits; ///< in milliseconds
};

// Equal static shares: each VM has a bucket with its part of the rate and the burst. A share of
// the burst below one token would admit nothing, so it is at least one.
class StaticShares
{
public:
    StaticShares(const Setup & /*setup*/, const TokenRate &rate, EventQueue &events)
        : m_events(events)
    {
        const auto share = TokenRate{.perSecond = rate.perSecond / vmCount,
                                     .burst = std::max(1.0, rate.burst / vmCount)};
        m_buckets.assign(vmCount, Bucket(share));
    }

    void arrive(std::size_t vm, const std::function<void(bool)> &onDecision)
    {
        onDecision(m_buckets[vm].take(m_events.now()));
    }

private:
    EventQueue &m_events;
    std::vector<Bucket> m_buckets;
};

// The real TokenIssuer and TokenClient with messages that take one hop.
class BorrowedTokens
{
public:
    BorrowedTokens(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : m_events(events)
        , m_rate(rate)
        , m_hop(setup.hop)
        , m_home(rate, m_options, 1, simulationStart)
        , m_vms(vmCount, Vm{.borrower = TokenClient(m_options)})
    { }

    void arrive(std::size_t vm, const std::function<void(bool)> &onDecision)
    {
        const auto decision = m_vms[vm].borrower.arrive(m_events.now());
        if (decision == TokenDecision::Wait) {
            m_vms[vm].waiting.push_back({m_events.now(), onDecision});
        } else {
            onDecision(decision == TokenDecision::Admit);
        }
        proceed(vm);
    }

protected:
    // The home stops. After a silence its successor is made, which opens after a wait.
    void loseHome(Duration silence, Duration wait)
    {
        static_cast<void>(m_home.release(0, m_events.now()));
        m_events.after(silence, [this, wait] {
            m_home = TokenIssuer(m_rate, m_options, 2, m_events.now() + wait);
        });
    }

    // The home's successor opens when the hand-over has arrived.
    void handOverHome()
    {
        const auto handOver = m_home.release(2, m_events.now());
        m_home = TokenIssuer(m_rate, m_options, 2, m_events.now() + homeWait);
        m_events.after(m_hop, [this, handOver] { m_home.accept(*handOver, m_events.now()); });
    }

private:
    struct Waiting
    {
        TimePoint arrivedAt;
        std::function<void(bool)> onDecision;
    };
    struct Vm
    {
        TokenClient borrower;
        std::vector<Waiting> waiting;
        bool timerArmed = false;
    };

    [[nodiscard]] auto hopOf(std::size_t vm) const -> Duration
    {
        return vm == 0 ? Duration{} : m_hop;
    }

    void proceed(std::size_t vm)
    {
        auto &borrower = m_vms[vm].borrower;
        if (const auto ask = borrower.takeTokenRequest(m_events.now())) {
            m_events.after(hopOf(vm), [this, vm, ask] {
                const auto grant = m_home.grant(*ask, m_events.now());
                m_events.after(hopOf(vm), [this, vm, grant] {
                    m_vms[vm].borrower.onGrant(grant, m_events.now());
                    retry(vm);
                });
            });
        }
        const auto moment = borrower.wakeUpAt(m_events.now());
        if (moment && !m_vms[vm].timerArmed) {
            m_vms[vm].timerArmed = true;
            m_events.at(std::max(*moment, m_events.now() + milliseconds(1)), [this, vm] {
                m_vms[vm].timerArmed = false;
                retry(vm);
            });
        }
    }

    void retry(std::size_t vm)
    {
        auto waiting = std::exchange(m_vms[vm].waiting, {});
        for (auto &request : waiting) {
            const auto decision = m_vms[vm].borrower.retry(request.arrivedAt, m_events.now());
            if (decision == TokenDecision::Wait) {
                m_vms[vm].waiting.push_back(std::move(request));
            } else {
                request.onDecision(decision == TokenDecision::Admit);
            }
        }
        proceed(vm);
    }

    TokenLimitOptions m_options;
    EventQueue &m_events;
    TokenRate m_rate;
    Duration m_hop;
    TokenIssuer m_home;
    std::vector<Vm> m_vms;
};

// The home VM is lost and suspected after a while.
class LostHomeTokens : public BorrowedTokens
{
public:
    LostHomeTokens(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : BorrowedTokens(setup, rate, events)
    {
        events.at(homeChange, [this] { loseHome(suspicionTimeout, homeWait); });
    }
};

// The home moves to another VM by plan.
class MovedHomeTokens : public BorrowedTokens
{
public:
    MovedHomeTokens(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : BorrowedTokens(setup, rate, events)
    {
        events.at(homeChange, [this] { handOverHome(); });
    }
};

// Most requests of a team arrive at a few VMs, as callers keep their connections.
auto drawVm(const Setup &setup, std::size_t team, RandomEngine &random) -> std::size_t
{
    constexpr auto spreadPercent = 20U;
    if (random() % 100 < spreadPercent) {
        return random() % vmCount;
    }
    return (team * setup.vmsPerTeam + random() % setup.vmsPerTeam) % vmCount;
}

template <typename Limit>
auto simulateTeam(const Setup &setup, std::size_t team) -> TeamFigures
{
    const auto &teamSetup = teamSetups[team];
    auto events = EventQueue();
    auto random = RandomEngine(team + 1);
    auto figures = TeamFigures{};
    auto limit = Limit(setup, teamSetup.rate, events);
    auto ideal = Bucket(teamSetup.rate);
    auto bound = Bucket(teamSetup.rate);
    const auto gap = fromMilliseconds(1000.0 / (teamSetup.rate.perSecond * teamSetup.demandFactor));
    auto next = std::function<void()>();
    next = [&] {
        // The home's bucket starts empty and must fill before the figures count.
        const auto counts = events.now() > simulationStart + seconds(5);
        const auto arrivedAt = events.now();
        const auto admits = ideal.take(arrivedAt);
        figures.requests += counts ? 1 : 0;
        figures.ideal += counts && admits ? 1 : 0;
        limit.arrive(drawVm(setup, team, random), [&, counts, arrivedAt, admits](bool admitted) {
            figures.excess += admitted && !bound.take(events.now()) ? 1 : 0;
            figures.admitted += counts && admitted ? 1 : 0;
            figures.wrongful += counts && admits && !admitted ? 1 : 0;
            const auto recent = arrivedAt >= homeChange && arrivedAt < homeChange + seconds(5);
            figures.aroundChange += recent && admits && !admitted ? 1 : 0;
            if (counts && admitted) {
                figures.waits.push_back(toMilliseconds(events.now() - arrivedAt));
            }
        });
        events.after(drawExponential(gap, random), next);
    };
    events.after(Duration{}, next);
    events.runUntil(simulationStart + runLength);
    return figures;
}

struct Summary
{
    double excess = 0.0;
    double wrongfulPercent = 0.0; ///< of the requests that the ideal bucket admits, other teams
    double worstRatio = 1.0; ///< admitted by the limit over admitted by the ideal, other teams
    double aroundChange = 0.0; ///< refused in the 5 s after a change of home, other teams
    double noisyRatio = 0.0; ///< the same for the noisy team
    double waitP99 = 0.0;
};

template <typename Limit>
auto simulateTeams(const Setup &setup) -> Summary
{
    auto summary = Summary{};
    auto wrongful = 0.0;
    auto ideal = 0.0;
    auto waits = std::vector<double>{};
    for (auto team = std::size_t{0}; team < teamSetups.size(); ++team) {
        const auto figures = simulateTeam<Limit>(setup, team);
        const auto ratio =
            static_cast<double>(figures.admitted) / static_cast<double>(figures.ideal);
        summary.excess += static_cast<double>(figures.excess);
        if (team == 0) {
            summary.noisyRatio = ratio;
            continue;
        }
        summary.worstRatio = std::min(summary.worstRatio, ratio);
        wrongful += static_cast<double>(figures.wrongful);
        summary.aroundChange += static_cast<double>(figures.aroundChange);
        ideal += static_cast<double>(figures.ideal);
        waits.insert(waits.end(), figures.waits.begin(), figures.waits.end());
    }
    summary.wrongfulPercent = 100.0 * wrongful / ideal;
    summary.waitP99 = percentile(waits, 99);
    return summary;
}

void printLimits(const Setup &setup)
{
    const auto tokens = simulateTeams<BorrowedTokens>(setup);
    const auto shares = simulateTeams<StaticShares>(setup);
    const auto prefix = "limits." + setup.name + ".";
    printFigure(prefix + "excess", tokens.excess, "requests", shares.excess);
    printFigure(prefix + "wrongful_refusals", tokens.wrongfulPercent, "percent",
                shares.wrongfulPercent);
    printFigure(prefix + "worst_other_team", tokens.worstRatio, "ratio", shares.worstRatio);
    printFigure(prefix + "noisy_team", tokens.noisyRatio, "ratio", shares.noisyRatio);
    printFigure(prefix + "token_wait_p99", tokens.waitP99, "ms", shares.waitP99);
    const auto lost = simulateTeams<LostHomeTokens>(setup);
    const auto moved = simulateTeams<MovedHomeTokens>(setup);
    printFigure(prefix + "excess_home_lost", lost.excess, "requests", shares.excess);
    printFigure(prefix + "refused_in_5s_home_lost", lost.aroundChange, "requests",
                shares.aroundChange);
    printFigure(prefix + "refused_in_5s_home_moved", moved.aroundChange, "requests",
                shares.aroundChange);
}

} // namespace

auto main() -> int
{
    printLimits({"lavalleja", microseconds(500)});
    printLimits({"reykjavik", microseconds(1400)});
}
