#include "bench_support.h"

#include "figlanding/token_limit.h"

#include <optional>

/// @file
/// Compares the fleet-wide team limits with equal static shares per VM (the baseline), while one
/// team sends five times its rate. Figures: requests admitted beyond the bound, wrong refusals, the
/// lowest admission ratio among the other teams, the wait for tokens, and refusals after the VM
/// that issues a team's tokens fails or another VM takes over as the issuer.

using namespace figlanding;
using namespace figlanding::bench;

namespace {

constexpr auto vmCount = std::size_t{11};
constexpr auto runLength = seconds(120);
/// Time at which the issuer fails or another VM takes over.
constexpr auto issuerChangeAt = simulationStart + seconds(60);
constexpr auto suspicionTimeout = milliseconds(500); ///< time to detect that an issuer has failed
/// Time for which a new issuer grants no tokens: view lifetime plus clock drift allowance.
constexpr auto issuerOpeningDelay = milliseconds(650);

struct Setup
{
    std::string name;
    Duration hopLatency; ///< one-way latency between two VMs
    std::size_t vmsPerTeam = 3; ///< number of VMs that receive most requests of a team
};

struct TeamSetup
{
    TokenRate rate;
    double demandFactor = 0.9; ///< offered rate relative to the limit
};

// A few large teams and some smaller ones. The first one, the noisy team, sends five times its
// rate.
const auto teamSetups = std::vector<TeamSetup>{
    {{200.0, 200.0}, 5.0}, {{200.0, 200.0}, 0.9}, {{100.0, 100.0}, 0.9}, {{50.0, 50.0}, 0.9},
    {{20.0, 20.0}, 0.9},   {{20.0, 10.0}, 0.7},   {{10.0, 10.0}, 0.7},   {{5.0, 10.0}, 0.7},
};

// Token bucket without communication delay. One bucket for all VMs is the ideal limit that the
// others are compared with.
class SimpleTokenBucket
{
public:
    explicit SimpleTokenBucket(const TokenRate &rate)
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
    /// Refused in the 5 s after the issuer changes, but admitted by the ideal bucket.
    std::uint64_t refusedAfterIssuerChange = 0;
    std::uint64_t wronglyRefused = 0; ///< refused, but admitted by the ideal bucket
    std::uint64_t excess = 0; ///< admitted beyond the bound
    std::vector<double> waits; ///< of admitted requests, in milliseconds
};

// Equal static shares: each VM has its own bucket with 1/vmCount of the rate and of the burst. The
// burst of a share is at least one token, since a smaller one would admit nothing.
class StaticShares
{
public:
    StaticShares(const Setup & /*setup*/, const TokenRate &rate, EventQueue &events)
        : m_events(events)
    {
        const auto share = TokenRate{.perSecond = rate.perSecond / vmCount,
                                     .burst = std::max(1.0, rate.burst / vmCount)};
        m_buckets.assign(vmCount, SimpleTokenBucket(share));
    }

    void arrive(std::size_t vm, const std::function<void(bool)> &onDecision)
    {
        onDecision(m_buckets[vm].take(m_events.now()));
    }

private:
    EventQueue &m_events;
    std::vector<SimpleTokenBucket> m_buckets;
};

// The production TokenIssuer, at the VM with index 0, and one TokenClient per VM. Messages between
// two VMs take one hop.
class IssuedTokens
{
public:
    IssuedTokens(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : m_events(events)
        , m_rate(rate)
        , m_hopLatency(setup.hopLatency)
        , m_issuer(rate, m_options, 1, simulationStart)
        , m_vms(vmCount, Vm{.client = TokenClient(m_options)})
    { }

    void arrive(std::size_t vm, const std::function<void(bool)> &onDecision)
    {
        const auto decision = m_vms[vm].client.arrive(m_events.now());
        if (decision == TokenDecision::Wait) {
            m_vms[vm].waiting.push_back({m_events.now(), onDecision});
        } else {
            onDecision(decision == TokenDecision::Admit);
        }
        requestTokensAndArmTimer(vm);
    }

protected:
    // The issuer fails without a hand-over. Its successor is created after the detection time and
    // grants tokens once the opening delay has passed.
    void loseIssuer(Duration detectionTime, Duration openingDelay)
    {
        static_cast<void>(m_issuer.release(0, m_events.now()));
        m_events.after(detectionTime, [this, openingDelay] {
            m_issuer = TokenIssuer(m_rate, m_options, 2, m_events.now() + openingDelay);
        });
    }

    // Planned change: the successor opens when it receives the remaining tokens of its predecessor.
    void handOverIssuer()
    {
        const auto handOver = m_issuer.release(2, m_events.now());
        m_issuer = TokenIssuer(m_rate, m_options, 2, m_events.now() + issuerOpeningDelay);
        m_events.after(m_hopLatency,
                       [this, handOver] { m_issuer.accept(*handOver, m_events.now()); });
    }

private:
    struct Waiting
    {
        TimePoint arrivedAt;
        std::function<void(bool)> onDecision;
    };
    struct Vm
    {
        TokenClient client;
        std::vector<Waiting> waiting;
        bool timerArmed = false;
    };

    [[nodiscard]] auto latencyToIssuer(std::size_t vm) const -> Duration
    {
        return vm == 0 ? Duration{} : m_hopLatency;
    }

    void requestTokensAndArmTimer(std::size_t vm)
    {
        auto &client = m_vms[vm].client;
        if (const auto tokenRequest = client.takeTokenRequest(m_events.now())) {
            m_events.after(latencyToIssuer(vm), [this, vm, tokenRequest] {
                const auto grant = m_issuer.grant(*tokenRequest, m_events.now());
                m_events.after(latencyToIssuer(vm), [this, vm, grant] {
                    m_vms[vm].client.onGrant(grant, m_events.now());
                    retryWaiting(vm);
                });
            });
        }
        const auto retryAt = client.wakeUpAt(m_events.now());
        if (retryAt && !m_vms[vm].timerArmed) {
            m_vms[vm].timerArmed = true;
            m_events.at(std::max(*retryAt, m_events.now() + milliseconds(1)), [this, vm] {
                m_vms[vm].timerArmed = false;
                retryWaiting(vm);
            });
        }
    }

    void retryWaiting(std::size_t vm)
    {
        auto waiting = std::exchange(m_vms[vm].waiting, {});
        for (auto &request : waiting) {
            const auto decision = m_vms[vm].client.retry(request.arrivedAt, m_events.now());
            if (decision == TokenDecision::Wait) {
                m_vms[vm].waiting.push_back(std::move(request));
            } else {
                request.onDecision(decision == TokenDecision::Admit);
            }
        }
        requestTokensAndArmTimer(vm);
    }

    TokenLimitOptions m_options;
    EventQueue &m_events;
    TokenRate m_rate;
    Duration m_hopLatency;
    TokenIssuer m_issuer;
    std::vector<Vm> m_vms;
};

// The issuer fails and is replaced after the suspicion timeout.
class TokensWithLostIssuer : public IssuedTokens
{
public:
    TokensWithLostIssuer(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : IssuedTokens(setup, rate, events)
    {
        events.at(issuerChangeAt, [this] { loseIssuer(suspicionTimeout, issuerOpeningDelay); });
    }
};

// Another VM takes over as the issuer with a hand-over.
class TokensWithMovedIssuer : public IssuedTokens
{
public:
    TokensWithMovedIssuer(const Setup &setup, const TokenRate &rate, EventQueue &events)
        : IssuedTokens(setup, rate, events)
    {
        events.at(issuerChangeAt, [this] { handOverIssuer(); });
    }
};

// Draws the VM that a request arrives at. Most requests of a team arrive at a few VMs, because
// callers keep their connections open.
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
    auto ideal = SimpleTokenBucket(teamSetup.rate);
    auto bound = SimpleTokenBucket(teamSetup.rate);
    const auto meanInterarrivalTime =
        fromMilliseconds(1000.0 / (teamSetup.rate.perSecond * teamSetup.demandFactor));
    auto next = std::function<void()>();
    next = [&] {
        // Requests of the first 5 s count only towards the excess, because the issuer's bucket
        // starts empty and has to fill first.
        const auto isMeasured = events.now() > simulationStart + seconds(5);
        const auto arrivedAt = events.now();
        const auto admits = ideal.take(arrivedAt);
        figures.requests += isMeasured ? 1 : 0;
        figures.ideal += isMeasured && admits ? 1 : 0;
        limit.arrive(drawVm(setup, team, random),
                     [&, isMeasured, arrivedAt, admits](bool admitted) {
                         figures.excess += admitted && !bound.take(events.now()) ? 1 : 0;
                         figures.admitted += isMeasured && admitted ? 1 : 0;
                         figures.wronglyRefused += isMeasured && admits && !admitted ? 1 : 0;
                         const auto recent =
                             arrivedAt >= issuerChangeAt && arrivedAt < issuerChangeAt + seconds(5);
                         figures.refusedAfterIssuerChange += recent && admits && !admitted ? 1 : 0;
                         if (isMeasured && admitted) {
                             figures.waits.push_back(toMilliseconds(events.now() - arrivedAt));
                         }
                     });
        events.after(drawExponential(meanInterarrivalTime, random), next);
    };
    events.after(Duration{}, next);
    events.runUntil(simulationStart + runLength);
    return figures;
}

struct Summary
{
    double excess = 0.0;
    double wronglyRefusedPercent = 0.0; ///< other teams, of the requests that the ideal admits
    /// Lowest ratio of admitted requests to those that the ideal admits, among the other teams.
    double worstAdmittedRatio = 1.0;
    /// Wrong refusals of the other teams in the 5 s after the issuer changes.
    double refusedAfterIssuerChange = 0.0;
    double noisyAdmittedRatio = 0.0; ///< the same ratio for the noisy team
    double waitP99 = 0.0; ///< other teams, in milliseconds
};

template <typename Limit>
auto simulateTeams(const Setup &setup) -> Summary
{
    auto summary = Summary{};
    auto wronglyRefused = 0.0;
    auto ideal = 0.0;
    auto waits = std::vector<double>{};
    for (auto team = std::size_t{0}; team < teamSetups.size(); ++team) {
        const auto figures = simulateTeam<Limit>(setup, team);
        const auto ratio =
            static_cast<double>(figures.admitted) / static_cast<double>(figures.ideal);
        summary.excess += static_cast<double>(figures.excess);
        if (team == 0) {
            summary.noisyAdmittedRatio = ratio;
            continue;
        }
        summary.worstAdmittedRatio = std::min(summary.worstAdmittedRatio, ratio);
        wronglyRefused += static_cast<double>(figures.wronglyRefused);
        summary.refusedAfterIssuerChange += static_cast<double>(figures.refusedAfterIssuerChange);
        ideal += static_cast<double>(figures.ideal);
        waits.insert(waits.end(), figures.waits.begin(), figures.waits.end());
    }
    summary.wronglyRefusedPercent = 100.0 * wronglyRefused / ideal;
    summary.waitP99 = percentile(waits, 99);
    return summary;
}

void printLimits(const Setup &setup)
{
    const auto tokens = simulateTeams<IssuedTokens>(setup);
    const auto shares = simulateTeams<StaticShares>(setup);
    const auto prefix = "limits." + setup.name + ".";
    printFigure(prefix + "excess", tokens.excess, "requests", shares.excess);
    printFigure(prefix + "wrongful_refusals", tokens.wronglyRefusedPercent, "percent",
                shares.wronglyRefusedPercent);
    printFigure(prefix + "worst_other_team", tokens.worstAdmittedRatio, "ratio",
                shares.worstAdmittedRatio);
    printFigure(prefix + "noisy_team", tokens.noisyAdmittedRatio, "ratio",
                shares.noisyAdmittedRatio);
    printFigure(prefix + "token_wait_p99", tokens.waitP99, "ms", shares.waitP99);
    const auto lost = simulateTeams<TokensWithLostIssuer>(setup);
    const auto moved = simulateTeams<TokensWithMovedIssuer>(setup);
    printFigure(prefix + "excess_home_lost", lost.excess, "requests", shares.excess);
    printFigure(prefix + "refused_in_5s_home_lost", lost.refusedAfterIssuerChange, "requests",
                shares.refusedAfterIssuerChange);
    printFigure(prefix + "refused_in_5s_home_moved", moved.refusedAfterIssuerChange, "requests",
                shares.refusedAfterIssuerChange);
}

} // namespace

auto main() -> int
{
    printLimits({"lavalleja", microseconds(500)});
    printLimits({"reykjavik", microseconds(1400)});
}
