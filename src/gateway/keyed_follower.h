#pragma once

#include "figlanding/gateway/store.h"
#include "io/event_loop.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Follows a keyed topic of the store: the newest record of each key first, then what is new.

namespace figlanding {

/// Settings of KeyedFollower.
struct KeyedFollowerOptions
{
    std::string topic;
    milliseconds wait{}; ///< longest time that the store holds back an empty answer
    milliseconds pause{}; ///< between two reads; bounds the calls of a topic that never rests
    milliseconds retryPause{250}; ///< after a failed read
};

/// Events of KeyedFollower.
struct KeyedFollowerHandlers
{
    /// The newest record of each key; keys that are missing do not exist.
    std::function<void(const std::vector<KeyedRecord> &)> onSnapshot;
    std::function<void(const KeyedRecord &)> onRecord;
    /// After each successful read. @p sentAt: everything acknowledged before it is known now.
    std::function<void(TimePoint sentAt, LogOffset end)> onRead;
    std::function<void(const Error &)> onFailure;
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

private:
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
        m_store.read(
            {.topic = m_options.topic, .from = m_next, .wait = m_options.wait},
            [this, sentAt](Settled<KeyedPage> page) { onPage(sentAt, page); });
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
        m_next = page.value().next;
        for (const auto &record : page.value().records) {
            m_handlers.onRecord(record);
        }
        const auto caughtUp = m_next >= page.value().end;
        if (caughtUp) {
            m_handlers.onRead(sentAt, m_next);
        }
        const auto elapsed = m_loop.now() - sentAt;
        const auto pause = caughtUp ? m_options.pause - elapsed : Duration::zero();
        m_timer.startOnce(std::max<Duration>(Duration::zero(), pause));
    }

    auto onFailure(const Error &error) -> void
    {
        m_handlers.onFailure(error);
        m_timer.startOnce(m_options.retryPause);
    }

    EventLoop &m_loop;
    StoreType &m_store;
    KeyedFollowerOptions m_options;
    KeyedFollowerHandlers m_handlers;
    Timer m_timer;
    bool m_known = false;
    LogOffset m_next = 0;
};

} // namespace figlanding
