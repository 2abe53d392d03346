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
    milliseconds catchUpPause{200}; ///< time for missing records to be passed on, before a read
};

/// Questions and events of KeyedFollower.
struct KeyedFollowerHandlers
{
    /// The newest record of each key; keys that are missing do not exist.
    std::function<void(const std::vector<KeyedRecord> &)> onSnapshot;
    /// Returns whether the record changed anything; others need not be told of one that did not.
    std::function<bool(const KeyedRecord &)> onRecord;
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
        , m_catchUpTimer(loop, [this] { catchUp(); })
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
    /// Notes that another VM has read up to @p end.
    auto onAhead(LogOffset end) -> void
    {
        m_aheadEnd = std::max(m_aheadEnd, end);
        if (m_known && m_aheadEnd > m_next && !m_catchUpTimer.active()) {
            m_catchUpTimer.startOnce(m_options.catchUpPause);
        }
    }
    /// Takes what another VM has read.
    auto onRelayed(const TopicUpdate &update) -> void
    {
        if (!m_known || update.next < m_next) {
            return;
        }
        if (!takeRelayed(update)) {
            onAhead(update.next);
            return;
        }
        m_schedule.onRelayed(m_loop.now() - update.age);
        if (m_timer.active()) {
            scheduleRead(m_options.pause);
        }
    }
    /// Takes a record that this VM has appended, and passes it on.
    auto onAppended(const KeyedRecord &record) -> void
    {
        if (m_known && record.offset == m_next) {
            takeAndPassOn({record}, record.offset + 1, milliseconds(0));
        }
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
    /// A larger record does not fit into a datagram, also compressed: each VM reads it from the
    /// store for itself. A configuration of 120 routes and 90 teams has some 40 KB, a table of 400
    /// ranges 16 KB.
    static constexpr std::size_t maxRecordBytes = std::size_t{96} * 1024;

    auto readNext(bool freshConnection = false) -> void
    {
        m_timer.stop();
        const auto sentAt = m_loop.now();
        const auto number = ++m_reads;
        m_sentAt = sentAt;
        if (!m_known) {
            m_store.readNewest(m_options.topic,
                               [this, sentAt, number](const Settled<KeyedSnapshot> &snapshot) {
                                   if (number == m_reads) {
                                       onSnapshot(sentAt, snapshot);
                                   }
                               });
            return;
        }
        m_store.read({.topic = m_options.topic,
                      .from = m_next,
                      .wait = m_options.wait,
                      .freshConnection = freshConnection},
                     [this, sentAt, number](const Settled<KeyedPage> &page) {
                         if (number == m_reads) {
                             onPage(sentAt, page);
                         }
                     });
    }

    auto scheduleRead(Duration pause, bool failed = false) -> void
    {
        m_timer.startOnce(
            m_schedule.delay(m_handlers.rank(m_options.topic), pause, failed, m_loop.now()));
    }

    // Another VM has read more. While the store turns this VM away, it asks at its own pace.
    auto catchUp() -> void
    {
        if (!m_known || m_aheadEnd <= m_next) {
            return;
        }
        m_catchUpTimer.startOnce(m_options.catchUpPause);
        if (m_failures > 0) {
            return;
        }
        if (m_timer.active()) {
            readNext();
        } else if (m_schedule.isSilent(m_sentAt, m_loop.now())) {
            readNext(true);
        }
    }

    // Applies the records that are new. Returns false if some before them are missing.
    auto takeRelayed(const TopicUpdate &update) -> bool
    {
        if (update.from > m_next || (!update.whole && update.next > m_next)) {
            return false;
        }
        take(update.records, update.next);
        return true;
    }

    // What another VM has read up to was passed on by that one.
    [[nodiscard]] auto passesOn(LogOffset next) const -> bool
    {
        return next >= m_aheadEnd
            && m_schedule.passesOn(m_handlers.rank(m_options.topic), m_loop.now());
    }

    // Applies the records that are new.
    auto take(const std::vector<KeyedRecord> &records, LogOffset next) -> void
    {
        for (const auto &record : records) {
            if (record.offset >= m_next) {
                m_handlers.onRecord(record);
            }
        }
        m_next = std::max(m_next, next);
    }

    // Applies the records that are new and passes on those that changed something.
    auto takeAndPassOn(const std::vector<KeyedRecord> &records, LogOffset next, milliseconds age)
        -> void
    {
        auto part =
            TopicUpdate{.topic = m_options.topic, .from = m_next, .next = m_next, .age = age};
        auto bytes = std::size_t{0};
        for (const auto &record : records) {
            if (record.offset < m_next) {
                continue; // passed on meanwhile
            }
            m_next = record.offset + 1;
            if (!m_handlers.onRecord(record)) {
                continue;
            }
            const auto size = record.key.size() + record.value.value_or("").size();
            if (bytes > 0 && bytes + size > maxRelayBytes) {
                m_handlers.relay(part);
                part = {.topic = m_options.topic, .from = part.next, .next = part.next, .age = age};
                bytes = 0;
            }
            if (size > maxRecordBytes) {
                part.whole = false;
            } else {
                part.records.push_back(record);
            }
            bytes += size;
            part.next = record.offset + 1;
        }
        m_next = std::max(m_next, next);
        part.next = m_next;
        m_handlers.relay(part);
    }

    auto onSnapshot(TimePoint sentAt, const Settled<KeyedSnapshot> &snapshot) -> void
    {
        if (!snapshot) {
            onFailure(snapshot.error());
            return;
        }
        m_failures = 0;
        m_known = true;
        m_next = snapshot.value().end;
        m_handlers.onSnapshot(snapshot.value().records);
        m_handlers.onRead(sentAt, m_next);
        m_timer.startOnce(m_options.pause);
    }

    auto onPage(TimePoint sentAt, const Settled<KeyedPage> &page) -> void
    {
        if (!page) {
            // Many old records may not arrive in time over a slow link; the newest ones do.
            const auto code = page.error().code;
            m_known = m_known && code != ErrorCode::OffsetGap && code != ErrorCode::Timeout;
            onFailure(page.error());
            return;
        }
        m_failures = 0;
        // An answer that the store held back is as old as its way to this VM.
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(m_loop.now() - sentAt) - m_options.wait;
        const auto &content = page.value();
        if (passesOn(content.next)) {
            takeAndPassOn(content.records, content.next, std::max(milliseconds(0), elapsed));
        } else {
            take(content.records, content.next);
        }
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
        m_failures += 1;
        m_handlers.onFailure(error);
        scheduleRead(m_schedule.pauseAfterFailure(m_failures), true);
    }

    EventLoop &m_loop;
    StoreType &m_store;
    KeyedFollowerOptions m_options;
    KeyedFollowerHandlers m_handlers;
    RelaySchedule m_schedule;
    Timer m_timer;
    Timer m_catchUpTimer;
    LogOffset m_aheadEnd = 0; ///< another VM has read up to here
    bool m_known = false;
    std::uint32_t m_failures = 0; ///< in a row
    std::uint64_t m_reads = 0; ///< sent so far; an answer to an earlier one is ignored
    TimePoint m_sentAt; ///< of the last read
    LogOffset m_next = 0;
};

} // namespace figlanding
