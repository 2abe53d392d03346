#include "figlanding/gateway/server_terms.h"

#include <algorithm>

namespace figlanding {

namespace {

/// Requests of this time may be sent at once after a pause.
constexpr std::chrono::duration<double> burstTime{0.25};
constexpr double minRequestsPerSecond = 0.25;
/// Time for which a limit is known without another response or report.
constexpr seconds limitLifetime{3};
/// Time for which the requests of another VM count after its report. Reports are sent with
/// heartbeats, about one a second in a large fleet.
constexpr seconds reportLifetime{2};
constexpr seconds usageTime{1}; ///< over which requests are averaged
/// What VMs that share a limit may use together, as a multiple of it. Their reports are up to a
/// second old, so that a part would stay unused otherwise; servers bear 1.5 times their limit for
/// some seconds.
constexpr double sharedMultiple = 1.2;

} // namespace

StatedLimit::StatedLimit()
    : m_used(usageTime)
{ }

auto StatedLimit::set(double requestsPerSecond, TimePoint now) -> void
{
    if (!m_requestsPerSecond) {
        m_knownSince = now;
        m_tokens = 0.0;
        m_countedAt = now;
    }
    m_requestsPerSecond = std::max(requestsPerSecond, minRequestsPerSecond);
    m_heardAt = now;
}

auto StatedLimit::onTerms(const ServerTerms &terms, TimePoint grantedAt, TimePoint now) -> void
{
    if (!terms.requestsPerSecond) {
        if (m_requestsPerSecond && grantedAt > m_knownSince) {
            m_requestsPerSecond.reset();
        }
        return;
    }
    if (m_requestsPerSecond && !m_reported && grantedAt < m_newestGrantAt) {
        return;
    }
    set(*terms.requestsPerSecond, now);
    m_reported = false;
    m_newestGrantAt = grantedAt;
}

auto StatedLimit::onReport(const VmId &from, const LimitReport &report, TimePoint now) -> void
{
    m_reports[from] = {.at = now, .used = report.used};
    if (m_requestsPerSecond && !m_reported) {
        return;
    }
    set(report.requestsPerSecond, now);
    m_reported = true;
}

auto StatedLimit::report(TimePoint now) const -> std::optional<LimitReport>
{
    if (!m_requestsPerSecond || m_reported || now - m_heardAt > reportLifetime) {
        return std::nullopt;
    }
    return LimitReport{.requestsPerSecond = *m_requestsPerSecond, .used = m_used.perSecond(now)};
}

auto StatedLimit::requestsPerSecond(TimePoint now) const -> std::optional<double>
{
    const auto ended = m_reported && now - m_heardAt > limitLifetime;
    return ended ? std::nullopt : m_requestsPerSecond;
}

auto StatedLimit::pace(double share, TimePoint now) const -> std::optional<double>
{
    const auto limit = requestsPerSecond(now);
    if (!limit) {
        return std::nullopt;
    }
    auto vms = 1;
    auto left = *limit * sharedMultiple;
    for (const auto &[vm, report] : m_reports) {
        if (now - report.at <= reportLifetime) {
            ++vms;
            left -= report.used;
        }
    }
    const auto least = *limit * sharedMultiple / vms;
    return share * std::min(*limit, std::max(left, least));
}

auto StatedLimit::tokens(double share, TimePoint now) const -> double
{
    const auto rate = pace(share, now).value_or(0.0);
    const auto most = std::max(1.0, rate * burstTime.count());
    const auto elapsed = std::chrono::duration<double>(now - m_countedAt).count();
    return std::min(most, m_tokens + rate * elapsed);
}

auto StatedLimit::accepts(double share, TimePoint now) const -> bool
{
    return !requestsPerSecond(now) || tokens(share, now) >= 1.0;
}

auto StatedLimit::onRequest(double share, TimePoint now) -> void
{
    m_used.add(1.0, now);
    if (m_requestsPerSecond) {
        m_tokens = tokens(share, now) - 1.0;
        m_countedAt = now;
    }
}

} // namespace figlanding
