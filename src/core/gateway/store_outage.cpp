#include "figlanding/gateway/store_outage.h"

#include <utility>

namespace figlanding {

namespace {

/// Failures that end within this time are not an outage.
constexpr milliseconds minOutage{800};

} // namespace

auto StoreOutage::onFailure(TimePoint now) -> bool
{
    m_lastFailureAt = now;
    if (m_since) {
        return false;
    }
    m_since = now;
    return true;
}

auto StoreOutage::onAnswer(TimePoint answeredAt, TimePoint now) -> bool
{
    if (!m_since || answeredAt < m_lastFailureAt) {
        return false;
    }
    const auto since = *std::exchange(m_since, std::nullopt);
    if (now - since > minOutage) {
        m_lastEnd = now;
    }
    return true;
}

} // namespace figlanding
