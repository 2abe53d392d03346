#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/store.h"
#include "gateway/follower_events.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Settings and callbacks of TopicFollower.

namespace figlanding {

/// Settings of TopicFollower.
struct TopicFollowerOptions
{
    std::string topic;
    milliseconds wait{}; ///< long polling: the store answers an empty read after this time
    milliseconds pause{}; ///< from one read to the next; limits the call rate of a busy topic
    milliseconds catchUpPause{200}; ///< time for missing records to be relayed before a read
};

/// Callbacks of TopicFollower.
struct TopicFollowerHandlers
{
    /// Called with the newest record of each key; keys that are missing do not exist.
    std::function<void(const KeyedSnapshot &)> onSnapshot;
    /// Applies a record. Returns whether it changed anything; other records are not relayed.
    std::function<bool(const KeyedRecord &)> onRecord;
    /// Returns a shorter record with the same effect on a receiver that has applied all earlier
    /// ones, or nothing. Called before onRecord. May be empty.
    std::function<std::optional<KeyedRecord>(const KeyedRecord &)> shorten;
    /// Called after each successful read of this VM that reached the end of the topic. May be
    /// empty.
    /// @param sentAt when the read was sent
    /// @param end offset after the last record
    std::function<void(TimePoint sentAt, LogOffset end)> onRead = {};
    /// Called with each event for logs and metrics. May be empty.
    std::function<void(const FollowerEvent &)> onEvent = {};
    /// Relays records to the other VMs.
    std::function<void(const TopicUpdate &)> relay;
    /// Returns how many live VMs precede this one as readers of the topic.
    std::function<std::size_t(const std::string &topic)> rank;
};

} // namespace figlanding
