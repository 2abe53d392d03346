#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "figlanding/held_bytes.h"
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
/// Asynchronous HTTP/1.1 client: libcurl's multi interface driven by an EventLoop.

namespace figlanding {

/// How long a call goes on past its timeout while its response is arriving.
struct SlowResponse
{
    milliseconds pause{}; ///< longest time without a byte of the response
    milliseconds total{}; ///< longest time for the whole call

    auto operator==(const SlowResponse &) const -> bool = default;
};

/// Options of one call.
struct HttpCallOptions
{
    milliseconds timeout{1000}; ///< for the whole call, connecting and retry included
    std::optional<SlowResponse> slowResponse = std::nullopt; ///< empty: the timeout is final
    /// Called when a part of the response has arrived; must not use the client. May be empty.
    std::function<void()> onProgress = {};
    milliseconds connectTimeout{500};
    bool freshConnection = false; ///< opens a new connection instead of reusing one
    milliseconds maxIdleAge{10000}; ///< a connection idle for longer is not reused
    /// Name and expected value of a response header that correlates the response with its request.
    /// A response without the header is accepted. One with another value belongs to another
    /// request: the call fails with ProtocolViolation and the connection is closed. A call does not
    /// use a connection that has carried a request with the same value, where a copy of an earlier
    /// response could not be told from its own. An empty value correlates nothing.
    std::optional<std::pair<std::string, std::string>> correlationHeader = std::nullopt;
    /// Returns whether the head of a final response can be one to this request, for protocols whose
    /// responses carry no id. Others fail the call as above. Must not use the client; may be empty.
    std::function<bool(const HttpResponse &)> canAnswer = {};
    /// Sent in place of the request's own body; shared, so that no attempt needs a copy. May be
    /// null.
    std::shared_ptr<const std::string> sharedBody = {};
};

/// Result of one call.
struct HttpOutcome
{
    /// NotRun only if no byte of the request was sent; MayHaveRun if some or all of it was sent
    /// but no complete response arrived; Ran if a complete response arrived.
    Verdict verdict = Verdict::NotRun;
    HttpResponse response; ///< valid if verdict is Ran
    Error error; ///< valid if verdict is not Ran
    Duration elapsed{}; ///< from call() to the result
    bool newConnection = false; ///< the request was sent on a connection opened by this call
    /// A request with the same value of the correlation header was sent to the address before, and
    /// a connection that carried it was open when this call began.
    bool repeated = false;
    /// The response can only be the one to this request: either it is the first one of its
    /// connection, or it has the value of the correlation header, which no earlier request on that
    /// connection had.
    bool attributed = false;
};

/// Options of a client.
struct HttpClientOptions
{
    std::size_t maxConnectionsPerHost = 120;
    std::size_t maxIdleConnections = 1024;
    std::size_t maxConnections = 0; ///< to all hosts; further calls wait for one; 0: no limit
    /// Limit for all header and trailer lines of a call, interim responses included; more fails the
    /// call. libcurl limits a single line to 100 KiB before this limit sees it. Servers that answer
    /// properly stay within 16 KiB, as the heads of requests do.
    std::size_t maxHeadBytes = std::size_t{64} * 1024;
    /// A larger body fails the call. The largest answers known have a few MB.
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;
    /// Limit for the bodies of all unfinished responses together, shared as ResponseBudget states.
    /// The smallest VMs have 160 MB.
    std::size_t maxBufferedBytes = std::size_t{48} * 1024 * 1024;
    /// Account that the bodies of unfinished responses are charged to in addition; null: none. Must
    /// outlive the client.
    HeldBytes *heldBytes = nullptr;
    milliseconds tcpUserTimeout{5000}; ///< TCP_USER_TIMEOUT: closes if data stays unacknowledged
    /// Accepts responses whose body is delimited by the end of the connection. A connection reset
    /// still fails the call.
    bool acceptsCloseDelimited = false;
    /// Called with the server's address when an idle connection has input that belongs to no call.
    /// The connection is not used again. Must not use the client; may be empty.
    std::function<void(const SocketAddress &)> onUnexpectedInput = {};
};

/// Sends requests. The connection of a call that ends before a byte of the response, by timeout, by
/// cancel() or with the client, is reset. The system then stops delivering the request; after a
/// normal close, a server that was cut off may get it long after the call has ended.
///
/// A response whose body is shorter or longer than its framing states is a failure.
/// A response that exceeds a limit fails the call with LimitExceeded and closes the connection; so
/// does one whose chunk framing is far larger than its content.
class HttpClient
{
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(HttpOutcome)>;

    /// @param loop must outlive the client
    HttpClient(EventLoop &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request.
    /// @param callback runs once, after call() has returned; it may destroy the client
    /// @return the id for cancel()
    auto call(const SocketAddress &address, HttpRequest request, const HttpCallOptions &options,
              Callback callback) -> CallId;
    /// Cancels a call without running its callback; closes its connection.
    auto cancel(CallId id) -> void;
    /// Returns the number of calls that have not ended.
    [[nodiscard]] auto pending() const -> std::size_t;
    /// Returns the bytes held for bodies of unfinished responses.
    [[nodiscard]] auto bufferedBytes() const -> std::size_t;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Sends one request and blocks until the call ends, on an event loop of its own. For tools and
/// tests.
[[nodiscard]] auto callAndWait(const SocketAddress &address, HttpRequest request,
                               const HttpCallOptions &options) -> HttpOutcome;

} // namespace figlanding
