#pragma once

#include "figlanding/clock.h"
#include "figlanding/latency_window.h"
#include "figlanding/retry_policy.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// Hedged requests: a slow read of a pool service is sent to a second server while the first
/// attempt is still in flight. The first complete response is used and the other attempt is
/// cancelled.

namespace figlanding {

/// Settings of a HedgePolicy.
struct HedgeOptions
{
    double quantile = 0.95; ///< quantile of recent latencies used as the hedging delay
    /// Upper bound of the delay as a multiple of the median latency. Without it, a large share of
    /// slow responses raises the quantile and with it the delay.
    double medianFactor = 3.0;
    milliseconds minDelay{2};
    std::uint64_t minSamples = 50; ///< latency samples required before requests are hedged
    milliseconds period{5000}; ///< samples expire at an age of one to two periods
    double budgetRatio = 0.1; ///< second attempts per request
    double budgetCapacity = 5.0; ///< second attempts that accumulate

    auto operator==(const HedgeOptions &) const -> bool = default;
};

/// Schedules the hedged attempts of one service, which must be a pool service.
class HedgePolicy
{
public:
    explicit HedgePolicy(const HedgeOptions &options);

    /// Credits the budget for a request and schedules its second attempt.
    /// @param method the request's method; only safe methods (isSafe()) are hedged
    /// @param deadline the request's deadline
    /// @return when to call take(), or nothing if the request is not to be hedged
    [[nodiscard]] auto onRequest(std::string_view method, TimePoint deadline, TimePoint now)
        -> std::optional<TimePoint>;
    /// Withdraws a second attempt from the budget, at the time that onRequest() returned.
    /// @return false if the budget is exhausted; the attempt must not be sent
    [[nodiscard]] auto take() -> bool;
    /// Records the latency of an attempt, from its start to the complete response.
    void onAnswer(Duration latency, TimePoint now);
    /// Returns the current hedging delay, or nothing while there are fewer than minSamples samples.
    [[nodiscard]] auto delay() const -> std::optional<Duration>;

private:
    HedgeOptions m_options;
    RetryBudget m_budget;
    LatencyWindow m_latencies;
};

} // namespace figlanding
