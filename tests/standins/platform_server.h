#pragma once

#include "figlanding/gateway/key_ownership.h"
#include "io/http_server.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Stand-in for a backend server of the platform: owns keys by grants, runs requests in slots.

namespace figlanding::standins {

/// Settings and faults of a server.
struct PlatformServerOptions
{
    std::string id;
    bool keyed = false;
    milliseconds work{20};
    bool sheds = false; ///< answers 503 without running the request
    bool fails = false; ///< runs the request and answers 500
    bool crossesAnswers = false; ///< answers with the id of another request
};

/// Runs requests and records them.
class PlatformServer
{
public:
    PlatformServer(EventLoop &loop, PlatformServerOptions options);
    PlatformServer(const PlatformServer &) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;

    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto address() const -> SocketAddress;
    /// Returns the server's announcement.
    [[nodiscard]] auto entry(const std::string &service, const std::string &zone, int sequence,
                             bool draining = false) const -> std::string;
    auto options() -> PlatformServerOptions &
    {
        return m_options;
    }
    /// Returns how often each request id ran.
    [[nodiscard]] auto runs() const -> const std::map<std::string, int> &
    {
        return m_runs;
    }
    /// Returns whether the server holds a key now.
    [[nodiscard]] auto holds(ShardKey key) const -> bool;
    /// Returns the largest number of requests that ran at once.
    [[nodiscard]] auto mostRunning() const -> int
    {
        return m_mostRunning;
    }
    /// Returns the headers of the last request that ran.
    [[nodiscard]] auto lastHeaders() const -> const HttpHeaders &
    {
        return m_lastHeaders;
    }

private:
    struct Hold
    {
        KeyRange keys;
        std::uint64_t fence = 0;
        TimePoint until;
    };

    auto handle(HttpExchange exchange) -> void;
    auto grant(HttpExchange &exchange) -> void;
    auto release(HttpExchange &exchange) -> void;
    auto run(HttpExchange exchange) -> void;

    EventLoop &m_loop;
    PlatformServerOptions m_options;
    std::unique_ptr<HttpServer> m_server;
    std::vector<Hold> m_holds;
    std::uint64_t m_highestFence = 0;
    std::map<std::string, int> m_runs;
    std::list<std::unique_ptr<Timer>> m_timers;
    int m_running = 0;
    int m_mostRunning = 0;
    HttpHeaders m_lastHeaders;
};

} // namespace figlanding::standins
