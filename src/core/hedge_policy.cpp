#include "figlanding/hedge_policy.h"

#include "figlanding/http_method.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr auto median = 0.5;

} // namespace

HedgePolicy::HedgePolicy(const HedgeOptions &options)
    : m_options(options)
    , m_budget(options.budgetRatio, options.budgetCapacity)
    , m_latencies(options.period)
{ }

auto HedgePolicy::delay() const -> std::optional<Duration>
{
    const auto tailLatency = m_latencies.quantile(m_options.quantile, m_options.minSamples);
    const auto medianLatency = m_latencies.quantile(median, m_options.minSamples);
    if (!tailLatency || !medianLatency) {
        return std::nullopt;
    }
    const auto maxDelay =
        std::chrono::duration_cast<Duration>(*medianLatency * m_options.medianFactor);
    return std::max<Duration>(m_options.minDelay, std::min(*tailLatency, maxDelay));
}

auto HedgePolicy::onRequest(std::string_view method, TimePoint deadline, TimePoint now)
    -> std::optional<TimePoint>
{
    m_budget.onRequest();
    const auto wait = isSafe(method) ? delay() : std::nullopt;
    if (!wait || now + *wait >= deadline) {
        return std::nullopt;
    }
    return now + *wait;
}

auto HedgePolicy::take() -> bool
{
    return m_budget.take();
}

void HedgePolicy::onAnswer(Duration latency, TimePoint now)
{
    m_latencies.add(latency, now);
}

} // namespace figlanding
