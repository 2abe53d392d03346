#pragma once

#include "figlanding/verdict.h"
#include "io/http_client.h"
#include "io/load_plan.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Open-loop load generator: sends the requests of a load plan at their scheduled times and
/// measures the responses.

namespace figlanding {

/// Options of a LoadRunner.
struct LoadRunnerOptions
{
    std::vector<SocketAddress> targets; ///< entry VMs, used round-robin
    seconds length{10}; ///< duration of the run
    milliseconds timeout{5000}; ///< timeout of one request
    std::size_t maxPending = 10000; ///< requests due while so many are in flight are not sent
};

/// A request and its outcome.
struct LoadResult
{
    PlannedRequest planned;
    HttpRequest request;
    /// Derived from the connection's state if there was no response, else taken from the verdict
    /// header of the response; MayHaveRun if a response has none.
    Verdict verdict = Verdict::NotRun;
    int status = 0; ///< HTTP status; 0 if there was no response
    HttpResponse response;
    TimePoint sentAt;
    TimePoint endedAt;
    /// Measured from the scheduled send time, not from sentAt: a generator that falls behind would
    /// otherwise under-report latency (coordinated omission).
    Duration latency{};
};

/// Histogram of latencies with logarithmic bins from 10 microseconds to 100 seconds. Values above
/// 50 seconds are recorded as 50 seconds.
class LatencyHistogram
{
public:
    LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    auto operator=(LatencyHistogram &&) noexcept -> LatencyHistogram &;
    ~LatencyHistogram();

    /// Records one latency.
    auto add(Duration latency) -> void;
    /// Returns the number of recorded latencies.
    [[nodiscard]] auto count() const -> std::uint64_t;
    /// Returns an upper estimate of a quantile.
    /// @param quantile from 0 to 1
    /// @return upper edge of the bin that contains the quantile; 0 if nothing was recorded
    [[nodiscard]] auto quantile(double quantile) const -> Duration;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Aggregated results of a load run.
struct LoadReport
{
    std::uint64_t planned = 0; ///< requests that came due, sent or not
    std::uint64_t notSent = 0; ///< not sent because maxPending requests were in flight
    std::map<std::string, std::uint64_t> verdicts; ///< number by the verdict's wire name
    std::map<int, std::uint64_t> statuses; ///< number by HTTP status; 0: no response
    LatencyHistogram latency; ///< of responses with status 2xx
    std::map<std::string, LatencyHistogram> routeLatency; ///< the same by route name
    /// Number of finished requests and of 2xx responses by team name; "(open)" counts the requests
    /// without a credential.
    std::map<std::string, std::array<std::uint64_t, 2>> teams;
};

/// Sends the requests of one LoadPlan. An object runs once.
class LoadRunner
{
public:
    using ResultHandler = std::function<void(const LoadResult &)>;

    /// @param loop event loop that sends the requests and runs the callbacks
    /// @param plan requests to send
    LoadRunner(EventLoop &loop, LoadPlan plan, LoadRunnerOptions options);

    /// Starts the run.
    /// @param onResult called for each finished request; may be empty
    /// @param onEnd called once, after the last request has finished
    auto start(ResultHandler onResult, std::function<void()> onEnd) -> void;
    /// Returns the results so far; they are complete when onEnd is called.
    [[nodiscard]] auto report() const -> const LoadReport &
    {
        return m_report;
    }

private:
    /// Sends every request whose scheduled time has come and arms the timer for the next one.
    auto sendDueRequests() -> void;
    auto send(const PlannedRequest &planned) -> void;
    auto onOutcome(LoadResult result, HttpOutcome outcome) -> void;
    [[nodiscard]] auto createRequest(const PlannedRequest &planned) const -> HttpRequest;
    auto finishIfDone() -> void;

    EventLoop &m_loop;
    LoadPlan m_plan;
    LoadRunnerOptions m_options;
    HttpClient m_client;
    Timer m_timer;
    PlannedRequest m_next; ///< next request to send
    TimePoint m_start;
    std::size_t m_pending = 0; ///< requests in flight
    bool m_allSent = false;
    ResultHandler m_onResult;
    std::function<void()> m_onEnd;
    LoadReport m_report;
};

/// Returns the report as human-readable text.
[[nodiscard]] auto toText(const LoadReport &report) -> std::string;
/// Returns the report as JSON.
[[nodiscard]] auto toJsonText(const LoadReport &report) -> std::string;

} // namespace figlanding
