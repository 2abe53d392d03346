#pragma once

#include "figlanding/error.h"
#include "figlanding/held_bytes.h"
#include "figlanding/http_message.h"
#include "figlanding/objects.h"
#include "io/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// @file
/// HTTP/1.1 server: libmicrohttpd driven by an EventLoop.

namespace figlanding {

/// Handle to one request that awaits its response. Copies refer to the same request. If the last
/// copy is destroyed without a response, the client gets a 500 response.
class HttpExchange
{
public:
    struct Impl;
    explicit HttpExchange(std::shared_ptr<Impl> impl);

    /// Returns the request, including its complete body.
    [[nodiscard]] auto request() const -> const HttpRequest &;
    /// Moves the body out of the request. Its bytes stay charged until the last copy of this handle
    /// is destroyed, so the body must not outlive them.
    [[nodiscard]] auto takeBody() -> std::string;
    /// Sends the response. May be called after the handler has returned, from any callback of the
    /// loop. Only the first call has an effect. A body that ends with its connection is sent
    /// without a length, and the connection is closed after it.
    auto respond(HttpResponse response) -> void;
    /// Closes the client's connection without a response; no effect after respond().
    auto abort() -> void;
    /// Sets a callback that runs if the client disconnects before a response was sent. It runs at
    /// most once, and not after respond() or abort(). A client that shuts down only its sending
    /// side (half-close) counts as disconnected.
    auto onAbandoned(std::function<void()> callback) -> void;

private:
    std::shared_ptr<Impl> m_impl;
};

/// Options of a server.
struct HttpServerOptions
{
    SocketAddress address; ///< port 0 selects a free port
    std::size_t maxHeaderBytes = 16UL * 1024; ///< a larger header gets status 431
    std::size_t maxBodyBytes = 1024UL * 1024; ///< a larger body gets status 413
    /// At this number, the connection that has been without a request for longest is closed. Those
    /// that linger after their last response count, and make room first.
    unsigned maxConnections = 4096;
    seconds idleTimeout{60};
    /// A connection whose caller sends nothing of a body that it owes, or reads nothing of a long
    /// response, is closed after this.
    seconds stallTimeout{15};
    /// Account for what the server holds; null: without limit. Must outlive the server.
    HeldBytes *heldBytes = nullptr;
    /// Returns the response to a request that does not fit into the account. It was not passed to
    /// the handler. Empty: status 503 with Retry-After.
    std::function<HttpResponse(const HttpRequest &)> noMemoryResponse = {};
};

/// Accepts connections and passes complete requests to a handler.
///
/// After a response that ends its connection, what the client has sent behind the request is read
/// and discarded, so that the response is not lost to a reset.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange)>;

    /// Starts listening.
    /// @param loop must outlive the server
    /// @param handler runs for each complete request; a 500 response is sent if it throws
    /// @return the server, or IoFailure if the address can't be bound
    [[nodiscard]] static auto listen(EventLoop &loop, HttpServerOptions options, Handler handler)
        -> Result<std::unique_ptr<HttpServer>>;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Returns the local port, also if a free one was selected.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Sends "connection: close" with every response from now on; new connections are still
    /// accepted.
    auto closeAfterResponses() -> void;
    /// Stops accepting connections and sends "connection: close" with every response from now on.
    auto drain() -> void;
    /// Returns the number of requests passed to the handler and not completed yet.
    [[nodiscard]] auto pending() const -> std::size_t;
    /// Returns the number of connections that were ended after their last response and whose
    /// clients have not ended them yet. Each is closed after two seconds at the latest.
    [[nodiscard]] auto lingering() const -> std::size_t;
    /// Returns the number of connections that were closed because their callers stalled, or took
    /// too long while memory was short.
    [[nodiscard]] auto stalledConnections() const -> std::uint64_t;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace figlanding
