#pragma once

#include "io/http_server.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// @file
/// An HTTP server on a thread of its own, for tests whose clients block.

namespace figlanding::testing {

/// Runs an HttpServer until it is destroyed.
class ServerThread
{
public:
    using Handler = std::function<void(EventLoop &loop, HttpServer &server, HttpExchange exchange)>;

    /// Starts the server on a free loopback port.
    /// @param handler runs on the server's thread for each request
    ServerThread(HttpServerOptions options, Handler handler);
    ServerThread(const ServerThread &) = delete;
    auto operator=(const ServerThread &) -> ServerThread & = delete;
    ~ServerThread();

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }
    /// Returns the number of requests that the handler got.
    [[nodiscard]] auto handled() const -> int
    {
        return m_handled;
    }
    /// Returns the number of connections that linger, as of a few milliseconds ago.
    [[nodiscard]] auto lingering() const -> std::size_t
    {
        return m_lingering;
    }
    /// Runs @p work on the server's thread, within a few milliseconds.
    auto run(std::function<void(HttpServer &server)> work) -> void;

private:
    auto serve() -> void;
    auto runQueued(HttpServer &server) -> void;

    HttpServerOptions m_options;
    Handler m_handler;
    std::atomic<std::uint16_t> m_port{0};
    std::atomic<int> m_handled{0};
    std::atomic<std::size_t> m_lingering{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::function<void(HttpServer &server)>> m_queued;
    std::thread m_thread;
};

} // namespace figlanding::testing
