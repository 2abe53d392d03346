#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/http_message.h"
#include "figlanding/objects.h"
#include "figlanding/verdict.h"
#include "io/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

/// @file
/// An HTTP/1.1 client (libcurl multi) in an event loop.

namespace figlanding {

/// How one request is sent.
struct HttpCallOptions
{
    milliseconds timeout{1000};
    milliseconds connectTimeout{500};
    bool freshConnection = false; ///< never reuses a connection
    milliseconds maxIdleAge{10000}; ///< reuses only connections used within this time
    /// A header that must have this value if the answer has it. Any other answer is a failure,
    /// and its connection, which is out of step, is closed.
    std::optional<std::pair<std::string, std::string>> matchingHeader = std::nullopt;
};

/// The end of one call.
struct HttpOutcome
{
    /// NotRun only if no byte of the request left; MayHaveRun if a part or the whole was sent
    /// without a whole answer; Ran if a whole answer arrived.
    Verdict verdict = Verdict::NotRun;
    HttpResponse response; ///< valid if verdict is Ran
    Error error; ///< valid if verdict is not Ran
    bool nobodyListens = false; ///< the address refused the connection
    Duration elapsed{}; ///< from the call to its end
    bool newConnection = false;
};

/// Settings of a client.
struct HttpClientOptions
{
    std::size_t maxConnectionsPerHost = 120;
    std::size_t maxIdleConnections = 1024;
    std::size_t maxBodyBytes = std::size_t{64} * 1024 * 1024; ///< a larger answer fails the call
    milliseconds tcpUserTimeout{5000}; ///< unacknowledged data closes the connection
    /// Accepts answers whose end is the end of the connection; a reset is a failure all the same.
    bool acceptsCloseDelimited = false;
};

/// Sends requests. Answers that are cut short or longer than announced are failures.
class HttpClient
{
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(HttpOutcome)>;

    HttpClient(EventLoop &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request; @p callback runs once, never before call() returns.
    auto call(const SocketAddress &address, HttpRequest request, const HttpCallOptions &options,
              Callback callback) -> CallId;
    /// Ends a call without running its callback; closes its connection.
    auto cancel(CallId id) -> void;
    /// Returns the number of calls that have not ended.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Sends one request and waits for the answer on a loop of its own. For tools and tests.
[[nodiscard]] auto callAndWait(const SocketAddress &address, HttpRequest request,
                               const HttpCallOptions &options) -> HttpOutcome;

} // namespace figlanding
