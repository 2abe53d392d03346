#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/names.h"

#include <optional>
#include <string_view>

/// @file
/// Outages of the store, as the reader of one topic sees them.

namespace figlanding {

/// The current and the last outage of a topic.
struct Outage
{
    std::optional<TimePoint> since; ///< first failed read; empty while reads succeed
    TimePoint recoveredAt; ///< end of the last outage; short ones are not recorded
};

/// Notes a failed read, and logs the first one of an outage.
/// @param topic name for the log
auto beginOutage(Outage &outage, std::string_view topic, const Error &error, TimePoint now) -> void;
/// Notes a read that succeeded, and logs the first one after an outage.
/// @param end offset of the topic's next record
auto endOutage(Outage &outage, std::string_view topic, LogOffset end, TimePoint now) -> void;

} // namespace figlanding
