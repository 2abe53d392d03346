#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/rollout.h"
#include "figlanding/gateway/rollout_judge.h"
#include "io/metrics.h"

#include <cstdint>
#include <map>
#include <string>

/// @file
/// Log lines and metrics of roll-outs.

namespace figlanding {

/// Logs orders, the controller's steps and what this VM follows.
class RolloutLog
{
public:
    /// @param metrics must outlive the log
    explicit RolloutLog(Metrics &metrics);

    /// Adds an operator's order.
    /// @param enabled whether this installation carries out roll-outs
    auto addOrder(const RolloutOrder &order, bool enabled) -> void;
    /// Adds a record that this VM appends as the controller, with the evidence for it.
    auto addStep(const RolloutRecord &record, const Judgement &judgement) -> void;
    /// Adds an append that failed.
    auto addFailure(const std::string &key, const Error &error) -> void;
    /// Logs each record that this VM had not followed before, and exports phases and shares.
    auto follow(const std::map<ServiceId, RolloutRecord> &records) -> void;

private:
    Metrics &m_metrics;
    std::map<ServiceId, std::uint64_t> m_revisions; ///< last followed
};

} // namespace figlanding
