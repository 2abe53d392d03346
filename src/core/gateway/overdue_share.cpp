#include "figlanding/gateway/overdue_share.h"

#include <algorithm>

namespace figlanding {

namespace {

/// Work of overdue requests for each unit of work of those that overtook them.
constexpr double overdueRatio = 0.1;
constexpr double maxCredit = 1.0; ///< so that a quiet time is not followed by many at once

} // namespace

auto OverdueShare::onGrant(double work) -> void
{
    m_credit = std::min(m_credit + overdueRatio * work, maxCredit);
}

auto OverdueShare::onOverdueGrant(double work) -> void
{
    m_credit -= work;
}

auto OverdueShare::isDue(double work) const -> bool
{
    return m_credit >= std::min(work, maxCredit);
}

} // namespace figlanding
