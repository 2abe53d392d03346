#pragma once

#include "figlanding/clock.h"
#include "io/event_loop.h"
#include "io/socket.h"

#include <cstddef>
#include <list>
#include <memory>

/// @file
/// Connections that a server has ended, until their peers have the last response (RFC 9112, 9.6).
///
/// A system that closes a connection with unread input, or gets input for a closed one, resets it.
/// The peer's system may then drop what the peer has not read yet. So the input is read and
/// discarded until the peer ends the connection as well.

namespace figlanding {

/// How long and how far the input of an ended connection is read.
struct LingerLimits
{
    milliseconds time{2000}; ///< from the end of the last response
    /// More than a peer that reads while it sends can have under way.
    std::size_t inputBytes = std::size_t{8} * 1024 * 1024;

    auto operator==(const LingerLimits &) const -> bool = default;
};

/// Reads and discards what the peers of ended connections still send, within limits for each
/// connection. It holds a descriptor of each, but none of their bytes.
class LingeringConnections
{
public:
    /// @param loop must outlive this object
    explicit LingeringConnections(EventLoop &loop, LingerLimits limits = {});
    LingeringConnections(const LingeringConnections &) = delete;
    auto operator=(const LingeringConnections &) -> LingeringConnections & = delete;
    /// Closes all connections, after a last read of what each peer has sent.
    ~LingeringConnections();

    /// Takes over a connection whose last response was written, and shuts down its sending side.
    auto add(FileDescriptor connection) -> void;
    /// Closes the connection that has lingered for longest, if there is one.
    /// @return whether there was one
    auto closeOldest() -> bool;
    /// Returns the number of connections that linger.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_connections.size();
    }

private:
    struct Connection
    {
        FileDescriptor socket;
        std::unique_ptr<IoWatcher> watcher;
        TimePoint until;
        std::size_t readBytes = 0;
    };

    [[nodiscard]] auto mayHaveInput(Connection &connection) const -> bool;
    auto closeExpired() -> void;

    EventLoop &m_loop;
    LingerLimits m_limits;
    std::list<Connection> m_connections; ///< in the order of their ends
    Timer m_timer; ///< runs while connections linger
};

} // namespace figlanding
