#include "figlanding/token_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto viewLifetimeAndDrift = milliseconds(650);

struct Scenario
{
    std::string name;
    TokenRate rate;
    double demandFactor; ///< total demand of all VMs, relative to the rate
    double lossProbability;
    bool issuerChanges;
    bool bursts = false; ///< all demand arrives in one fifth of the time
    int lifetimeFactor = 1; ///< above 1, clients use tokens for longer than granted
};

// Model of the entry VMs, the issuers and the messages between them. Delays are random, messages
// may be lost or reordered, and the issuer changes with and without a hand-over.
class LimitModel
{
public:
    LimitModel(const Scenario &scenario, std::uint32_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_clients(vmCount, TokenClient(m_options))
        , m_issuer(scenario.rate, m_options, 1, start)
    { }

    auto run(Duration length) -> std::vector<TimePoint>
    {
        const auto requestsPerSecond = m_scenario.rate.perSecond * m_scenario.demandFactor;
        auto gap = std::exponential_distribution<double>(requestsPerSecond);
        auto nextRequest = start;
        auto nextIssuerChange = start + seconds(1);
        for (auto now = start; now < start + length; now += microseconds(500)) {
            for (; nextRequest <= now;
                 nextRequest += microseconds(1 + static_cast<int>(gap(m_random) * 1e6))) {
                if (!m_scenario.bursts || (now - start) % milliseconds(500) < milliseconds(100)) {
                    arrive(m_random() % vmCount, now);
                }
            }
            if (m_scenario.issuerChanges && now >= nextIssuerChange) {
                changeIssuer(now);
                nextIssuerChange = now + milliseconds(300 + m_random() % 2000);
            }
            deliver(now);
            retryWaiting(now);
        }
        return m_admitted;
    }

private:
    static constexpr auto vmCount = std::size_t{7};
    struct Message
    {
        std::size_t vm = 0;
        TokenRequest request;
        std::optional<TokenGrant> grant;
    };

    void arrive(std::size_t vm, TimePoint now)
    {
        const auto decision = m_clients[vm].arrive(now);
        if (decision == TokenDecision::Admit) {
            m_admitted.push_back(now);
        } else if (decision == TokenDecision::Wait) {
            m_waiting.emplace_back(vm, now);
        }
        sendTokenRequest(vm, now);
    }

    void sendTokenRequest(std::size_t vm, TimePoint now)
    {
        if (const auto request = m_clients[vm].takeTokenRequest(now)) {
            send(Message{.vm = vm, .request = *request}, now);
        }
    }

    void send(const Message &message, TimePoint now)
    {
        if (std::bernoulli_distribution(m_scenario.lossProbability)(m_random)) {
            return;
        }
        const auto slow = m_random() % 20 == 0;
        m_messages.emplace(now + microseconds(200 + m_random() % (slow ? 60000 : 2000)), message);
    }

    void deliver(TimePoint now)
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            const auto message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            if (message.grant) {
                m_clients[message.vm].onGrant(*message.grant, now);
            } else {
                answer(message, now);
            }
        }
    }

    void answer(Message message, TimePoint now)
    {
        // Some VMs still send to the previous issuer, which grants tokens until its view expires.
        const auto old = m_oldIssuer && now < m_oldIssuerActsUntil && m_random() % 2 == 0;
        message.grant = (old ? *m_oldIssuer : m_issuer).grant(message.request, now);
        message.grant->lifetime *= m_scenario.lifetimeFactor;
        send(message, now);
    }

    void changeIssuer(TimePoint now)
    {
        if (m_oldIssuer && now < m_oldIssuerActsUntil) {
            return;
        }
        m_oldIssuer = m_issuer;
        m_oldIssuerActsUntil = now + milliseconds(m_random() % viewLifetimeAndDrift.count());
        ++m_epoch;
        m_issuer = TokenIssuer(m_scenario.rate, m_options, m_epoch, now + viewLifetimeAndDrift);
        if (m_random() % 2 == 0) {
            if (const auto handOver = m_oldIssuer->release(m_epoch, now)) {
                m_issuer.accept(*handOver, now + milliseconds(m_random() % 900));
            }
        }
    }

    void retryWaiting(TimePoint now)
    {
        auto stillWaiting = decltype(m_waiting){};
        for (const auto &[vm, arrivedAt] : m_waiting) {
            const auto decision = m_clients[vm].retry(arrivedAt, now);
            if (decision == TokenDecision::Admit) {
                m_admitted.push_back(now);
            } else if (decision == TokenDecision::Wait) {
                stillWaiting.emplace_back(vm, arrivedAt);
            }
            sendTokenRequest(vm, now);
        }
        m_waiting = std::move(stillWaiting);
    }

    Scenario m_scenario;
    TokenLimitOptions m_options;
    std::mt19937 m_random;
    std::vector<TokenClient> m_clients;
    TokenIssuer m_issuer;
    std::optional<TokenIssuer> m_oldIssuer;
    TimePoint m_oldIssuerActsUntil;
    std::uint64_t m_epoch = 1;
    std::multimap<TimePoint, Message> m_messages;
    std::vector<std::pair<std::size_t, TimePoint>> m_waiting;
    std::vector<TimePoint> m_admitted;
};

// Returns whether every window of @p admitted meets the bound. That is the case exactly if a bucket
// that starts full never drops below zero.
auto meetsBound(const std::vector<TimePoint> &admitted, const TokenRate &rate) -> bool
{
    constexpr auto rounding = 1e-6;
    auto level = rate.burst;
    auto last = start;
    for (const auto moment : admitted) {
        const auto elapsed = std::chrono::duration<double>(moment - last).count();
        level = std::min(rate.burst, level + rate.perSecond * elapsed) - 1.0;
        last = moment;
        if (level < -rounding) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("all VMs together stay within rate and burst in every window")
{
    const auto scenarios = std::vector<Scenario>{
        {"ample burst", {200.0, 100.0}, 5.0, 0.0, false},
        {"demand below the rate", {200.0, 100.0}, 0.8, 0.0, false},
        {"lost answers", {200.0, 60.0}, 3.0, 0.2, false},
        {"bursts", {200.0, 60.0}, 8.0, 0.0, false, true},
        {"bursts and issuer changes", {400.0, 20.0}, 8.0, 0.1, true, true},
        {"issuer changes", {200.0, 60.0}, 3.0, 0.0, true},
        {"issuer changes and lost answers", {400.0, 40.0}, 4.0, 0.1, true},
        {"burst of a few tokens", {100.0, 3.0}, 3.0, 0.1, true},
        {"burst of one token", {50.0, 1.0}, 3.0, 0.0, true},
    };
    for (const auto &scenario : scenarios) {
        for (auto seed = 1u; seed <= 20; ++seed) {
            CAPTURE(scenario.name);
            CAPTURE(seed);
            const auto admitted = LimitModel(scenario, seed).run(seconds(6));
            CHECK(meetsBound(admitted, scenario.rate));
            CHECK(admitted.size() > 5);
        }
    }
}

TEST_CASE("tokens used after their batch lifetime violate the bound")
{
    auto broken = 0;
    for (auto seed = 1u; seed <= 20; ++seed) {
        const auto faulty = Scenario{"late use", {200.0, 20.0}, 10.0, 0.0, false, true, 40};
        broken += meetsBound(LimitModel(faulty, seed).run(seconds(6)), faulty.rate) ? 0 : 1;
    }
    CHECK(broken > 0);
}

TEST_CASE("bucket parameters reserve the part of the burst that the batch lifetime uses")
{
    struct Row
    {
        TokenRate rate;
        double capacity;
        milliseconds lifetime;
    };
    const auto rows = std::vector<Row>{
        {{100.0, 100.0}, 80.0, milliseconds(200)}, {{100.0, 40.0}, 30.0, milliseconds(100)},
        {{100.0, 4.0}, 2.0, milliseconds(20)},     {{100.0, 2.0}, 1.0, milliseconds(20)},
        {{100.0, 0.5}, 0.0, milliseconds(20)},
    };
    for (const auto &row : rows) {
        const auto parameters = tokenBucketParameters(row.rate, TokenLimitOptions{});
        CHECK(parameters.capacity == doctest::Approx(row.capacity));
        CHECK(parameters.batchLifetime == row.lifetime);
    }
}

TEST_CASE("a new issuer grants nothing before it opens, unless it accepts a hand-over")
{
    const auto request = TokenRequest{.sequence = 1, .needed = 3, .wanted = 3};
    const auto rate = TokenRate{100.0, 100.0};
    auto successor = TokenIssuer(rate, TokenLimitOptions{}, 9, start + seconds(1));
    CHECK(successor.grant(request, start).tokens == 0);
    CHECK(successor.grant(request, start).retryAfter == TokenLimitOptions{}.closedRetryInterval);
    successor.accept(TokenHandOver{.epoch = 8, .tokens = 50.0}, start);
    CHECK(successor.grant(request, start).tokens == 0);
    successor.accept(TokenHandOver{.epoch = 9, .tokens = 50.0}, start);
    CHECK(successor.grant(request, start).tokens == 3);
    // A repeated hand-over has no effect.
    successor.accept(TokenHandOver{.epoch = 9, .tokens = 50.0}, start);
    const auto handOver = successor.release(10, start);
    REQUIRE(handOver);
    CHECK(handOver->tokens == doctest::Approx(47.0));
    CHECK(successor.grant(request, start).tokens == 0);
    CHECK_FALSE(successor.release(11, start));
}

TEST_CASE("a lower rate applies one batch lifetime after the change")
{
    const auto slow = TokenRate{50.0, 10.0};
    auto issuer = TokenIssuer({500.0, 200.0}, TokenLimitOptions{}, 1, start);
    auto now = start + seconds(1);
    issuer.setRate(slow, now);
    auto used = std::vector<TimePoint>{};
    for (auto step = 0u; step < 4000; ++step, now += milliseconds(1)) {
        const auto grant = issuer.grant({.sequence = step, .needed = 5, .wanted = 5}, now);
        used.insert(used.end(), grant.tokens, now);
    }
    CHECK(meetsBound(used, slow));
}

TEST_CASE("a client sends one request for all waiting requests and ignores unrelated answers")
{
    auto client = TokenClient(TokenLimitOptions{});
    CHECK(client.arrive(start) == TokenDecision::Wait);
    const auto request = client.takeTokenRequest(start);
    REQUIRE(request);
    CHECK(request->needed == 1);
    CHECK(client.arrive(start) == TokenDecision::Wait);
    CHECK_FALSE(client.takeTokenRequest(start));
    const auto grant =
        TokenGrant{.sequence = request->sequence, .tokens = 1, .lifetime = seconds(1)};
    client.onGrant({.sequence = 99, .tokens = 5, .lifetime = seconds(1)}, start);
    CHECK(client.availableTokens(start) == 0);
    client.onGrant(grant, start);
    client.onGrant(grant, start);
    CHECK(client.availableTokens(start) == 1);
    CHECK(client.arrive(start) == TokenDecision::Wait);
    CHECK(client.retry(start, start) == TokenDecision::Admit);
    CHECK(client.retry(start, start + milliseconds(29)) == TokenDecision::Wait);
    CHECK(client.retry(start, start + milliseconds(30)) == TokenDecision::Refuse);
}

TEST_CASE("a client refuses if the bucket is empty but waits for an unreachable or closed issuer")
{
    struct Row
    {
        const char *name;
        bool answered;
        bool open;
        TokenDecision decision; ///< 300 ms after the arrival
    };
    const auto rows = std::vector<Row>{
        {"the issuer answers that the bucket is empty", true, true, TokenDecision::Refuse},
        {"the issuer is not open yet", true, false, TokenDecision::Wait},
        {"the issuer does not answer", false, true, TokenDecision::Wait},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        TokenClient client{TokenLimitOptions{}};
        REQUIRE(client.arrive(start) == TokenDecision::Wait);
        const auto request = client.takeTokenRequest(start);
        REQUIRE(request.has_value());
        if (row.answered) {
            client.onGrant(
                {.sequence = request->sequence, .open = row.open, .retryAfter = milliseconds(20)},
                start + milliseconds(1));
        }
        CHECK(client.retry(start, start + milliseconds(300)) == row.decision);
        CHECK(client.retry(start, start + seconds(4)) == TokenDecision::Refuse);
    }
}
