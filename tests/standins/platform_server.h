#pragma once

#include "figlanding/gateway/key_ownership.h"
#include "io/http_server.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Stand-in for a backend server of the platform: owns key ranges under leases and runs requests.

namespace figlanding::standins {

/// Settings and injected faults of a server.
struct PlatformServerOptions
{
    std::string id;
    bool keyed = false; ///< rejects requests for keys that the server does not own
    milliseconds work{20}; ///< duration of a request
    std::uint32_t slots = 2; ///< requests that it says it runs at once
    bool sheds = false; ///< responds with 503 without running the request
    bool fails = false; ///< runs the request and responds with failureStatus
    int failureStatus = 500;
    bool returnsWrongRequestId = false; ///< responds with the id of another request
    std::string retryAfter; ///< seconds, in the responses with which it sheds; empty: none
    bool leaving = false; ///< says in its responses that it is leaving
    std::string limit; ///< requests per second that it states in its responses; empty: none
    std::size_t maxBodyBytes = 1024UL * 1024; ///< of requests; a larger one gets status 413
    /// Length of the body that a request for a path with "/large" gets. A path with "/unframed"
    /// gets a response whose body ends with the connection.
    std::size_t largeResponseBytes = 0;
};

/// Runs requests on a loopback port and records them.
class PlatformServer
{
public:
    PlatformServer(EventLoop &loop, PlatformServerOptions options);
    PlatformServer(const PlatformServer &) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;

    /// Starts to listen.
    /// @return the error of the listening socket, if there is one
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto address() const -> SocketAddress;
    /// Returns the server's announcement as JSON, as written to the store.
    [[nodiscard]] auto entry(const std::string &service, const std::string &zone, int sequence,
                             bool draining = false) const -> std::string;
    auto options() -> PlatformServerOptions &
    {
        return m_options;
    }
    /// Returns the number of executions by request id.
    [[nodiscard]] auto runs() const -> const std::map<std::string, int> &
    {
        return m_runs;
    }
    /// Returns whether the server has an unexpired lease on a key.
    [[nodiscard]] auto holds(ShardKey key) const -> bool;
    /// Returns the largest number of requests that ran at once.
    [[nodiscard]] auto peakConcurrency() const -> int
    {
        return m_peakConcurrency;
    }
    /// Returns when requests arrived that it ran or rejected because it sheds.
    [[nodiscard]] auto arrivals() const -> const std::vector<TimePoint> &
    {
        return m_arrivals;
    }
    /// Returns the headers of the request that started last.
    [[nodiscard]] auto lastHeaders() const -> const HttpHeaders &
    {
        return m_lastHeaders;
    }

private:
    struct Lease
    {
        KeyRange keys;
        std::uint64_t fence = 0;
        TimePoint until;
    };

    auto handle(HttpExchange exchange) -> void;
    auto grant(HttpExchange &exchange) -> void;
    auto release(HttpExchange &exchange) -> void;
    auto run(HttpExchange exchange) -> void;
    auto addTerms(HttpResponse &response) const -> void;

    EventLoop &m_loop;
    PlatformServerOptions m_options;
    std::unique_ptr<HttpServer> m_server;
    std::vector<Lease> m_leases;
    std::uint64_t m_highestFence = 0;
    std::map<std::string, int> m_runs;
    std::vector<TimePoint> m_arrivals;
    std::list<std::unique_ptr<Timer>> m_timers;
    int m_running = 0;
    int m_peakConcurrency = 0;
    HttpHeaders m_lastHeaders;
};

} // namespace figlanding::standins
