#pragma once

#include "figlanding/clock.h"
#include "figlanding/random.h"
#include "figlanding/verdict.h"

#include <cstdint>
#include <optional>

/// @file
/// Decides whether and when a failed attempt is retried. Only the VM that received the request from
/// the caller (its entry VM) retries; VMs further along the path never do, so that retries do not
/// multiply from hop to hop.

namespace figlanding {

/// Token bucket that limits extra attempts to a fraction of the requests.
///
/// Each VM has one budget per service. Since the limit is a ratio of the VM's own requests, the
/// extra attempts of all VMs together stay within the same ratio without coordination.
class RetryBudget
{
public:
    /// @param ratio extra attempts gained per request
    /// @param capacity most extra attempts that accumulate; a new budget starts full
    RetryBudget(double ratio, double capacity);
    /// @param available extra attempts that a new budget starts with, at most @p capacity
    RetryBudget(double ratio, double capacity, double available);

    /// Credits the budget for a request's first attempt.
    void onRequest();
    /// Withdraws one extra attempt from the budget.
    /// @return false, without a withdrawal, if the budget is exhausted
    [[nodiscard]] auto take() -> bool;

private:
    double m_ratio;
    double m_capacity;
    double m_available;
};

/// Settings of a RetryPolicy.
struct RetryOptions
{
    std::uint32_t maxAttempts = 3; ///< including the first
    milliseconds baseBackoff{10};
    milliseconds maxBackoff{500};
    milliseconds maxRetryAfter{2000}; ///< with a longer Retry-After the failure is returned
    milliseconds minAttemptTime{5}; ///< least time between a retry and the deadline
    double budgetRatio = 0.1; ///< extra attempts per request
    double budgetCapacity = 5.0; ///< extra attempts that accumulate

    auto operator==(const RetryOptions &) const -> bool = default;
};

/// A request and the outcome of its last attempt.
struct FailedAttempt
{
    Verdict verdict = Verdict::MayHaveRun; ///< combine() of all attempts so far
    int status = 0; ///< HTTP status of the response, 0 if there was none
    std::optional<Duration> retryAfter; ///< delay that the server's Retry-After requested
    bool idempotent = false;
    std::uint32_t attempts = 1; ///< number of attempts made
    TimePoint deadline;

    auto operator==(const FailedAttempt &) const -> bool = default;
};

/// Returns whether an attempt is retryable, regardless of the budget and the deadline.
///
/// A request that is not idempotent is retryable only if it was not run. A response is retryable
/// only with status 429, 502, 503 or 504, or with 409 if the request was not run. An attempt
/// without a response is retryable whenever the request is.
[[nodiscard]] auto mayRetry(const FailedAttempt &attempt) -> bool;

/// Schedules retries with exponential backoff and full jitter, within a RetryBudget.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryOptions &options);

    /// Credits the budget for a request's first attempt.
    void onRequest();
    /// Schedules the next attempt and withdraws it from the budget.
    /// @return time of the attempt, or nothing if the failure is to be returned to the caller
    [[nodiscard]] auto nextAttempt(const FailedAttempt &attempt, TimePoint now,
                                   RandomEngine &random) -> std::optional<TimePoint>;

private:
    [[nodiscard]] auto backoff(std::uint32_t attempts, RandomEngine &random) const -> Duration;

    RetryOptions m_options;
    RetryBudget m_budget;
};

} // namespace figlanding
