#include "gateway/request_retries.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr double retriesAtStart = 1.0; ///< so that the first failures of a process are retried
constexpr milliseconds minTimeToReturn{600}; ///< a caller with less time left does not return
/// A caller that has spent this time on earlier attempts has returned. Less may be a slow link.
constexpr milliseconds minTimeOfAttempt{50};

// Returns whether the caller is expected to return if its request is refused.
auto canReturn(const ActiveRequest &active, TimePoint now) -> bool
{
    const auto timeSpent =
        active.route->latencyObjective - (active.objectiveAt - active.receivedAt);
    return timeSpent < minTimeOfAttempt && active.deadline - now >= minTimeToReturn;
}

} // namespace

RequestRetries::RequestRetries(const RequestRetriesOptions &options)
    : m_options(options)
{ }

auto RequestRetries::onRequest(const ServiceId &service, double fleetSize) -> void
{
    // A budget that cannot hold one retry would never allow any.
    const auto reserve = std::max(1.0, m_options.reserve / fleetSize);
    m_budgets.try_emplace(service, m_options.ratio, reserve, retriesAtStart)
        .first->second.onRequest();
}

auto RequestRetries::isRetryable(const ActiveRequest &active, Verdict verdict, TimePoint now) const
    -> bool
{
    const auto repeatable =
        verdict == Verdict::NotRun || active.route->repeatability == Repeatability::Idempotent;
    return repeatable && active.exchange && active.attempts < active.route->maxAttempts
        && now + m_options.minTimeToSend < active.deadline;
}

auto RequestRetries::takeFor(const ActiveRequest &active, Verdict verdict, TimePoint now) -> bool
{
    if (!isRetryable(active, verdict, now)) {
        return false;
    }
    auto &budget = m_budgets.at(active.service);
    return canReturn(active, now) ? budget.takeSpare() : budget.take();
}

auto RequestRetries::take(const ServiceId &service) -> bool
{
    return m_budgets.at(service).take();
}

} // namespace figlanding
