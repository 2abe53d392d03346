#pragma once

#include "figlanding/clock.h"
#include "io/socket.h"

#include <cstdint>
#include <string>

/// @file
/// A blocking TCP client that sends raw bytes, for malformed requests.

namespace figlanding::standins {

/// One TCP connection to a loopback port.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port);
    /// Makes the system take few bytes that were not read yet, as on a link with a small window.
    auto limitUnread(int bytes) -> void;

    /// Sends all bytes, or as many as the peer accepts before an error or a timeout.
    auto send(const std::string &bytes) -> void;
    /// Shuts down the sending direction.
    auto shutdownWrite() -> void;
    /// Closes the connection.
    auto close() -> void;
    /// Closes the connection with RST.
    auto reset() -> void;
    /// Reads until @p text was received, the peer closed the connection, or the limit passed.
    /// @return all bytes received since the last call
    auto readUntil(const std::string &text, milliseconds limit) -> std::string;
    /// Reads until the peer closes the connection or the limit passes.
    auto readAll(milliseconds limit) -> std::string;
    /// Reads as readAll(), with a pause after each block of 16 KiB, as on a slow link.
    auto readSlowly(milliseconds pause, milliseconds limit) -> std::string;
    /// Returns whether the peer has taken all bytes that were sent.
    [[nodiscard]] auto sentAll() const -> bool
    {
        return m_sentAll;
    }
    /// Returns whether a read has found the connection closed by the peer.
    [[nodiscard]] auto closedByPeer() const -> bool
    {
        return m_closedByPeer;
    }

    /// Returns whether a read has found the connection reset by the peer.
    [[nodiscard]] auto resetByPeer() const -> bool
    {
        return m_resetByPeer;
    }

private:
    // Reads a block if one arrives within the limit.
    auto readBlock(std::string &received, milliseconds limit) -> bool;

    FileDescriptor m_socket;
    bool m_sentAll = true;
    bool m_closedByPeer = false;
    bool m_resetByPeer = false;
};

} // namespace figlanding::standins
