#include "gateway/request_retries.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr double retriesAtStart = 1.0; ///< so that the first failures of a process are retried

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
    return isRetryable(active, verdict, now) && take(active.service);
}

auto RequestRetries::take(const ServiceId &service) -> bool
{
    return m_budgets.at(service).take();
}

} // namespace figlanding
