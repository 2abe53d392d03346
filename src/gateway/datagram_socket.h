#pragma once

#include "figlanding/error.h"
#include "figlanding/objects.h"
#include "io/event_loop.h"
#include "io/socket.h"

#include <functional>
#include <memory>
#include <string_view>

/// @file
/// A non-blocking UDP socket that is served by the event loop.

namespace figlanding {

/// Sends and receives UDP datagrams over IPv4.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes, const SocketAddress &from)>;

    /// Creates a socket and binds it.
    /// @param handler called on the loop for each received datagram
    /// @return InvalidValue if the IP address is not an IPv4 address, IoFailure if the address
    /// cannot be bound
    [[nodiscard]] static auto bind(EventLoop &loop, const SocketAddress &address, Handler handler)
        -> Result<std::unique_ptr<DatagramSocket>>;
    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

    /// Sends a datagram without a delivery guarantee; send errors are ignored.
    auto send(std::string_view bytes, const SocketAddress &to) -> void;

private:
    DatagramSocket(EventLoop &loop, FileDescriptor socket, Handler handler);

    auto receive() -> void;

    FileDescriptor m_socket;
    Handler m_handler;
    IoWatcher m_watcher;
};

} // namespace figlanding
