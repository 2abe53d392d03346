#pragma once

#include "figlanding/gateway/key_controller.h"
#include "io/metrics.h"

#include <vector>

/// @file
/// Log lines and metrics of the keys without a live owner, on the active key controller.

namespace figlanding {

/// Logs at most once a second, for each service, what its keys without an owner wait for.
class UnservedLog
{
public:
    /// @param metrics must outlive the log
    explicit UnservedLog(Metrics &metrics);

    /// Returns whether the next report is due.
    [[nodiscard]] auto isDue(TimePoint now) const -> bool
    {
        return now >= m_nextAt;
    }
    /// Reports all ranges without a live owner. Ordinary moves, which end sooner than a second, are
    /// counted but not logged.
    auto report(const std::vector<UnservedRange> &ranges, TimePoint now) -> void;

private:
    Metrics &m_metrics;
    TimePoint m_nextAt;
};

} // namespace figlanding
