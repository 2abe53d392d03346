#include "figlanding/token_limit.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figlanding {

namespace {

// Fraction of the burst that is reserved for the time between the grant of a token and its use.
constexpr auto lifetimeShareOfBurst = 0.25;
// Time constant of the demand estimate of an entry VM.
constexpr auto demandTimeConstant = milliseconds(200);
// Minimum time for which an entry VM assumes that the bucket of the issuer is empty.
constexpr auto minEmptyTime = milliseconds(1);

auto fromSeconds(double value) -> Duration
{
    constexpr auto maxSeconds = 3600.0;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(value, 0.0, maxSeconds)));
}

} // namespace

auto tokenBucketParameters(const TokenRate &rate, const TokenLimitOptions &options)
    -> TokenBucketParameters
{
    if (rate.perSecond <= 0.0 || rate.burst < 1.0) {
        return TokenBucketParameters{.batchLifetime = options.minBatchLifetime};
    }
    const auto affordable = fromSeconds(lifetimeShareOfBurst * rate.burst / rate.perSecond);
    const auto lifetime =
        std::clamp<Duration>(affordable, options.minBatchLifetime, options.maxBatchLifetime);
    const auto reserve = rate.perSecond * toSeconds(lifetime);
    if (rate.burst >= 1.0 + reserve) {
        return TokenBucketParameters{.refillPerSecond = rate.perSecond,
                                     .capacity = rate.burst - reserve,
                                     .batchLifetime = lifetime};
    }
    // A bucket with a capacity of one token needs at least k / refill to grant 1 + k tokens. The
    // window in which they are used is shorter by at most the lifetime, and the bound for that
    // window must allow 1 + k requests for every k >= 1.
    return TokenBucketParameters{.refillPerSecond = rate.perSecond / (2.0 + reserve - rate.burst),
                                 .capacity = 1.0,
                                 .batchLifetime = lifetime};
}

TokenIssuer::TokenIssuer(const TokenRate &rate, const TokenLimitOptions &options,
                         std::uint64_t epoch, TimePoint opensAt)
    : m_options(options)
    , m_bucketParameters(tokenBucketParameters(rate, options))
    , m_epoch(epoch)
    , m_opensAt(opensAt)
    , m_updatedAt(opensAt)
{ }

auto TokenIssuer::level(TimePoint now) const -> double
{
    const auto elapsed = std::max(0.0, toSeconds(now - m_updatedAt));
    return std::min(m_bucketParameters.capacity,
                    m_level + m_bucketParameters.refillPerSecond * elapsed);
}

void TokenIssuer::refill(TimePoint now)
{
    m_level = level(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

auto TokenIssuer::timeUntilToken(TimePoint now) const -> Duration
{
    if (m_bucketParameters.refillPerSecond <= 0.0) {
        return fromSeconds(std::numeric_limits<double>::max());
    }
    return fromSeconds((1.0 - level(now)) / m_bucketParameters.refillPerSecond);
}

auto TokenIssuer::grant(const TokenRequest &request, TimePoint now) -> TokenGrant
{
    auto answer =
        TokenGrant{.sequence = request.sequence, .lifetime = m_bucketParameters.batchLifetime};
    if (m_released || now < m_opensAt) {
        // Retry soon: at any time a hand-over may open this issuer or another VM may become the
        // issuer.
        answer.open = false;
        answer.retryAfter = m_options.closedRetryInterval;
        return answer;
    }
    refill(now);
    const auto surplus = std::max(0.0, m_level - m_bucketParameters.capacity / 2.0);
    const auto allowed =
        std::max<double>(request.needed, std::min<double>(request.wanted, surplus));
    answer.tokens = static_cast<std::uint32_t>(std::floor(std::min(allowed, m_level)));
    m_level -= answer.tokens;
    if (answer.tokens == 0) {
        answer.retryAfter = timeUntilToken(now);
    }
    return answer;
}

void TokenIssuer::setRate(const TokenRate &rate, TimePoint now)
{
    refill(now);
    m_bucketParameters = tokenBucketParameters(rate, m_options);
}

auto TokenIssuer::release(std::uint64_t epoch, TimePoint now) -> std::optional<TokenHandOver>
{
    const auto wasOpen = !m_released && now >= m_opensAt;
    refill(now);
    m_released = true;
    if (!wasOpen) {
        return std::nullopt;
    }
    return TokenHandOver{.epoch = epoch, .tokens = m_level};
}

void TokenIssuer::accept(const TokenHandOver &handOver, TimePoint now)
{
    if (m_released || handOver.epoch != m_epoch || now >= m_opensAt) {
        return;
    }
    m_opensAt = now;
    m_updatedAt = now;
    m_level = std::clamp(handOver.tokens, 0.0, m_bucketParameters.capacity);
}

TokenClient::TokenClient(const TokenLimitOptions &options)
    : m_options(options)
    , m_demand(demandTimeConstant)
{ }

auto TokenClient::availableTokens(TimePoint now) const -> std::uint32_t
{
    auto total = std::uint32_t{0};
    for (const auto &batch : m_batches) {
        total += batch.expiresAt > now ? batch.tokens : 0;
    }
    return total;
}

auto TokenClient::takeToken(TimePoint now) -> bool
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

auto TokenClient::arrive(TimePoint now) -> TokenDecision
{
    m_demand.add(1.0, now);
    // Requests that are already waiting take precedence for the available tokens.
    if (availableTokens(now) > m_waiting && takeToken(now)) {
        return TokenDecision::Admit;
    }
    if (m_emptyUntil - now >= longestWait(now)) {
        return TokenDecision::Refuse;
    }
    ++m_waiting;
    return TokenDecision::Wait;
}

auto TokenClient::longestWait(TimePoint now) const -> Duration
{
    const auto requestTimedOut =
        m_pending && now - m_pending->sentAt >= m_options.tokenRequestTimeout;
    return requestTimedOut || now < m_issuerUnavailableUntil ? m_options.maxIssuerLossWait
                                                             : m_options.maxWait;
}

void TokenClient::markIssuerUnavailable(TimePoint now)
{
    m_issuerUnavailableUntil = now + m_options.maxIssuerLossWait;
}

auto TokenClient::retry(TimePoint arrivedAt, TimePoint now) -> TokenDecision
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

void TokenClient::abandon()
{
    m_waiting -= m_waiting > 0 ? 1 : 0;
}

auto TokenClient::takeTokenRequest(TimePoint now) -> std::optional<TokenRequest>
{
    if (m_pending && now - m_pending->sentAt < m_options.tokenRequestTimeout) {
        return std::nullopt;
    }
    if (m_pending) {
        markIssuerUnavailable(now);
    }
    m_pending.reset();
    const auto expected = m_demand.perSecond(now) * toSeconds(m_options.prefetch);
    const auto target = m_waiting + static_cast<std::uint32_t>(std::ceil(expected));
    const auto available = availableTokens(now);
    // Requests more tokens once at most half of the target is left.
    if (now < m_emptyUntil || available * 2 > target || (m_waiting == 0 && expected < 1.0)) {
        return std::nullopt;
    }
    m_pending = PendingRequest{.sequence = ++m_lastSequence, .sentAt = now};
    return TokenRequest{.sequence = m_lastSequence,
                        .needed = m_waiting > available ? m_waiting - available : 0,
                        .wanted = target - available};
}

void TokenClient::onGrant(const TokenGrant &grant, TimePoint now)
{
    if (!m_pending || m_pending->sequence != grant.sequence) {
        return;
    }
    // The request was sent before the issuer granted the tokens, so counting from the send time
    // makes them expire no later than one lifetime after the grant.
    const auto expiresAt = m_pending->sentAt + grant.lifetime;
    m_pending.reset();
    if (!grant.open) {
        markIssuerUnavailable(now);
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

auto TokenClient::wakeUpAt(TimePoint now) const -> std::optional<TimePoint>
{
    if (m_waiting == 0) {
        return std::nullopt;
    }
    return m_pending ? m_pending->sentAt + m_options.tokenRequestTimeout
                     : std::max(now, m_emptyUntil);
}

auto TokenClient::retryAfter(TimePoint now) const -> Duration
{
    return std::max<Duration>(m_options.maxWait, m_emptyUntil - now);
}

} // namespace figlanding
