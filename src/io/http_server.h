#pragma once

#include "figlanding/error.h"
#include "figlanding/http_message.h"
#include "figlanding/objects.h"
#include "io/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>

/// @file
/// An HTTP/1.1 server (libmicrohttpd) in an event loop.

namespace figlanding {

/// Handle of one request that waits for its answer. Copies refer to the same request.
class HttpExchange
{
public:
    struct Impl;
    explicit HttpExchange(std::shared_ptr<Impl> impl);

    /// The request, with its whole body.
    [[nodiscard]] auto request() const -> const HttpRequest &;
    /// Sends the answer; may be called later than the handler, from any loop callback. Only
    /// the first call has an effect.
    auto respond(HttpResponse response) -> void;
    /// Closes the caller's connection without an answer, if there was none yet.
    auto abort() -> void;
    /// Sets a callback for the caller's disconnection before an answer was sent. It runs at
    /// most once, and not after respond() or abort(). A caller that shuts down only its sending
    /// side counts as disconnected.
    auto onAbandoned(std::function<void()> callback) -> void;

private:
    std::shared_ptr<Impl> m_impl;
};

/// Settings of a server.
struct HttpServerOptions
{
    SocketAddress address; ///< port 0 takes a free port
    std::size_t maxHeaderBytes = 16UL * 1024; ///< larger requests get 431
    std::size_t maxBodyBytes = 1024UL * 1024; ///< larger requests get 413
    unsigned maxConnections = 4096;
    seconds idleTimeout{60};
};

/// Accepts connections and hands over requests.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange)>;

    /// Starts to listen.
    /// @return the server, or IoFailure if the address can't be bound
    [[nodiscard]] static auto listen(EventLoop &loop, HttpServerOptions options, Handler handler)
        -> Result<std::unique_ptr<HttpServer>>;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Returns the bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Lets each connection end with its next answer; new ones are still accepted.
    auto closeAfterAnswers() -> void;
    /// Stops accepting connections; open ones get "connection: close" with their next answer.
    auto drain() -> void;
    /// Returns the number of requests that wait for an answer.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace figlanding
