#include "figlanding/gateway/server_terms.h"

#include <algorithm>

namespace figlanding {

namespace {

/// Requests of this time may be sent at once after a pause.
constexpr std::chrono::duration<double> burstTime{0.25};
constexpr double minRequestsPerSecond = 0.25;
/// Time for which a limit is known without another response or report.
constexpr seconds reportLifetime{3};

} // namespace

auto StatedLimit::start(double requestsPerSecond, TimePoint now) -> void
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
    start(*terms.requestsPerSecond, now);
    m_reported = false;
    m_newestGrantAt = grantedAt;
}

auto StatedLimit::onReport(double requestsPerSecond, TimePoint now) -> void
{
    if (m_requestsPerSecond && !m_reported) {
        return;
    }
    start(requestsPerSecond, now);
    m_reported = true;
}

auto StatedLimit::onRequest(double share, TimePoint now) -> void
{
    if (m_requestsPerSecond) {
        m_tokens = tokens(share, now) - 1.0;
        m_countedAt = now;
    }
}

auto StatedLimit::requestsPerSecond(TimePoint now) const -> std::optional<double>
{
    const auto ended = m_reported && now - m_heardAt > reportLifetime;
    return ended ? std::nullopt : m_requestsPerSecond;
}

auto StatedLimit::isRecent(TimePoint now) const -> bool
{
    return m_requestsPerSecond && !m_reported && now - m_heardAt <= reportLifetime;
}

auto StatedLimit::tokens(double share, TimePoint now) const -> double
{
    const auto rate = *m_requestsPerSecond * share;
    const auto most = std::max(1.0, rate * burstTime.count());
    const auto elapsed = std::chrono::duration<double>(now - m_countedAt).count();
    return std::min(most, m_tokens + rate * elapsed);
}

auto StatedLimit::accepts(double share, TimePoint now) const -> bool
{
    return !requestsPerSecond(now) || tokens(share, now) >= 1.0;
}

} // namespace figlanding
