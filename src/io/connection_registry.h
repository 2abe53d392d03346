#pragma once

#include "figlanding/clock.h"
#include "figlanding/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// Open sockets of the HTTP client. libcurl's pre-request callback identifies the connection only
/// by its IP addresses and ports; the registry maps these to the socket.

namespace figlanding {

/// Endpoints of a TCP connection. The three fields determine the local IP address, so it is
/// left out.
struct ConnectionEndpoints
{
    std::string remoteIp;
    int remotePort = 0;
    int localPort = 0;

    auto operator==(const ConnectionEndpoints &) const -> bool = default;
};

/// Maps connection endpoints to sockets and records when each socket was last used.
class ConnectionRegistry
{
public:
    /// Registers @p fd as the socket of @p endpoints; replaces an earlier entry of @p fd.
    auto add(ConnectionEndpoints endpoints, int fd) -> void;
    /// Removes @p fd; does nothing if it is not registered.
    auto remove(int fd) -> void;
    /// Returns the socket of @p endpoints, or -1 if none is registered.
    [[nodiscard]] auto find(const ConnectionEndpoints &endpoints) const -> int;
    /// Records that a call on @p fd ended at @p now and left the connection open.
    auto setIdle(int fd, TimePoint now) -> void;
    /// Records that a call uses @p fd.
    auto setBusy(int fd) -> void;
    /// Returns the server's address if @p fd is idle and has unread input, which belongs to no
    /// call.
    [[nodiscard]] auto unexpectedInputFrom(int fd) const -> std::optional<SocketAddress>;
    /// Records whether the request on @p fd is unanswered: it may have been sent, and no byte of a
    /// response has arrived.
    auto setUnanswered(int fd, bool unanswered) -> void;
    /// Returns whether the request on @p fd is unanswered.
    [[nodiscard]] auto unanswered(int fd) const -> bool;
    /// Records that a request with the id @p requestId is sent on @p fd.
    auto addRequest(int fd, std::string_view requestId) -> void;
    /// Returns whether a request with the id @p requestId may have been sent on a connection to
    /// @p server that is still open.
    [[nodiscard]] auto hasCarried(const SocketAddress &server, std::string_view requestId) const
        -> bool;
    /// Returns whether a response on @p fd that has the id @p requestId would belong to a request
    /// that is sent now: none with that id was sent on it. False as well, though rarely, for an id
    /// that was not sent, and once too many ids would have to be remembered.
    [[nodiscard]] auto distinguishes(int fd, std::string_view requestId) const -> bool;
    /// Returns whether @p fd can carry a new request: it has no unread input, the peer has not
    /// closed it, and its last call ended at most @p maxIdleAge before @p now.
    [[nodiscard]] auto reusable(int fd, TimePoint now, Duration maxIdleAge) const -> bool;

private:
    struct Entry
    {
        ConnectionEndpoints endpoints;
        TimePoint lastUsed;
        bool idle = false;
        bool unanswered = false;
        std::vector<std::size_t> requests; ///< hashes of the ids of all requests sent so far

        [[nodiscard]] auto carried(std::string_view requestId) const -> bool;
    };
    struct EndpointsHash
    {
        auto operator()(const ConnectionEndpoints &endpoints) const -> std::size_t;
    };

    [[nodiscard]] static auto serverOf(const ConnectionEndpoints &endpoints) -> SocketAddress;

    std::unordered_map<int, Entry> m_entries;
    std::map<SocketAddress, std::vector<int>> m_socketsByServer;
    std::unordered_map<ConnectionEndpoints, int, EndpointsHash> m_sockets;
};

} // namespace figlanding
