#pragma once

#include "io/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Writes log lines to a file descriptor without ever waiting for its reader.

namespace figlanding {

/// A buffer between the loop and the descriptor. When it is full, lines are dropped and counted.
class LogOutput
{
public:
    /// @param fd descriptor that stays open; it becomes non-blocking
    /// @param capacityBytes size of the buffer
    LogOutput(EventLoop &loop, int fd, std::size_t capacityBytes);
    LogOutput(const LogOutput &) = delete;
    auto operator=(const LogOutput &) -> LogOutput & = delete;

    /// Takes a line without its end.
    auto write(std::string_view line) -> void;
    /// Returns the number of lines dropped since the start.
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
