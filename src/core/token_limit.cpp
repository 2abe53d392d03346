#include "figlanding/token_limit.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figlanding {

namespace {

// Part of the burst that pays for the time between handing out a token and its use.
constexpr auto lifetimeShareOfBurst = 0.25;
// Time constant of the demand estimate at an entry VM.
constexpr auto demandTimeConstant = milliseconds(200);
// Shortest time for which an entry VM believes that the home is empty.
constexpr auto minEmptyTime = milliseconds(1);

auto fromSeconds(double value) -> Duration
{
    constexpr auto maxSeconds = 3600.0;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(value, 0.0, maxSeconds)));
}

} // namespace

auto tokenTerms(const TokenRate &rate, const TokenLimitOptions &options) -> TokenTerms
{
    if (rate.perSecond <= 0.0 || rate.burst < 1.0) {
        return TokenTerms{.batchLifetime = options.minBatchLifetime};
    }
    const auto affordable = fromSeconds(lifetimeShareOfBurst * rate.burst / rate.perSecond);
    const auto lifetime =
        std::clamp<Duration>(affordable, options.minBatchLifetime, options.maxBatchLifetime);
    const auto reserve = rate.perSecond * toSeconds(lifetime);
    if (rate.burst >= 1.0 + reserve) {
        return TokenTerms{.refillPerSecond = rate.perSecond,
                          .capacity = rate.burst - reserve,
                          .batchLifetime = lifetime};
    }
    // A bucket of one token hands out 1 + k tokens in no less than k / refill. They are used in
    // a window shorter by at most the lifetime, which must allow 1 + k for every k >= 1.
    return TokenTerms{.refillPerSecond = rate.perSecond / (2.0 + reserve - rate.burst),
                      .capacity = 1.0,
                      .batchLifetime = lifetime};
}

TokenHome::TokenHome(const TokenRate &rate, const TokenLimitOptions &options, std::uint64_t epoch,
                     TimePoint opensAt)
    : m_options(options)
    , m_terms(tokenTerms(rate, options))
    , m_epoch(epoch)
    , m_opensAt(opensAt)
    , m_updatedAt(opensAt)
{ }

auto TokenHome::level(TimePoint now) const -> double
{
    const auto elapsed = std::max(0.0, toSeconds(now - m_updatedAt));
    return std::min(m_terms.capacity, m_level + m_terms.refillPerSecond * elapsed);
}

void TokenHome::refill(TimePoint now)
{
    m_level = level(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

auto TokenHome::timeUntilToken(TimePoint now) const -> Duration
{
    if (m_terms.refillPerSecond <= 0.0) {
        return fromSeconds(std::numeric_limits<double>::max());
    }
    return fromSeconds((1.0 - level(now)) / m_terms.refillPerSecond);
}

auto TokenHome::grant(const TokenAsk &ask, TimePoint now) -> TokenGrant
{
    auto answer = TokenGrant{.sequence = ask.sequence, .lifetime = m_terms.batchLifetime};
    if (m_released || now < m_opensAt) {
        // A hand-over may open a home, or another VM become it, at any time.
        answer.open = false;
        answer.retryAfter = m_options.closedRetry;
        return answer;
    }
    refill(now);
    const auto spare = std::max(0.0, m_level - m_terms.capacity / 2.0);
    const auto allowed = std::max<double>(ask.needed, std::min<double>(ask.wanted, spare));
    answer.tokens = static_cast<std::uint32_t>(std::floor(std::min(allowed, m_level)));
    m_level -= answer.tokens;
    if (answer.tokens == 0) {
        answer.retryAfter = timeUntilToken(now);
    }
    return answer;
}

void TokenHome::setRate(const TokenRate &rate, TimePoint now)
{
    refill(now);
    m_terms = tokenTerms(rate, m_options);
}

auto TokenHome::release(std::uint64_t epoch, TimePoint now) -> std::optional<TokenHandOver>
{
    const auto wasOpen = !m_released && now >= m_opensAt;
    refill(now);
    m_released = true;
    if (!wasOpen) {
        return std::nullopt;
    }
    return TokenHandOver{.epoch = epoch, .tokens = m_level};
}

void TokenHome::accept(const TokenHandOver &handOver, TimePoint now)
{
    if (m_released || handOver.epoch != m_epoch || now >= m_opensAt) {
        return;
    }
    m_opensAt = now;
    m_updatedAt = now;
    m_level = std::clamp(handOver.tokens, 0.0, m_terms.capacity);
}

TokenBorrower::TokenBorrower(const TokenLimitOptions &options)
    : m_options(options)
    , m_demand(demandTimeConstant)
{ }

auto TokenBorrower::held(TimePoint now) const -> std::uint32_t
{
    auto total = std::uint32_t{0};
    for (const auto &batch : m_batches) {
        total += batch.expiresAt > now ? batch.tokens : 0;
    }
    return total;
}

auto TokenBorrower::takeToken(TimePoint now) -> bool
{
    while (!m_batches.empty()
           && (m_batches.front().expiresAt <= now || m_batches.front().tokens == 0)) {
        m_batches.pop_front();
    }
    if (m_batches.empty()) {
        return false;
    }
    --m_batches.front().tokens;
    return true;
}

auto TokenBorrower::arrive(TimePoint now) -> TokenDecision
{
    m_demand.add(1.0, now);
    // Requests that wait already have a claim on the tokens held.
    if (held(now) > m_waiting && takeToken(now)) {
        return TokenDecision::Admit;
    }
    if (m_emptyUntil - now >= longestWait(now)) {
        return TokenDecision::Refuse;
    }
    ++m_waiting;
    return TokenDecision::Wait;
}

auto TokenBorrower::longestWait(TimePoint now) const -> Duration
{
    const auto askUnanswered = m_pending && now - m_pending->sentAt >= m_options.askTimeout;
    return askUnanswered || now < m_homeLostUntil ? m_options.maxHomeLossWait : m_options.maxWait;
}

void TokenBorrower::noteHomeLost(TimePoint now)
{
    m_homeLostUntil = now + m_options.maxHomeLossWait;
}

auto TokenBorrower::retry(TimePoint arrivedAt, TimePoint now) -> TokenDecision
{
    if (takeToken(now)) {
        abandon();
        return TokenDecision::Admit;
    }
    const auto availableIn = std::max(Duration{}, m_emptyUntil - now);
    if (now + availableIn - arrivedAt >= longestWait(now)) {
        abandon();
        return TokenDecision::Refuse;
    }
    return TokenDecision::Wait;
}

void TokenBorrower::abandon()
{
    m_waiting -= m_waiting > 0 ? 1 : 0;
}

auto TokenBorrower::takeAsk(TimePoint now) -> std::optional<TokenAsk>
{
    if (m_pending && now - m_pending->sentAt < m_options.askTimeout) {
        return std::nullopt;
    }
    if (m_pending) {
        noteHomeLost(now);
    }
    m_pending.reset();
    const auto expected = m_demand.perSecond(now) * toSeconds(m_options.prefetch);
    const auto goal = m_waiting + static_cast<std::uint32_t>(std::ceil(expected));
    const auto have = held(now);
    // Asks again when half of the expected demand is used up.
    if (now < m_emptyUntil || have * 2 > goal || (m_waiting == 0 && expected < 1.0)) {
        return std::nullopt;
    }
    m_pending = PendingAsk{.sequence = ++m_lastSequence, .sentAt = now};
    return TokenAsk{.sequence = m_lastSequence,
                    .needed = m_waiting > have ? m_waiting - have : 0,
                    .wanted = goal - have};
}

void TokenBorrower::onGrant(const TokenGrant &grant, TimePoint now)
{
    if (!m_pending || m_pending->sequence != grant.sequence) {
        return;
    }
    // The ask was sent before the tokens left the home, so they expire here no later than
    // one lifetime after that.
    const auto expiresAt = m_pending->sentAt + grant.lifetime;
    m_pending.reset();
    if (!grant.open) {
        noteHomeLost(now);
    }
    if (grant.tokens == 0) {
        m_emptyUntil = now + std::max<Duration>(minEmptyTime, grant.retryAfter);
        return;
    }
    const auto position = std::upper_bound(
        m_batches.begin(), m_batches.end(), expiresAt,
        [](TimePoint moment, const Batch &batch) { return moment < batch.expiresAt; });
    m_batches.insert(position, Batch{.tokens = grant.tokens, .expiresAt = expiresAt});
}

auto TokenBorrower::wakeUpAt(TimePoint now) const -> std::optional<TimePoint>
{
    if (m_waiting == 0) {
        return std::nullopt;
    }
    return m_pending ? m_pending->sentAt + m_options.askTimeout : std::max(now, m_emptyUntil);
}

auto TokenBorrower::retryAfter(TimePoint now) const -> Duration
{
    return std::max<Duration>(m_options.maxWait, m_emptyUntil - now);
}

} // namespace figlanding
