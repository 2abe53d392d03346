#pragma once

#include "figlanding/gateway/key_plan_summary.h"
#include "figlanding/names.h"
#include "io/metrics.h"

#include <map>

/// @file
/// Log lines and metrics of the plans for keyed services, on the active key controller.

namespace figlanding {

/// Logs each plan with moves once, and sets the expected waits of each keyed service.
class KeyPlanLog
{
public:
    /// @param metrics must outlive the log
    explicit KeyPlanLog(Metrics &metrics);

    /// Reports the last plan of each service.
    auto report(const std::map<ServiceId, KeyPlanSummary> &plans) -> void;

private:
    Metrics &m_metrics;
    std::map<ServiceId, KeyPlanSummary> m_reported;
};

} // namespace figlanding
