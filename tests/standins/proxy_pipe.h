#pragma once

#include "io/event_loop.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

/// @file
/// One direction of a proxied connection.

namespace figlanding::standins {

/// Buffers bytes read from one socket until they are due to be written to another.
class ProxyPipe
{
public:
    /// Result of read().
    enum class Status { Open, SourceClosed, Failed };
    /// Maps each block that was read to the bytes to forward, possibly none.
    using Filter = std::function<std::string(std::string)>;

    /// @param source non-blocking descriptor to read from; not owned
    /// @param sink non-blocking descriptor to write to; not owned
    /// @param filter applied to each block that was read
    ProxyPipe(int source, int sink, Filter filter);

    /// Reads available bytes while the buffer has capacity; they become due after @p delay.
    auto read(TimePoint now, Duration delay) -> Status;
    /// Writes the bytes that are due.
    /// @param allowance largest number of bytes to write
    /// @return the number of bytes written
    auto write(TimePoint now, std::size_t allowance) -> std::size_t;

    /// Returns whether the buffer is empty.
    [[nodiscard]] auto empty() const -> bool;
    /// Returns whether the source is open and the buffer is below its limit.
    [[nodiscard]] auto hasRoom() const -> bool;
    /// Returns the time at which the first buffered bytes are due; the buffer must not be empty.
    [[nodiscard]] auto firstDue() const -> TimePoint;
    /// Returns whether a write to the sink failed.
    [[nodiscard]] auto sinkFailed() const -> bool;
    /// Returns whether the source has reached the end of its stream.
    [[nodiscard]] auto sourceClosed() const -> bool;

private:
    struct Block
    {
        TimePoint due;
        std::string bytes;
    };

    int m_source;
    int m_sink;
    Filter m_filter;
    std::deque<Block> m_blocks;
    std::size_t m_buffered = 0;
    bool m_sinkFailed = false;
    bool m_sourceClosed = false;
};

} // namespace figlanding::standins
