#pragma once

#include "io/http_server.h"
#include "standins/execution_history.h"
#include "standins/fault_proxy.h"
#include "standins/fence_table.h"

#include <nlohmann/json_fwd.hpp>

#include <list>
#include <memory>
#include <string>

/// @file
/// Test double for a backend server: executes requests over HTTP and injects faults on demand.

namespace figlanding::standins {

/// Configuration of a backend server stand-in.
struct BackendServerOptions
{
    std::string id = "server";
    SocketAddress address{"127.0.0.1", 0};
    std::size_t slots = 2; ///< largest number of concurrent requests
    milliseconds serviceTime{5};
    milliseconds coldTime{0}; ///< duration of the cold (warm-up) phase after the start
    std::size_t coldSlots = 1; ///< concurrent requests allowed while cold
    bool checksFence = false; ///< refuses requests without a valid lease and grant
    microseconds connectionCost{1000}; ///< time for which each new connection blocks the server
    microseconds probeCost{0}; ///< time for which each health request blocks the server
    milliseconds healthCacheTime{0}; ///< how long a health response is served from a cache
    std::string historyFile; ///< path of the execution history; empty writes no file
};

/// Faults set by POST /standin/fault. The quoted names are the fields of the JSON object.
struct BackendServerFaults
{
    double serviceTimeFactor = 1.0; ///< "straggler": multiplies the service time
    bool holdRequests = false; ///< "silent": holds requests, runs them once this is cleared
    int dropResponses = 0; ///< "drop_answers": next requests that run but get no response
    int swapResponses = 0; ///< "crossed_answers": next pairs of responses that are swapped
    std::string healthPatch; ///< "health": JSON merge patch for health responses
};

/// Executes requests according to the backend server contract of ARCHITECTURE.md.
/// The request header "standin-crash: true" terminates the process, "standin-service-ms" sets the
/// service time, and "standin-body-bytes" pads the response body. POST /standin/fault also accepts
/// "draining", "cold_ms", and "proxy", the faults of the server's connections (see ProxyFaults).
/// GET /standin/history returns the execution history.
class BackendServerStandin
{
public:
    BackendServerStandin(EventLoop &loop, BackendServerOptions options);
    ~BackendServerStandin();
    BackendServerStandin(const BackendServerStandin &) = delete;
    auto operator=(const BackendServerStandin &) -> BackendServerStandin & = delete;

    /// Starts listening.
    /// @return the error if the history file or the listening socket can't be opened
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct RunningRequest;
    /// A response held back until it can be swapped with the next one.
    struct HeldResponse
    {
        HttpExchange exchange;
        HttpResponse response;
    };

    auto handle(HttpExchange exchange) -> void;
    auto handleControlRequest(const std::string &path, HttpExchange &exchange) -> void;
    auto handleFault(HttpExchange &exchange) -> void;
    auto applyFaults(const nlohmann::json &json) -> void;
    auto handleCancel(const nlohmann::json &json, HttpExchange &exchange) -> void;
    auto handleLease(const nlohmann::json &json, HttpExchange &exchange) -> void;
    auto health() -> HttpResponse;
    [[nodiscard]] auto isCold() const -> bool;

    auto run(HttpExchange exchange) -> void;
    auto refusalFor(const HttpRequest &request) -> std::optional<HttpResponse>;
    auto begin(const HttpRequest &request) -> std::uint64_t;
    auto finish(std::list<std::unique_ptr<RunningRequest>>::iterator position) -> void;
    [[nodiscard]] auto outcomeOf(const RunningRequest &running) const -> std::string_view;
    [[nodiscard]] auto isAllowed(const HttpRequest &request) const -> bool;
    /// Returns for how long the server is cold, and since when a health response has told so.
    [[nodiscard]] auto describeCold() const -> std::string;
    auto sendResponse(const RunningRequest &running) -> void;
    [[nodiscard]] auto responseTo(const RunningRequest &running) const -> HttpResponse;

    EventLoop &m_loop;
    BackendServerOptions m_options;
    std::string m_bootId;
    ExecutionHistory m_history;
    FenceTable m_fences;
    BackendServerFaults m_faults;
    std::unique_ptr<HttpServer> m_server;
    FaultProxy m_proxy;
    std::string m_pendingProxyFaults;
    Timer m_proxyTimer;
    std::list<std::unique_ptr<RunningRequest>> m_running;
    std::vector<HttpExchange> m_heldRequests;
    std::optional<HeldResponse> m_responseToSwap;
    std::string m_cachedHealth;
    TimePoint m_healthCachedAt;
    TimePoint m_coldSince;
    TimePoint m_coldUntil;
    std::optional<TimePoint> m_coldReportedAt; ///< first health response of the present cold phase
    bool m_draining = false;
};

} // namespace figlanding::standins
