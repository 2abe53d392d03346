#pragma once

#include "io/event_loop.h"
#include "io/log_service.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

/// @file
/// Appends this VM's records to the log in order, one request at a time.

namespace figlanding {

/// Settings of LogWriter.
struct LogWriterOptions
{
    std::string writer; ///< unique name of this process, part of each record id
    milliseconds firstRetryDelay{25}; ///< after the first failure; doubles with each further one
    milliseconds maxRetryDelay{400};
    seconds maxAge{5}; ///< a record that is not appended within this time is dropped
    std::size_t maxQueued = 1024;
};

/// Appends records and retries failed requests. A record whose acknowledgement was lost is sent
/// again with the same id; the second copy is ignored when it is applied. Because records are sent
/// in order of their sequence numbers, a dropped record that reaches the log after a newer one is
/// ignored as well.
template <LogService Service>
class LogWriter
{
public:
    LogWriter(EventLoop &loop, Service &service, LogWriterOptions options);

    /// Queues a record for appending.
    /// @return its id, or LimitExceeded if the queue is full
    auto append(RecordPayload &&payload) -> Result<RecordId>;
    /// Returns the number of records whose append is not acknowledged.
    [[nodiscard]] auto queued() const -> std::size_t
    {
        return m_queue.size();
    }

private:
    struct Entry
    {
        Record record;
        TimePoint queuedAt;
    };

    auto sendFirst() -> void;
    auto onAppendResponse(const Settled<LogOffset> &response) -> void;

    EventLoop &m_loop;
    Service &m_service;
    LogWriterOptions m_options;
    std::deque<Entry> m_queue;
    std::uint64_t m_nextSequence = 1;
    bool m_sending = false;
    Duration m_retryDelay;
    Timer m_retryTimer;
};

template <LogService Service>
LogWriter<Service>::LogWriter(EventLoop &loop, Service &service, LogWriterOptions options)
    : m_loop(loop)
    , m_service(service)
    , m_options(std::move(options))
    , m_retryDelay(m_options.firstRetryDelay)
    , m_retryTimer(loop, [this] { sendFirst(); })
{ }

template <LogService Service>
auto LogWriter<Service>::append(RecordPayload &&payload) -> Result<RecordId>
{
    if (m_queue.size() >= m_options.maxQueued) {
        return fail(ErrorCode::LimitExceeded,
                    std::to_string(m_queue.size()) + " records are already queued for the log");
    }
    auto id = RecordId{.writer = m_options.writer, .sequence = m_nextSequence++};
    m_queue.push_back(
        {.record = {.id = id, .payload = std::move(payload)}, .queuedAt = m_loop.now()});
    if (!m_sending && !m_retryTimer.active()) {
        sendFirst();
    }
    return id;
}

template <LogService Service>
auto LogWriter<Service>::sendFirst() -> void
{
    while (!m_queue.empty() && m_loop.now() - m_queue.front().queuedAt > m_options.maxAge) {
        m_queue.pop_front();
    }
    if (m_queue.empty()) {
        return;
    }
    m_sending = true;
    m_service.append(m_queue.front().record,
                     [this](const Settled<LogOffset> &response) { onAppendResponse(response); });
}

template <LogService Service>
auto LogWriter<Service>::onAppendResponse(const Settled<LogOffset> &response) -> void
{
    m_sending = false;
    if (!response) {
        m_retryTimer.startOnce(m_retryDelay);
        m_retryDelay = std::min<Duration>(m_retryDelay * 2, m_options.maxRetryDelay);
        return;
    }
    m_retryDelay = m_options.firstRetryDelay;
    m_queue.pop_front();
    sendFirst();
}

} // namespace figlanding
