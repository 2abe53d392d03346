#pragma once

#include "figlanding/error.h"
#include "figlanding/objects.h"
#include "io/event_loop.h"
#include "io/socket.h"

#include <functional>
#include <memory>
#include <string_view>

/// @file
/// A UDP socket in the event loop.

namespace figlanding {

/// Sends and receives datagrams.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes, const SocketAddress &from)>;

    /// Binds a socket.
    /// @return IoFailure if the address cannot be bound
    [[nodiscard]] static auto bind(EventLoop &loop, const SocketAddress &address, Handler handler)
        -> Result<std::unique_ptr<DatagramSocket>>;
    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

    /// Sends a datagram; it may be lost.
    auto send(std::string_view bytes, const SocketAddress &to) -> void;

private:
    DatagramSocket(EventLoop &loop, FileDescriptor socket, Handler handler);

    auto receive() -> void;

    FileDescriptor m_socket;
    Handler m_handler;
    IoWatcher m_watcher;
};

} // namespace figlanding
