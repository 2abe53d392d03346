#include "gateway/relay_batches.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace figlanding {

namespace {

/// Limit of the records in a datagram; a single record may be larger.
constexpr std::size_t maxRelayBytes = 4096;
/// A larger record does not fit into a datagram even when compressed, so every VM reads it from the
/// store. A configuration with 120 routes and 90 teams has about 40 KB, a table with 400 ranges 16
/// KB.
constexpr std::size_t maxRecordBytes = std::size_t{96} * 1024;

} // namespace

auto newestOfEachKey(const std::vector<KeyedRecord> &records) -> std::vector<KeyedRecord>
{
    auto result = std::vector<KeyedRecord>{};
    auto keys = std::unordered_set<std::string_view>{};
    std::for_each(records.rbegin(), records.rend(), [&](const KeyedRecord &record) {
        if (keys.insert(record.key).second) {
            result.push_back(record);
        }
    });
    std::reverse(result.begin(), result.end());
    return result;
}

RelayBatches::RelayBatches(TopicUpdate first, std::function<void(const TopicUpdate &)> relay)
    : m_batch(std::move(first))
    , m_relay(std::move(relay))
{ }

auto RelayBatches::add(const KeyedRecord &record, const std::optional<KeyedRecord> &shorter) -> void
{
    const auto &relayed = shorter ? *shorter : record;
    const auto size = relayed.key.size() + relayed.value.value_or("").size();
    if (m_bytes > 0 && m_bytes + size > maxRelayBytes) {
        sendBatch();
    }
    if (size > maxRecordBytes) {
        m_batch.complete = false;
    } else {
        m_batch.records.push_back(relayed);
        m_batch.shortened = m_batch.shortened || shorter.has_value();
    }
    m_bytes += size;
    m_batch.next = record.offset + 1;
}

auto RelayBatches::finish(LogOffset next) -> void
{
    m_batch.next = next;
    m_relay(m_batch);
}

auto RelayBatches::sendBatch() -> void
{
    m_relay(m_batch);
    m_batch = {
        .topic = m_batch.topic, .from = m_batch.next, .next = m_batch.next, .age = m_batch.age};
    m_bytes = 0;
}

} // namespace figlanding
