#include "figlanding/retry_policy.h"

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

constexpr auto noAnswer = 0;
constexpr auto conflict = 409;
constexpr auto retryableStatuses = std::to_array<int>({429, 502, 503, 504});
// Limits the shift in backoff() against overflow. With any reasonable setting, maxBackoff is
// reached after fewer doublings.
constexpr auto maxDoublings = 20U;

} // namespace

RetryBudget::RetryBudget(double ratio, double capacity)
    : RetryBudget(ratio, capacity, capacity)
{ }

RetryBudget::RetryBudget(double ratio, double capacity, double available)
    : m_ratio(ratio)
    , m_capacity(capacity)
    , m_available(std::min(available, capacity))
{ }

void RetryBudget::onRequest()
{
    m_available = std::min(m_capacity, m_available + m_ratio);
}

auto RetryBudget::take() -> bool
{
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

auto mayRetry(const FailedAttempt &attempt) -> bool
{
    const auto notRun = attempt.verdict == Verdict::NotRun;
    if (!notRun && !attempt.idempotent) {
        return false;
    }
    if (attempt.status == noAnswer || (notRun && attempt.status == conflict)) {
        return true;
    }
    return std::find(retryableStatuses.begin(), retryableStatuses.end(), attempt.status)
        != retryableStatuses.end();
}

RetryPolicy::RetryPolicy(const RetryOptions &options)
    : m_options(options)
    , m_budget(options.budgetRatio, options.budgetCapacity)
{ }

void RetryPolicy::onRequest()
{
    m_budget.onRequest();
}

auto RetryPolicy::backoff(std::uint32_t attempts, RandomEngine &random) const -> Duration
{
    const auto doublings = std::min(std::max(attempts, 1U) - 1U, maxDoublings);
    const auto maxDelay =
        std::min<Duration>(m_options.maxBackoff, m_options.baseBackoff * (1LL << doublings));
    return Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(random));
}

auto RetryPolicy::nextAttempt(const FailedAttempt &attempt, TimePoint now, RandomEngine &random)
    -> std::optional<TimePoint>
{
    const auto requestedDelay = attempt.retryAfter.value_or(Duration{});
    if (!mayRetry(attempt) || attempt.attempts >= m_options.maxAttempts
        || requestedDelay > m_options.maxRetryAfter) {
        return std::nullopt;
    }
    const auto retryAt = now + requestedDelay + backoff(attempt.attempts, random);
    if (retryAt + m_options.minAttemptTime > attempt.deadline || !m_budget.take()) {
        return std::nullopt;
    }
    return retryAt;
}

} // namespace figlanding
