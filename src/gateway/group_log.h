#pragma once

#include "gateway/slot_client.h"
#include "io/metrics.h"

#include <cstdint>
#include <string>

/// @file
/// Log lines and metrics of the choices among server groups.

namespace figlanding {

/// Reports the state of a SlotClient once per second.
class GroupLog
{
public:
    /// @param metrics must outlive the log
    explicit GroupLog(Metrics &metrics);

    /// Sets the metrics, and adds a line "groups" if requests of this VM moved to other groups
    /// since the last report.
    auto report(const SlotClient &slots, TimePoint now) -> void;

private:
    auto reportMoves(const SlotClient &slots, TimePoint now) -> void;
    auto countChoices(const std::string &kind, std::uint64_t total, std::uint64_t reported) -> void;

    Metrics &m_metrics;
    GroupChoiceCounts m_reported;
    TimePoint m_reportedAt;
};

} // namespace figlanding
