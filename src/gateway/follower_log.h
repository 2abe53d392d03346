#pragma once

#include "gateway/follower_events.h"
#include "io/metrics.h"

#include <string>

/// @file
/// Log lines and metrics of the topics that a VM follows.

namespace figlanding {

/// Logs and counts the events of one topic's follower.
class FollowerLog
{
public:
    /// @param name of the topic in lines and labels
    /// @param metrics must outlive the log
    FollowerLog(std::string name, Metrics &metrics);

    auto add(const FollowerEvent &event) -> void;

private:
    auto write(const ReplacedRead &read) -> void;
    auto write(const RecordsMissing &records) -> void;
    auto write(const RecordsComplete &records) -> void;
    auto write(const StoreLost &lost) -> void;
    auto write(const StoreRegained &regained) -> void;

    std::string m_name;
    Metrics &m_metrics;
};

} // namespace figlanding
