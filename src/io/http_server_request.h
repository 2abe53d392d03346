#pragma once

#include "io/http_server.h"

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

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
    TimePoint idleSince; ///< begin of the time without a request, unless there is one
    bool endedByClient = false; ///< the client has said that its last request is the last one
    /// Its last response ends it, and was written: what the client sends now is to be discarded.
    bool lingers = false;
    bool stallTimeoutSet = false; ///< libmicrohttpd has the stall timeout instead of the idle one
    HeldShare fixedCost;
    ReceivedRequest *current = nullptr; ///< null between requests
};

/// A request, from its request line until libmicrohttpd reports it as completed.
struct ReceivedRequest
{
    ClientConnection *connection = nullptr;
    MHD_Connection *handle = nullptr;
    HeldBytes *heldBytes = nullptr; ///< account of the server; may be null
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
    bool endsConnection = false; ///< the connection is closed after the response
    bool awaitsBody = false; ///< the client owes the rest of the body
    bool writesLongBody = false; ///< the client has yet to read a long response
    TimePoint phaseBegan; ///< when awaitsBody or writesLongBody was set
    TimePoint lastReceivedAt; ///< last part of the body
    HeldShare headerShare;
    HeldShare bodyShare;
    HeldShare responseShare; ///< of the handler's response, until it is queued
};

/// State shared by the copies of one HttpExchange.
struct HttpExchange::Impl
{
    /// Takes the message and its shares out of a received request.
    explicit Impl(ReceivedRequest &received);
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;
    /// Sends a 500 response if the request has no response yet.
    ~Impl();

    /// Stores the response and resumes the connection; only the first call has an effect.
    auto respond(HttpResponse response) -> void;
    /// Ends the request without a response and closes its connection.
    auto abort() -> void;

    HttpRequest request;
    HeldShare headerShare;
    HeldShare bodyShare;
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
/// Charges the header, and the body if its length is stated, and makes room for the body.
/// @return whether they fit
[[nodiscard]] auto reserve(ReceivedRequest &request) -> bool;
/// Frees and releases what was received of the body.
auto discardBody(ReceivedRequest &request) -> void;
/// Adds a part of the body. The part of a body without a stated length is charged as it arrives.
/// @return false if it does not fit; the body is then discarded and its bytes are released
[[nodiscard]] auto appendToBody(ReceivedRequest &request, std::string_view part,
                                std::size_t maxBodyBytes) -> bool;
/// Returns the response to a request that does not fit into the account.
[[nodiscard]] auto noMemoryResponse(const HttpRequest &request, const HttpServerOptions &options)
    -> HttpResponse;
/// Returns the response to a request whose body exceeds @p maxBodyBytes.
[[nodiscard]] auto bodyTooLargeResponse(std::size_t maxBodyBytes) -> HttpResponse;
/// Returns whether the connection is closed after a response, whatever the request says.
[[nodiscard]] auto endsConnection(const HttpResponse &response) -> bool;
/// Resumes a suspended request, so that libmicrohttpd processes it again.
auto resume(ReceivedRequest &request) -> void;
/// Queues a response with libmicrohttpd.
/// @param response its body is moved out and held until its last byte was written
/// @param share of the body, as holdBody() returns it
/// @return MHD_NO if it can't be queued, which closes the connection
[[nodiscard]] auto sendResponse(MHD_Connection *handle, HttpResponse &response, HeldShare share)
    -> MHD_Result;
/// Charges the body of a response, which is held whether or not it fits: its bytes were let in
/// while they arrived.
/// @param heldBytes may be null
[[nodiscard]] auto holdBody(const HttpResponse &response, HeldBytes *heldBytes) -> HeldShare;

} // namespace figlanding
