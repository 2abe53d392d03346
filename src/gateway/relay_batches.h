#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/store.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

/// @file
/// Divides the records that a VM relays to the others into updates of about a datagram each.

namespace figlanding {

/// Returns the records that no later one of the same key follows, in the same order. The others
/// change nothing, but each would be relayed to every VM; over a slow link that takes longer than a
/// view may be old.
[[nodiscard]] auto newestOfEachKey(const std::vector<KeyedRecord> &records)
    -> std::vector<KeyedRecord>;

/// Sends records as updates, in the order of their offsets.
class RelayBatches
{
public:
    /// @param first topic, offsets before the first record, and age of all updates
    /// @param relay sends an update
    RelayBatches(TopicUpdate first, std::function<void(const TopicUpdate &)> relay);

    /// Adds a record; sends the update before it if it is full.
    /// @param shorter shorter form of the record; nothing if there is none
    auto add(const KeyedRecord &record, const std::optional<KeyedRecord> &shorter) -> void;
    /// Sends the last update, also one without records: it tells how far the topic was read.
    /// @param next offset after the last record that was read
    auto finish(LogOffset next) -> void;

private:
    auto sendBatch() -> void;

    TopicUpdate m_batch;
    std::function<void(const TopicUpdate &)> m_relay;
    std::size_t m_bytes = 0; ///< of the records in the batch
};

} // namespace figlanding
