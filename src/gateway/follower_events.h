#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/names.h"

#include <cstddef>
#include <cstdint>
#include <variant>

/// @file
/// What a TopicFollower reports for logs and metrics.

namespace figlanding {

/// A read was replaced by another one, because the store did not respond to it.
struct ReplacedRead
{
    Duration sentFor{}; ///< time since the read was sent
    std::size_t unanswered = 0; ///< reads in flight, this one included
    LogOffset behind = 0; ///< records that another VM has and this one lacks

    auto operator==(const ReplacedRead &) const -> bool = default;
};

/// Another VM has had records that this one lacks for longer than a relay takes.
struct RecordsMissing
{
    Duration missingFor{}; ///< time since this VM heard of them
    LogOffset next = 0; ///< first offset that is missing
    LogOffset peerEnd = 0; ///< offset after the last one that another VM has
    std::uint32_t failures = 0; ///< reads of this VM that failed in a row

    auto operator==(const RecordsMissing &) const -> bool = default;
};

/// The end of a time in which records were missing.
struct RecordsComplete
{
    Duration missingFor{}; ///< time since this VM heard of the first one
    LogOffset next = 0; ///< offset after the last applied record

    auto operator==(const RecordsComplete &) const -> bool = default;
};

/// The first failed read of an outage of the store.
struct StoreLost
{
    Error error;

    auto operator==(const StoreLost &) const -> bool = default;
};

/// The store is known to answer reads again.
struct StoreRegained
{
    LogOffset end = 0; ///< offset after the last record that this VM knows of
    bool relayed = false; ///< another VM read, not this one

    auto operator==(const StoreRegained &) const -> bool = default;
};

using FollowerEvent =
    std::variant<ReplacedRead, RecordsMissing, RecordsComplete, StoreLost, StoreRegained>;

} // namespace figlanding
