#pragma once

#include "io/http_server.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

/// @file
/// Test double for the platform's append-only log service.

namespace figlanding::standins {

/// Configuration of a log stand-in.
struct LogStandinOptions
{
    SocketAddress address{"127.0.0.1", 0};
    std::size_t keepRecords = 0; ///< largest number of retained records; 0: unlimited
    milliseconds keepAge{0}; ///< largest age of retained records; 0: unlimited
};

/// Faults set by POST /standin/fault. The quoted names are the fields of the JSON object.
struct LogFaults
{
    bool unavailable = false; ///< "down": responds with 503
    bool withholdResponses = false; ///< "silent": accepts requests, never responds
    bool staleTail = false; ///< "stale_tail": hides records appended since this was set
    milliseconds responseDelay{0}; ///< "slow_ms": delays every response
    int dropAppendResponses = 0; ///< "lose_answers": next appends stored without a response
    int malformedResponses = 0; ///< "rubbish_answers": next responses sent as invalid JSON
    double appendsPerSecond = 0.0; ///< "appends_per_second": rate limit; 0: unlimited
    bool holdAppends = false; ///< "hold_appends": stores appends only when this ends
};

/// Keeps records in memory and serves the log's HTTP API.
class LogStandin
{
public:
    LogStandin(EventLoop &loop, LogStandinOptions options);
    ~LogStandin();
    LogStandin(const LogStandin &) = delete;
    auto operator=(const LogStandin &) -> LogStandin & = delete;

    /// Starts listening.
    /// @return the error if the listening socket can't be opened
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Replaces the faults in force. Held appends are stored, in the order of their arrival, if the
    /// new faults do not hold them. GET /standin/held-appends tells how many there are.
    auto setFaults(LogFaults faults) -> void;
    /// Returns the offset of the newest record, or 0 if none was appended.
    [[nodiscard]] auto tail() const -> std::uint64_t;

private:
    struct Entry
    {
        std::int64_t appendedUnixMs = 0;
        std::string record; ///< JSON text
    };
    /// A long-polling read.
    struct WaitingRead
    {
        HttpExchange exchange;
        std::uint64_t from = 0;
        std::size_t max = 0;
        TimePoint until;
    };

    auto handle(HttpExchange exchange) -> void;
    auto handleFault(HttpExchange &exchange) -> void;
    auto handleAppend(HttpExchange &exchange) -> void;
    auto holdAppend(const HttpExchange &exchange) -> void;
    auto releaseHeldAppends() -> void;
    auto handleRead(HttpExchange &exchange) -> void;
    auto respond(HttpExchange exchange, HttpResponse response) -> void;
    auto takeAppendToken() -> bool;
    auto removeExpired() -> void;
    auto completeWaitingReads() -> void;
    [[nodiscard]] auto visibleTail() const -> std::uint64_t;
    [[nodiscard]] auto readResponse(std::uint64_t from, std::size_t max) const -> HttpResponse;

    EventLoop &m_loop;
    LogStandinOptions m_options;
    LogFaults m_faults;
    std::unique_ptr<HttpServer> m_server;
    Timer m_timer;
    std::deque<Entry> m_entries;
    std::uint64_t m_firstOffset = 1;
    std::uint64_t m_frozenTail = 0;
    double m_appendTokens = 0.0;
    TimePoint m_tokensUpdatedAt;
    std::list<WaitingRead> m_waitingReads;
    std::list<HttpExchange> m_withheldExchanges;
    std::list<HttpExchange> m_heldAppends; ///< only those whose caller still waits
    std::list<std::unique_ptr<Timer>> m_delayedResponses;
};

} // namespace figlanding::standins
