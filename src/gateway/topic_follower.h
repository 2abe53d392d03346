#pragma once

#include "figlanding/gateway/relay_schedule.h"
#include "figlanding/gateway/store.h"
#include "figlanding/gateway/store_outage.h"
#include "gateway/relay_batches.h"
#include "gateway/topic_follower_options.h"
#include "io/event_loop.h"
#include "io/log.h"

#include <algorithm>
#include <utility>
#include <vector>

/// @file
/// Follows a keyed topic of the store: starts from a snapshot with the newest record of each key,
/// then applies new records in the order of their offsets. New records are read from the store or
/// relayed by another VM. A relayed update carries its offsets, so it can be late, but a gap or a
/// duplicate is always detected.

namespace figlanding {

/// Follows one topic from start() until the object is destroyed.
template <Store StoreType>
class TopicFollower
{
public:
    TopicFollower(EventLoop &loop, StoreType &store, TopicFollowerOptions options,
                  TopicFollowerHandlers handlers)
        : m_loop(loop)
        , m_store(store)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_schedule({.period = m_options.wait + m_options.pause})
        , m_timer(loop, [this] { readNext(); })
        , m_catchUpTimer(loop, [this] { catchUp(); })
    { }
    TopicFollower(const TopicFollower &) = delete;
    auto operator=(const TopicFollower &) -> TopicFollower & = delete;

    /// Begins with a read of the snapshot.
    auto start() -> void
    {
        m_schedule.onStart(m_loop.now());
        readNext();
    }
    /// Reads immediately instead of after the current pause; does nothing while a read is in
    /// flight.
    auto readNow() -> void
    {
        if (m_timer.active()) {
            readNext();
        }
    }
    /// Records that another VM has read up to @p end, and schedules a read if this VM is behind.
    /// The claim counts until a read that began after it shows that the topic ends before.
    auto onPeerEnd(LogOffset end) -> void
    {
        if (end > m_peerEnd && m_peerEnd <= m_nextOffset && end > m_nextOffset) {
            m_behindSince = m_loop.now();
        }
        if (end > m_peerEnd) {
            m_peerEnd = end;
            m_peerEndRead = m_readNumber;
        }
        if (m_hasSnapshot && m_peerEnd > m_nextOffset && !m_catchUpTimer.active()) {
            m_catchUpTimer.startOnce(m_options.catchUpPause);
        }
    }
    /// Applies an update that another VM relayed.
    auto onRelayReceived(const TopicUpdate &update) -> void
    {
        noteAnswer(m_loop.now() - update.age, update.next, true);
        if (!m_hasSnapshot || update.next < m_nextOffset) {
            return;
        }
        if (!applyRelayed(update)) {
            onPeerEnd(update.next);
            return;
        }
        m_needsSnapshot = false;
        m_consecutiveFailures = 0;
        m_confirmedAt = std::max(m_confirmedAt, m_loop.now() - update.age);
        m_schedule.onRelayReceived(m_loop.now());
        if (m_timer.active()) {
            scheduleRead(m_options.pause);
        }
    }
    /// Applies and relays a record that this VM has appended, unless records before it are missing.
    auto onAppended(const KeyedRecord &record) -> void
    {
        if (m_hasSnapshot && record.offset == m_nextOffset) {
            applyAndRelay({record}, record.offset + 1, milliseconds(0));
        }
    }
    /// Returns the offset after the last applied record.
    [[nodiscard]] auto end() const -> LogOffset
    {
        return m_nextOffset;
    }
    /// Returns whether all records are applied that were appended longer than @p maxAge ago, as far
    /// as this VM can know: its view was confirmed since, and no other VM has read more.
    [[nodiscard]] auto isCurrent(Duration maxAge) const -> bool
    {
        return m_hasSnapshot && m_nextOffset >= m_peerEnd && m_loop.now() - m_confirmedAt < maxAge;
    }
    /// Returns whether another VM has read records that this one has lacked for longer than
    /// @p delay.
    [[nodiscard]] auto isBehind(Duration delay) const -> bool
    {
        return m_nextOffset < m_peerEnd && m_loop.now() - m_behindSince > delay;
    }
    /// Returns the outages of the store, as the reads of this topic show them.
    [[nodiscard]] auto outage() const -> const StoreOutage &
    {
        return m_outage;
    }
    [[nodiscard]] auto topic() const -> const std::string &
    {
        return m_options.topic;
    }

private:
    struct Read
    {
        std::uint64_t number = 0;
        TimePoint sentAt;
        LogOffset from = 0; ///< offset after the last record applied when the read began
        milliseconds wait{}; ///< long polling; not for snapshots
    };

    auto readNext(bool freshConnection = false) -> void
    {
        m_timer.stop();
        m_sentAt = m_loop.now();
        m_unanswered += 1;
        // Records that another VM has exist already, unless its claim is false.
        const auto wait = m_peerEnd > m_nextOffset ? milliseconds(0) : m_options.wait;
        const auto current =
            Read{.number = ++m_readNumber, .sentAt = m_sentAt, .from = m_nextOffset, .wait = wait};
        if (m_needsSnapshot) {
            m_store.readNewest({.topic = m_options.topic,
                                .freshConnection = freshConnection,
                                .onProgress = [this] { m_progressAt = m_loop.now(); }},
                               [this, current](const Settled<KeyedSnapshot> &snapshot) {
                                   m_unanswered -= 1;
                                   onSnapshot(current, snapshot);
                               });
            return;
        }
        m_store.read({.topic = m_options.topic,
                      .from = m_nextOffset,
                      .wait = wait,
                      .freshConnection = freshConnection,
                      .onProgress = [this] { m_progressAt = m_loop.now(); }},
                     [this, current](const Settled<KeyedPage> &page) {
                         m_unanswered -= 1;
                         if (page) {
                             noteAnswer(m_loop.now(), page.value().end, false);
                         }
                         if (current.number == m_readNumber) {
                             onPage(current, page);
                         } else if (page) {
                             checkPeerEnd(current, page.value().end);
                             apply(newestOfEachKey(page.value().records), page.value().next);
                         }
                     });
    }

    auto scheduleRead(Duration pause, bool failed = false) -> void
    {
        m_timer.startOnce(
            m_schedule.delay(m_handlers.rank(m_options.topic), pause, failed, m_loop.now()));
    }

    // Reads the records that another VM has and this one lacks, but not during the pause after a
    // failed read.
    auto catchUp() -> void
    {
        if (!m_hasSnapshot || m_peerEnd <= m_nextOffset) {
            return;
        }
        m_catchUpTimer.startOnce(m_options.catchUpPause);
        reportMissing();
        if (m_loop.now() < m_retryAt) {
            return;
        }
        if (m_timer.active()) {
            readNext();
        } else if (m_schedule.hasTimedOut(std::max(m_sentAt, m_progressAt), m_replaced,
                                          m_loop.now())) {
            m_replaced += 1;
            report(ReplacedRead{.sentFor = m_loop.now() - m_sentAt,
                                .unanswered = m_unanswered,
                                .behind = m_peerEnd - m_nextOffset});
            readNext(true);
        }
    }

    // Comes before the records of the answer are applied: how they are applied depends on when the
    // store was back.
    auto noteAnswer(TimePoint answeredAt, LogOffset end, bool relayed) -> void
    {
        if (m_outage.onAnswer(answeredAt, m_loop.now())) {
            report(StoreRegained{.end = end, .relayed = relayed});
        }
    }
    auto noteFailure(const Error &error) -> void
    {
        if (m_outage.onFailure(m_loop.now())) {
            report(StoreLost{.error = error});
        }
    }
    auto reportRead(const Read &read) const -> void
    {
        if (m_handlers.onRead) {
            m_handlers.onRead(read.sentAt, m_nextOffset);
        }
    }
    auto report(const FollowerEvent &event) const -> void
    {
        if (m_handlers.onEvent) {
            m_handlers.onEvent(event);
        }
    }
    // Reports once that records are missing.
    auto reportMissing() -> void
    {
        if (!std::exchange(m_reportedMissing, true)) {
            report(RecordsMissing{.missingFor = m_loop.now() - m_behindSince,
                                  .next = m_nextOffset,
                                  .peerEnd = m_peerEnd,
                                  .failures = m_consecutiveFailures});
        }
    }
    // Reports that no record is missing any more, if that some are missing was reported.
    auto reportComplete() -> void
    {
        if (m_nextOffset >= m_peerEnd && std::exchange(m_reportedMissing, false)) {
            report(
                RecordsComplete{.missingFor = m_loop.now() - m_behindSince, .next = m_nextOffset});
        }
    }

    // Drops a claim of another VM that a read refutes. Reads of the store are linearizable, so one
    // that began after a true claim shows its records. A later claim of the same end counts anew.
    auto checkPeerEnd(const Read &read, LogOffset end) -> void
    {
        if (read.number <= m_peerEndRead || end >= m_peerEnd) {
            return;
        }
        logEvent(LogLevel::Warning, "topic-end-refuted",
                 {{"topic", m_options.topic}, {"claimed", m_peerEnd}, {"end", end}});
        m_peerEnd = end;
        reportComplete();
    }

    // Applies the new records of an update. Returns false if earlier records are missing, or if the
    // update lacks new records of its range.
    auto applyRelayed(const TopicUpdate &update) -> bool
    {
        if (update.from > m_nextOffset || (!update.complete && update.next > m_nextOffset)) {
            return false;
        }
        apply(update.records, update.next);
        return true;
    }

    // Returns whether to relay records up to an offset. Another VM that has read past it has
    // relayed them already.
    [[nodiscard]] auto shouldRelay(LogOffset next) const -> bool
    {
        return next >= m_peerEnd
            && m_schedule.shouldRelay(m_handlers.rank(m_options.topic), m_loop.now());
    }

    // Applies records from the next offset on and skips earlier ones.
    auto apply(const std::vector<KeyedRecord> &records, LogOffset next) -> void
    {
        for (const auto &record : records) {
            if (record.offset >= m_nextOffset) {
                m_handlers.onRecord(record);
            }
        }
        m_nextOffset = std::max(m_nextOffset, next);
        reportComplete();
    }

    // Applies new records and relays those that changed something.
    auto applyAndRelay(const std::vector<KeyedRecord> &records, LogOffset next, milliseconds age)
        -> void
    {
        auto batches = RelayBatches(
            {.topic = m_options.topic, .from = m_nextOffset, .next = m_nextOffset, .age = age},
            m_handlers.relay);
        for (const auto &record : records) {
            if (record.offset < m_nextOffset) {
                continue; // was relayed by another VM in the meantime
            }
            m_nextOffset = record.offset + 1;
            const auto shorter = m_handlers.shorten ? m_handlers.shorten(record) : std::nullopt;
            if (m_handlers.onRecord(record)) {
                batches.add(record, shorter);
            }
        }
        m_nextOffset = std::max(m_nextOffset, next);
        batches.finish(m_nextOffset);
        reportComplete();
    }

    // A read that another one has replaced still counts if its response arrives.
    auto onSnapshot(const Read &read, const Settled<KeyedSnapshot> &snapshot) -> void
    {
        const auto replaced = read.number != m_readNumber;
        if (!snapshot) {
            if (!replaced) {
                onFailure(snapshot.error());
            }
            return;
        }
        noteAnswer(m_loop.now(), snapshot.value().end, false);
        m_needsSnapshot = false;
        checkPeerEnd(read, snapshot.value().end);
        // Records that were relayed meanwhile may be newer than the snapshot. Those from before the
        // read are part of it, unless their offsets were false.
        if (!m_hasSnapshot || snapshot.value().end >= m_nextOffset
            || snapshot.value().end < read.from) {
            m_hasSnapshot = true;
            m_nextOffset = snapshot.value().end;
            m_handlers.onSnapshot(snapshot.value());
            reportComplete();
        }
        m_confirmedAt = std::max(m_confirmedAt, read.sentAt);
        if (replaced) {
            return;
        }
        m_consecutiveFailures = 0;
        m_replaced = 0;
        reportRead(read);
        m_timer.startOnce(m_options.pause);
    }

    // Returns an upper bound of the age of a page. The store answers a long poll as soon as it has
    // a record, at any time since the read was sent; only an empty page is known to be answered at
    // the end of the wait.
    [[nodiscard]] auto ageOf(const KeyedPage &page, const Read &read) const -> milliseconds
    {
        const auto elapsed = m_loop.now() - read.sentAt;
        const auto waited = page.records.empty() && elapsed >= read.wait;
        return std::chrono::ceil<milliseconds>(waited ? elapsed - read.wait : elapsed);
    }

    auto onPage(const Read &read, const Settled<KeyedPage> &page) -> void
    {
        if (!page) {
            onFailedPage(page.error());
            return;
        }
        m_consecutiveFailures = 0;
        m_replaced = 0;
        m_hadGap = false;
        checkPeerEnd(read, page.value().end);
        if (page.value().end < read.from) {
            onFalseOffset(read.from, page.value().end);
            return;
        }
        const auto age = ageOf(page.value(), read);
        const auto next = page.value().next;
        const auto records = newestOfEachKey(page.value().records);
        if (shouldRelay(next)) {
            applyAndRelay(records, next, age);
        } else {
            apply(records, next);
        }
        const auto caughtUp = m_nextOffset >= page.value().end;
        if (!caughtUp) {
            m_timer.startOnce(Duration::zero());
            return;
        }
        m_confirmedAt = std::max(m_confirmedAt, m_loop.now() - age);
        reportRead(read);
        const auto pause = m_options.pause - (m_loop.now() - read.sentAt);
        scheduleRead(std::max<Duration>(Duration::zero(), pause));
    }

    // Relayed updates named offsets that the topic does not have. Records that it appends below
    // them would be skipped, so the view starts anew from a snapshot.
    auto onFalseOffset(LogOffset applied, LogOffset end) -> void
    {
        logEvent(LogLevel::Warning, "topic-offset-false",
                 {{"topic", m_options.topic}, {"applied", applied}, {"end", end}});
        m_needsSnapshot = true;
        m_confirmedAt = TimePoint{};
        m_timer.startOnce(Duration::zero());
    }

    // After a gap or a timeout, the next read is one of the snapshot: over a slow link a long
    // backlog may not arrive in time, while the newest record of each key does. Relayed records are
    // still applied until then.
    auto onFailedPage(const Error &error) -> void
    {
        const auto gap = error.code == ErrorCode::OffsetGap;
        m_needsSnapshot = m_needsSnapshot || gap || error.code == ErrorCode::Timeout;
        if (!gap || std::exchange(m_hadGap, true)) {
            onFailure(error);
            return;
        }
        // The store is available, so there is nothing to wait for.
        noteFailure(error);
        m_consecutiveFailures = 0;
        m_timer.startOnce(Duration::zero());
    }

    auto onFailure(const Error &error) -> void
    {
        m_consecutiveFailures += 1;
        noteFailure(error);
        const auto pause = m_schedule.pauseAfterFailure(m_consecutiveFailures);
        m_retryAt = m_loop.now() + pause;
        scheduleRead(pause, true);
    }

    EventLoop &m_loop;
    StoreType &m_store;
    TopicFollowerOptions m_options;
    TopicFollowerHandlers m_handlers;
    RelaySchedule m_schedule;
    StoreOutage m_outage;
    Timer m_timer;
    Timer m_catchUpTimer;
    LogOffset m_peerEnd = 0; ///< highest end offset that another VM reported and no read refuted
    std::uint64_t m_peerEndRead = 0; ///< number of the last read before that report
    TimePoint m_behindSince; ///< since when this VM has known that another one has read more
    bool m_reportedMissing = false; ///< and not that no record is missing any more
    bool m_hasSnapshot = false; ///< a snapshot was read at least once
    bool m_needsSnapshot = true; ///< the next read is one of the snapshot
    bool m_hadGap = false; ///< since the last page that was read
    /// Failed reads in a row, since the last one that succeeded or the last relay that was applied.
    std::uint32_t m_consecutiveFailures = 0;
    TimePoint m_retryAt; ///< end of the pause after the last failed read
    /// Number of the last read. Responses to earlier reads, which it replaced because they were
    /// late, are applied only if they contain new records: over a slow link every one may be late.
    std::uint64_t m_readNumber = 0;
    TimePoint m_sentAt; ///< when the last read was sent
    TimePoint m_progressAt; ///< when the last part of a response arrived
    std::size_t m_unanswered = 0; ///< reads in flight, replaced ones included
    std::uint32_t m_replaced = 0; ///< reads that were replaced since the last response
    TimePoint m_confirmedAt; ///< all records appended before it are applied
    LogOffset m_nextOffset = 0;
};

} // namespace figlanding
