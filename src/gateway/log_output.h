#pragma once

#include "io/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Non-blocking output of log lines to a file descriptor.

namespace figlanding {

/// Buffers log lines until the descriptor accepts them. Lines that do not fit into the buffer are
/// dropped and counted, so a slow reader never blocks the event loop.
class LogOutput
{
public:
    /// @param fd descriptor, set to non-blocking mode; must stay open during the object's lifetime
    /// @param capacityBytes capacity of the buffer, with the line ends
    LogOutput(EventLoop &loop, int fd, std::size_t capacityBytes);
    LogOutput(const LogOutput &) = delete;
    auto operator=(const LogOutput &) -> LogOutput & = delete;

    /// Queues a line, which is given without its line end, and writes what the descriptor accepts.
    auto write(std::string_view line) -> void;
    /// Returns the number of lines dropped since construction.
    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return m_dropped;
    }

private:
    auto flush() -> void;

    int m_fd;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    IoWatcher m_watcher;
};

} // namespace figlanding
