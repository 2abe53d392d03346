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
/// Interface to the store that holds all durable state. The store is linearizable; its topics are
/// compacted logs that retain the newest record of each key indefinitely.

namespace figlanding {

/// A record of a keyed topic. A record without a value is a tombstone: the key was removed.
struct KeyedRecord
{
    LogOffset offset = 0;
    std::string key;
    std::optional<std::string> value;

    auto operator==(const KeyedRecord &) const -> bool = default;
};

/// A page of consecutive records.
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
    LogOffset end = 0; ///< all records before it are included; later ones may be
    std::vector<KeyedRecord> records;

    auto operator==(const KeyedSnapshot &) const -> bool = default;
};

/// Parameters of a read.
struct ReadRequest
{
    std::string topic;
    LogOffset from = 0; ///< offset of the first record
    milliseconds wait{}; ///< long poll: how long the store waits for a first record
    bool freshConnection = false; ///< open a new connection, after a read without a response
    /// Called when a part of the response has arrived. May be empty.
    std::function<void()> onProgress = {};
};

/// Parameters of a read of the newest records.
struct NewestRequest
{
    std::string topic;
    bool freshConnection = false; ///< as for ReadRequest
    std::function<void()> onProgress = {}; ///< as for ReadRequest
};

/// Parameters of an append.
struct AppendRequest
{
    std::string topic;
    std::string key;
    std::string value;
    std::optional<LogOffset> expectedEnd; ///< append only if this is the end of the topic
};

/// Membership in a consumer group that elects one member at a time.
struct GroupRequest
{
    std::string group;
    std::string member;
    std::string topic; ///< the member that holds its only partition is elected
    milliseconds timeToLive{}; ///< the membership expires unless it is renewed within this time
};

/// Asynchronous access to the store. Each callback runs exactly once, and never before the call
/// returns.
///
/// A read ends with Timeout when no part of its response arrives for too long. Large responses take
/// longer over slow links.
///
/// Errors: OffsetGap if requested records were deleted, VersionConflict if the topic does not end
/// at the expected offset, LimitExceeded and LogUnavailable if the operation was not performed,
/// Timeout and ConnectionFailed if it is unknown whether it was performed.
template <typename Type>
concept Store = requires(Type store, ReadRequest read, AppendRequest append, GroupRequest group,
                         NewestRequest newest)
{
    store.read(read, std::function<void(Settled<KeyedPage>)>());
    store.readNewest(newest, std::function<void(Settled<KeyedSnapshot>)>());
    store.append(append, std::function<void(Settled<LogOffset>)>());
    store.joinGroup(group, std::function<void(Settled<bool>)>());
    store.leaveGroup(group);
};

} // namespace figlanding
