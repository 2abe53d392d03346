#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/log_cursor.h"
#include "io/event_loop.h"
#include "io/log_service.h"

#include <algorithm>
#include <functional>

/// @file
/// Reads the log and keeps the folded state.

namespace figlanding {

/// Settings of LogFollower.
struct LogFollowerOptions
{
    milliseconds wait{150}; ///< longest wait of one read for a new record
    milliseconds firstRetryDelay{25};
    milliseconds maxRetryDelay{400};
};

/// Events of LogFollower.
struct LogFollowerHandlers
{
    /// The state changed.
    std::function<void(const ClusterState &)> onState;
    /// A read that was sent at the given time returned this tail. The state may still lag
    /// behind it.
    std::function<void(TimePoint sentAt, LogOffset tail)> onRead;
    /// A read failed; the follower tries again.
    std::function<void(const Error &)> onError;
};

/// Follows one log service, one read at a time.
template <LogService Service>
class LogFollower
{
public:
    LogFollower(EventLoop &loop, Service &service, LogFollowerOptions options,
                LogFollowerHandlers handlers);

    auto start() -> void;
    [[nodiscard]] auto state() const -> const ClusterState &
    {
        return m_cursor.state();
    }
    /// Returns what is known of the log's extent and of its snapshots.
    [[nodiscard]] auto cursor() const -> const LogCursor &
    {
        return m_cursor;
    }

private:
    auto readNext() -> void;
    auto onAnswer(TimePoint sentAt, const LogRead &read, const Settled<LogReadResponse> &answer)
        -> void;
    auto retryLater(const Error &error) -> void;

    EventLoop &m_loop;
    Service &m_service;
    LogFollowerOptions m_options;
    LogFollowerHandlers m_handlers;
    LogCursor m_cursor;
    Duration m_retryDelay;
    Timer m_timer;
};

template <LogService Service>
LogFollower<Service>::LogFollower(EventLoop &loop, Service &service, LogFollowerOptions options,
                                  LogFollowerHandlers handlers)
    : m_loop(loop)
    , m_service(service)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_retryDelay(options.firstRetryDelay)
    , m_timer(loop, [this] { readNext(); })
{ }

template <LogService Service>
auto LogFollower<Service>::start() -> void
{
    readNext();
}

template <LogService Service>
auto LogFollower<Service>::readNext() -> void
{
    const auto sentAt = m_loop.now();
    const auto read = m_cursor.nextRead();
    m_service.read({.from = read.from,
                    .maxRecords = read.maxRecords,
                    .wait = read.mayWait ? m_options.wait : milliseconds::zero()},
                   [this, sentAt, read](const Settled<LogReadResponse> &answer) {
                       onAnswer(sentAt, read, answer);
                   });
}

template <LogService Service>
auto LogFollower<Service>::onAnswer(TimePoint sentAt, const LogRead &read,
                                    const Settled<LogReadResponse> &answer) -> void
{
    if (!answer) {
        retryLater(answer.error());
        return;
    }
    const auto before = state().offset;
    const auto &page = answer.value();
    const auto progress = settle([&] {
        return m_cursor.accept(read,
                               {.first = page.first, .tail = page.tail, .records = page.records});
    });
    if (state().offset != before) {
        m_handlers.onState(state());
    }
    if (!progress) {
        retryLater(progress.error());
        return;
    }
    m_retryDelay = m_options.firstRetryDelay;
    m_handlers.onRead(sentAt, page.tail);
    readNext();
}

template <LogService Service>
auto LogFollower<Service>::retryLater(const Error &error) -> void
{
    m_handlers.onError(error);
    m_timer.startOnce(m_retryDelay);
    m_retryDelay = std::min<Duration>(m_retryDelay * 2, m_options.maxRetryDelay);
}

} // namespace figlanding
