#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/log_cursor.h"
#include "figlanding/record.h"
#include "io/event_loop.h"

#include <functional>

/// @file
/// Publishes snapshots of the cluster state in the log while this VM is the controller.

namespace figlanding {

/// Callbacks of SnapshotPublisher.
struct SnapshotPublisherHandlers
{
    /// Returns the state after the last applied log record.
    std::function<const ClusterState &()> state;
    /// Returns the read position in the log.
    std::function<const LogCursor &()> cursor;
    /// Returns whether this VM may write a snapshot now: it is the controller, its view is fresh,
    /// and it has no records left to append.
    std::function<bool()> mayWrite;
    /// Appends a record to the log.
    std::function<void(RecordPayload)> append;
};

/// Checks every second whether a snapshot is due and, if so, appends its chunks.
///
/// Every VM tracks the age of the newest snapshot, so that a new controller knows it at once.
class SnapshotPublisher
{
public:
    SnapshotPublisher(EventLoop &loop, SnapshotPublisherHandlers handlers);

    /// Starts the checks.
    auto start() -> void;

private:
    auto publishIfDue() -> void;

    EventLoop &m_loop;
    SnapshotPublisherHandlers m_handlers;
    LogOffset m_newest = 0; ///< last offset covered by the newest complete snapshot in the log
    TimePoint m_newestSeenAt; ///< when that snapshot was first seen; at first, the creation time
    Timer m_timer;
};

} // namespace figlanding
