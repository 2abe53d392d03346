#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/relay_schedule.h"
#include "figlanding/gateway/store.h"
#include "io/event_loop.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Follows a keyed topic of the store: the newest record of each key first, then what is new,
/// read from the store or passed on by another VM. Records carry their offsets, so what is passed
/// on can be late but not wrong.

namespace figlanding {

/// Settings of KeyedFollower.
struct KeyedFollowerOptions
{
    std::string topic;
    milliseconds wait{}; ///< longest time that the store holds back an empty answer
    milliseconds pause{}; ///< between two reads; bounds the calls of a topic that never rests
    milliseconds retryPause{250}; ///< after a failed read
};

/// Questions and events of KeyedFollower.
struct KeyedFollowerHandlers
{
    /// The newest record of each key; keys that are missing do not exist.
    std::function<void(const std::vector<KeyedRecord> &)> onSnapshot;
    std::function<void(const KeyedRecord &)> onRecord;
    /// After each successful read of the store.
    std::function<void(TimePoint sentAt, LogOffset end)> onRead;
    std::function<void(const Error &)> onFailure;
    /// Passes what was read on to the other VMs.
    std::function<void(const TopicUpdate &)> relay;
    /// Returns how many living VMs stand before this one as readers of the topic.
    std::function<std::size_t(const std::string &topic)> rank;
};

/// Follows one topic until it is destroyed.
template <Store StoreType>
class KeyedFollower
{
public:
    KeyedFollower(EventLoop &loop, StoreType &store, KeyedFollowerOptions options,
                  KeyedFollowerHandlers handlers)
        : m_loop(loop)
        , m_store(store)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_schedule({.period = m_options.wait + m_options.pause})
        , m_timer(loop, [this] { readNext(); })
    { }
    KeyedFollower(const KeyedFollower &) = delete;
    auto operator=(const KeyedFollower &) -> KeyedFollower & = delete;

    auto start() -> void
    {
        readNext();
    }
    /// Reads without waiting out the pause, if no read is under way.
    auto hurry() -> void
    {
        if (m_timer.active()) {
            readNext();
        }
    }
    /// Takes what another VM has read.
    auto onRelayed(const TopicUpdate &update) -> void
    {
        if (!m_known || update.next < m_next) {
            return;
        }
        if (!takeRecords(update)) {
            hurry();
            return;
        }
        m_schedule.onRelayed(m_loop.now());
        if (m_timer.active()) {
            scheduleRead(m_options.pause);
        }
    }
    /// Takes a record that this VM has appended, and passes it on.
    auto onAppended(const KeyedRecord &record) -> void
    {
        const auto update = TopicUpdate{.topic = m_options.topic,
                                        .from = record.offset,
                                        .next = record.offset + 1,
                                        .records = {record}};
        takeRecords(update);
        relayAll(update);
    }
    /// Returns the offset after the last known record.
    [[nodiscard]] auto end() const -> LogOffset
    {
        return m_next;
    }
    [[nodiscard]] auto topic() const -> const std::string &
    {
        return m_options.topic;
    }

private:
    static constexpr std::size_t maxRelayBytes = 4096; ///< of the records of one datagram

    auto readNext() -> void
    {
        m_timer.stop();
        const auto sentAt = m_loop.now();
        if (!m_known) {
            m_store.readNewest(m_options.topic, [this, sentAt](Settled<KeyedSnapshot> snapshot) {
                onSnapshot(sentAt, snapshot);
            });
            return;
        }
        m_store.read({.topic = m_options.topic, .from = m_next, .wait = m_options.wait},
                     [this, sentAt](Settled<KeyedPage> page) { onPage(sentAt, page); });
    }

    auto scheduleRead(Duration pause) -> void
    {
        m_timer.startOnce(
            m_schedule.delay(m_handlers.rank(m_options.topic), pause, m_loop.now()));
    }

    // Applies the records that are new. Returns false if some before them are missing.
    auto takeRecords(const TopicUpdate &update) -> bool
    {
        const auto whole = update.records.size() == update.next - update.from;
        if (update.from > m_next || (!whole && update.next > m_next)) {
            return false;
        }
        for (const auto &record : update.records) {
            if (record.offset == m_next) {
                m_next += 1;
                m_handlers.onRecord(record);
            }
        }
        return true;
    }

    // Passes records on in datagrams of bounded size.
    auto relayAll(const TopicUpdate &update) -> void
    {
        auto part = TopicUpdate{.topic = update.topic, .from = update.from, .next = update.from};
        auto bytes = std::size_t{0};
        const auto flush = [&] {
            m_handlers.relay(part);
            part.from = part.next;
            part.records.clear();
            bytes = 0;
        };
        for (const auto &record : update.records) {
            const auto size = record.key.size() + record.value.value_or("").size();
            if (size > maxRelayBytes) {
                if (!part.records.empty()) {
                    flush();
                }
                part.next = record.offset + 1;
                flush();
                continue;
            }
            if (bytes + size > maxRelayBytes) {
                flush();
            }
            part.records.push_back(record);
            part.next = record.offset + 1;
            bytes += size;
        }
        if (!part.records.empty() || update.records.empty()) {
            flush();
        }
    }

    auto onSnapshot(TimePoint sentAt, const Settled<KeyedSnapshot> &snapshot) -> void
    {
        if (!snapshot) {
            onFailure(snapshot.error());
            return;
        }
        m_known = true;
        m_next = snapshot.value().end;
        m_handlers.onSnapshot(snapshot.value().records);
        m_handlers.onRead(sentAt, m_next);
        m_timer.startOnce(m_options.pause);
    }

    auto onPage(TimePoint sentAt, const Settled<KeyedPage> &page) -> void
    {
        if (!page) {
            m_known = m_known && page.error().code != ErrorCode::OffsetGap;
            onFailure(page.error());
            return;
        }
        auto update = TopicUpdate{.topic = m_options.topic,
                                  .from = page.value().next - page.value().records.size(),
                                  .next = page.value().next,
                                  .records = page.value().records};
        takeRecords(update);
        relayAll(update);
        const auto caughtUp = m_next >= page.value().end;
        if (!caughtUp) {
            m_timer.startOnce(Duration::zero());
            return;
        }
        m_handlers.onRead(sentAt, m_next);
        const auto pause = m_options.pause - (m_loop.now() - sentAt);
        scheduleRead(std::max<Duration>(Duration::zero(), pause));
    }

    auto onFailure(const Error &error) -> void
    {
        m_handlers.onFailure(error);
        scheduleRead(m_options.retryPause);
    }

    EventLoop &m_loop;
    StoreType &m_store;
    KeyedFollowerOptions m_options;
    KeyedFollowerHandlers m_handlers;
    RelaySchedule m_schedule;
    Timer m_timer;
    bool m_known = false;
    LogOffset m_next = 0;
};

} // namespace figlanding
