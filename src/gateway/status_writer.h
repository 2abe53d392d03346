#pragma once

#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/store.h"
#include "io/event_loop.h"
#include "io/log.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Writes records that operators read, and writes them again until the store has acknowledged them.

namespace figlanding {

/// Keeps the newest record of each key in a topic. Each append has the condition that the topic
/// still ends where it was read: a copy of an earlier append that the store executes late must not
/// replace a later record.
template <Store StoreType>
class StatusWriter
{
public:
    /// @param store must outlive the writer
    StatusWriter(EventLoop &loop, StoreType &store, std::string topic)
        : m_loop(loop)
        , m_store(store)
        , m_topic(std::move(topic))
    { }
    StatusWriter(const StatusWriter &) = delete;
    auto operator=(const StatusWriter &) -> StatusWriter & = delete;

    /// Sets the value that the record of a key has to have.
    auto set(const EncodedRecord &record) -> void
    {
        auto &entry = m_entries[record.key];
        if (entry.value != record.value) {
            entry = {.value = record.value};
        }
    }
    /// Forgets all records, for a VM that may not write them any more.
    auto clear() -> void
    {
        m_entries.clear();
    }
    /// Returns whether the store has acknowledged the record of a key.
    [[nodiscard]] auto isAcknowledged(const std::string &key) const -> bool
    {
        const auto found = m_entries.find(key);
        return found != m_entries.end() && found->second.acknowledged;
    }
    /// Writes the next record that is not acknowledged. One call is in flight at a time.
    auto tick() -> void
    {
        const auto now = m_loop.now();
        const auto pending = std::any_of(m_entries.begin(), m_entries.end(), [](const auto &item) {
            return !item.second.acknowledged;
        });
        if (!pending || m_inFlight || now < m_nextTryAt) {
            return;
        }
        m_inFlight = true;
        m_nextTryAt = now + retryInterval;
        m_store.readNewest({.topic = m_topic}, [this](const Settled<KeyedSnapshot> &snapshot) {
            m_inFlight = false;
            if (!snapshot) {
                logEvent(LogLevel::Info, "status-read-failed",
                         {{"error", describe(snapshot.error())}});
                return;
            }
            onSnapshot(snapshot.value());
        });
    }

private:
    static constexpr milliseconds retryInterval{150};

    struct Entry
    {
        std::string value;
        bool acknowledged = false;
    };

    auto onSnapshot(const KeyedSnapshot &snapshot) -> void
    {
        for (const auto &record : snapshot.records) {
            const auto entry = m_entries.find(record.key);
            if (entry != m_entries.end() && record.value == entry->second.value) {
                entry->second.acknowledged = true;
            }
        }
        const auto next = std::find_if(m_entries.begin(), m_entries.end(),
                                       [](const auto &item) { return !item.second.acknowledged; });
        if (next != m_entries.end()) {
            append({.key = next->first, .value = next->second.value}, snapshot.end);
        }
    }

    auto append(const EncodedRecord &record, LogOffset end) -> void
    {
        m_inFlight = true;
        m_store.append(
            {.topic = m_topic, .key = record.key, .value = record.value, .expectedEnd = end},
            [this, record](const Settled<LogOffset> &offset) {
                m_inFlight = false;
                onAppended(record, offset);
            });
    }

    auto onAppended(const EncodedRecord &record, const Settled<LogOffset> &offset) -> void
    {
        logEvent(LogLevel::Info, "status-written",
                 {{"key", record.key},
                  {"value", record.value},
                  {"error", offset ? std::string() : describe(offset.error())}});
        const auto entry = m_entries.find(record.key);
        if (offset && entry != m_entries.end() && entry->second.value == record.value) {
            entry->second.acknowledged = true;
        }
    }

    EventLoop &m_loop;
    StoreType &m_store;
    std::string m_topic;
    std::map<std::string, Entry> m_entries;
    bool m_inFlight = false;
    TimePoint m_nextTryAt;
};

} // namespace figlanding
