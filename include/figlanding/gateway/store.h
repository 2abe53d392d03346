#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/names.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// What the product needs of the store that keeps all that must last. The store is linearizable;
/// its topics are logs that keep the newest record of each key for good.

namespace figlanding {

/// A record of a keyed topic. Without a value, the key was removed.
struct KeyedRecord
{
    LogOffset offset = 0;
    std::string key;
    std::optional<std::string> value;

    auto operator==(const KeyedRecord &) const -> bool = default;
};

/// Records that follow an offset.
struct KeyedPage
{
    LogOffset end = 0; ///< offset of the topic's next record
    LogOffset next = 0; ///< offset after the last record of this page
    std::vector<KeyedRecord> records;

    auto operator==(const KeyedPage &) const -> bool = default;
};

/// The newest record of each key.
struct KeyedSnapshot
{
    LogOffset end = 0; ///< every record before it is covered; later ones may be
    std::vector<KeyedRecord> records;

    auto operator==(const KeyedSnapshot &) const -> bool = default;
};

/// Where to read.
struct ReadRequest
{
    std::string topic;
    LogOffset from = 0;
    milliseconds wait{}; ///< the store holds the answer back this long for a first record
    bool freshConnection = false; ///< for when an earlier read got no answer
};

/// What to append.
struct AppendRequest
{
    std::string topic;
    std::string key;
    std::string value;
    std::optional<LogOffset> expectedEnd; ///< append only if the topic ends there
};

/// A group that gives one member a duty.
struct GroupRequest
{
    std::string group;
    std::string member;
    std::string topic; ///< its only partition stands for the duty
    milliseconds timeToLive{};
};

/// Asynchronous access to the store. Callbacks run once, never before the call returns.
///
/// Errors: OffsetGap if records were deleted, VersionConflict if the expected end is wrong,
/// LimitExceeded and LogUnavailable if nothing was done, Timeout and ConnectionFailed if the
/// effect is unknown.
template <typename Type>
concept Store = requires(Type store, ReadRequest read, AppendRequest append, GroupRequest group,
                         std::string topic)
{
    store.read(read, std::function<void(Settled<KeyedPage>)>());
    store.readNewest(topic, std::function<void(Settled<KeyedSnapshot>)>());
    store.append(append, std::function<void(Settled<LogOffset>)>());
    store.joinGroup(group, std::function<void(Settled<bool>)>());
    store.leaveGroup(group);
};

} // namespace figlanding
