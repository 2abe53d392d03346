#pragma once

#include "io/http_server.h"

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

/// @file
/// State of a request within the HTTP server, from its request line to its response.

namespace figlanding {

struct ReceivedRequest;

/// An accepted connection of a client.
struct ClientConnection
{
    std::uint64_t id = 0;
    int fd = -1;
    bool peerClosed = false; ///< the client closed the connection or its sending side
    ReceivedRequest *current = nullptr; ///< null between requests
};

/// A request, from its request line until libmicrohttpd reports it as completed.
struct ReceivedRequest
{
    ClientConnection *connection = nullptr;
    MHD_Connection *handle = nullptr;
    HttpRequest message;
    std::size_t headerBytes = 0;
    std::size_t discardedBytes = 0; ///< of the body of a rejected request
    std::optional<HttpResponse> rejection; ///< error response to an invalid or too large request
    std::optional<HttpResponse> response; ///< the handler's response
    std::function<void()> onResumed; ///< must schedule a run of libmicrohttpd
    HttpExchange::Impl *exchange = nullptr; ///< null if no handle refers to the request
    bool started = false; ///< the header was processed
    bool dispatched = false; ///< the handler was called
    bool suspended = false; ///< libmicrohttpd does not process the connection
    bool abandoned = false; ///< ends without a response: aborted, or the client disconnected
};

/// State shared by the copies of one HttpExchange.
struct HttpExchange::Impl
{
    explicit Impl(HttpRequest message);
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;
    /// Sends a 500 response if the request has no response yet.
    ~Impl();

    /// Stores the response and resumes the connection; only the first call has an effect.
    auto respond(HttpResponse response) -> void;
    /// Ends the request without a response and closes its connection.
    auto abort() -> void;

    HttpRequest request;
    ReceivedRequest *pending = nullptr; ///< null once the request has ended
    std::function<void()> onAbandoned;
};

/// Copies the header fields from libmicrohttpd and sums up the size of the header.
auto collectHeaders(ReceivedRequest &request) -> void;
/// Checks the size of the header and the framing of the body. Ambiguous framing is rejected
/// because it enables request smuggling.
/// @return the error response, or nothing if the header is valid
[[nodiscard]] auto validateHeader(const ReceivedRequest &request, const HttpServerOptions &options)
    -> std::optional<HttpResponse>;
/// Returns the response to a request whose body exceeds @p maxBodyBytes.
[[nodiscard]] auto bodyTooLargeResponse(std::size_t maxBodyBytes) -> HttpResponse;
/// Resumes a suspended request, so that libmicrohttpd processes it again.
auto resume(ReceivedRequest &request) -> void;
/// Queues a response with libmicrohttpd.
/// @return MHD_NO if it can't be queued, which closes the connection
[[nodiscard]] auto sendResponse(MHD_Connection *handle, const HttpResponse &response) -> MHD_Result;

} // namespace figlanding
