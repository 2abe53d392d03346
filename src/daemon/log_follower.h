#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/log_cursor.h"
#include "io/event_loop.h"
#include "io/log_service.h"

#include <algorithm>
#include <functional>

/// @file
/// Reads the log and applies its records to the cluster state.

namespace figlanding {

/// Settings of LogFollower.
struct LogFollowerOptions
{
    milliseconds wait{150}; ///< longest time that one read waits for a new record
    milliseconds firstRetryDelay{25}; ///< after the first failure; doubles with each further one
    milliseconds maxRetryDelay{400};
};

/// Callbacks of LogFollower.
struct LogFollowerHandlers
{
    /// The state changed.
    std::function<void(const ClusterState &)> onState;
    /// A read that was sent at the given time returned this tail (newest offset of the log). The
    /// state may not include the tail yet.
    std::function<void(TimePoint sentAt, LogOffset tail)> onRead;
    /// A read failed, or its records could not be applied. The follower retries after a delay.
    std::function<void(const Error &)> onError;
};

/// Follows one log service, one read at a time.
template <LogService Service>
class LogFollower
{
public:
    LogFollower(EventLoop &loop, Service &service, LogFollowerOptions options,
                LogFollowerHandlers handlers);

    /// Sends the first read.
    auto start() -> void;
    /// Returns the state after the last applied record.
    [[nodiscard]] auto state() const -> const ClusterState &
    {
        return m_cursor.state();
    }
    /// Returns the read position, which also holds the log's first and last offset and its newest
    /// complete snapshot.
    [[nodiscard]] auto cursor() const -> const LogCursor &
    {
        return m_cursor;
    }

private:
    auto readNext() -> void;
    auto onReadResponse(TimePoint sentAt, const LogRead &read,
                        const Settled<LogReadResponse> &response) -> void;
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
                    .wait = read.allowLongPoll ? m_options.wait : milliseconds::zero()},
                   [this, sentAt, read](const Settled<LogReadResponse> &response) {
                       onReadResponse(sentAt, read, response);
                   });
}

template <LogService Service>
auto LogFollower<Service>::onReadResponse(TimePoint sentAt, const LogRead &read,
                                          const Settled<LogReadResponse> &response) -> void
{
    if (!response) {
        retryLater(response.error());
        return;
    }
    const auto before = state().offset;
    const auto &page = response.value();
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
