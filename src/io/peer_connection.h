#pragma once

#include "figlanding/error.h"
#include "figlanding/http_message.h"
#include "figlanding/verdict.h"
#include "io/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>

/// @file
/// HTTP/2 connection (nghttp2) between two VMs over a TCP socket.

namespace figlanding {

/// Result of a request sent to a peer.
struct PeerOutcome
{
    /// NotRun if the peer did not receive the complete request, MayHaveRun if it may have, Ran if
    /// its complete response arrived.
    Verdict verdict = Verdict::NotRun;
    HttpResponse response; ///< valid if verdict is Ran
    Error error; ///< valid if verdict is not Ran
};

/// Largest body of a request or response between two VMs, in bytes.
inline constexpr std::size_t maxPeerBodyBytes = std::size_t{64} * 1024 * 1024;

/// Sends requests (client role) or receives them (server role) on one connection. Destruction
/// closes the socket.
class PeerConnection
{
public:
    enum class Role { Client, Server };
    using StreamId = std::int32_t;
    using ResponseCallback = std::function<void(PeerOutcome)>;

    /// Event handlers of a connection. None of them runs within the connection's constructor.
    struct Handlers
    {
        std::function<void(StreamId, HttpRequest)> onRequest; ///< server role only
        std::function<void(StreamId)> onRequestEnded; ///< server role: stream or connection closed
        std::function<void(const Error &)> onClosed; ///< at most once; may destroy the connection
    };

    /// @param loop must outlive the connection
    /// @param fd connected or connecting non-blocking socket; the connection takes ownership
    PeerConnection(EventLoop &loop, int fd, Role role, Handlers handlers);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    auto operator=(const PeerConnection &) -> PeerConnection & = delete;

    /// Sends a request (client role).
    /// @param callback runs once, with the response or an error, unless cancel() is called; it may
    /// run before request() returns
    /// @return the stream for cancel(), or a negative value if the request was not sent
    auto request(HttpRequest request, ResponseCallback callback) -> StreamId;
    /// Resets a stream; its callback does not run.
    auto cancel(StreamId stream) -> void;
    /// Responds to a request (server role). No effect if the stream has ended or has a response.
    auto respond(StreamId stream, HttpResponse response) -> void;
    /// Sends a PING frame; @p onAcknowledged runs when the peer acknowledges it.
    auto ping(std::function<void()> onAcknowledged) -> void;
    /// Closes the socket, fails all open requests with @p reason and runs onClosed.
    auto close(const Error &reason) -> void;
    [[nodiscard]] auto isClosed() const -> bool;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace figlanding
