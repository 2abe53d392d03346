#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/objects.h"

#include <cstdint>
#include <utility>

/// @file
/// TCP sockets with RAII ownership. All sockets are non-blocking and close-on-exec.

namespace figlanding {

/// Owns a file descriptor.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd)
        : m_fd(fd)
    { }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    { }
    auto operator=(FileDescriptor &&other) noexcept -> FileDescriptor &
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    auto operator=(const FileDescriptor &) -> FileDescriptor & = delete;
    ~FileDescriptor();

    /// Returns the descriptor, or -1 if there is none.
    [[nodiscard]] auto get() const -> int
    {
        return m_fd;
    }
    /// Releases ownership and returns the descriptor.
    [[nodiscard]] auto release() -> int
    {
        return std::exchange(m_fd, -1);
    }
    /// Closes the descriptor, if there is one.
    auto close() -> void;

private:
    int m_fd = -1;
};

/// Listens on an address; port 0 selects a free port.
/// @return the listening socket, InvalidValue if the IP address can't be parsed, or IoFailure with
/// the system's error message
[[nodiscard]] auto listenOn(const SocketAddress &address) -> Result<FileDescriptor>;
/// Starts a non-blocking connect. The socket becomes writable when it is connected or has failed.
/// @return the socket, InvalidValue if the IP address can't be parsed, or IoFailure with the
/// system's error message
[[nodiscard]] auto connectTo(const SocketAddress &address) -> Result<FileDescriptor>;
/// Accepts one connection.
/// @return the connected socket, or an empty FileDescriptor if accept4() fails, for example because
/// no connection is pending
[[nodiscard]] auto acceptFrom(int listeningFd) -> FileDescriptor;
/// Returns another descriptor of the same socket, or an empty FileDescriptor if there is none left.
[[nodiscard]] auto duplicate(int fd) -> FileDescriptor;
/// Sets TCP_USER_TIMEOUT and enables keep-alive probes: the connection fails if sent data stays
/// unacknowledged for @p timeout, and is probed while it is idle.
auto enableDeadPeerDetection(int fd, milliseconds timeout) -> void;
/// Makes close() reset the connection instead of ending it normally: bytes that the peer's host has
/// not acknowledged are discarded, while a normal close goes on delivering them.
auto resetOnClose(int fd) -> void;
/// Resets the connection at once; the descriptor stays open.
auto resetNow(int fd) -> void;
/// Makes close() end the connection normally again, after resetOnClose().
auto cancelResetOnClose(int fd) -> void;
/// Returns the local port of a bound socket, or 0 if it can't be determined.
[[nodiscard]] auto localPort(int fd) -> std::uint16_t;

} // namespace figlanding
