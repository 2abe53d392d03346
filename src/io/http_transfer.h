#pragma once

#include "io/connection_registry.h"
#include "io/http_client.h"
#include "io/received_response.h"
#include "io/response_budget.h"

#include <curl/curl.h>

#include <string>
#include <string_view>
#include <vector>

/// @file
/// A libcurl easy handle that HttpClient reuses for successive calls.

namespace figlanding {

/// Sends one request at a time and collects the response, which ReceivedResponse checks.
///
/// libcurl resends a request on its own when a reused connection is closed without a response.
/// HttpTransfer prevents that once a byte of the request has been sent, since the server may have
/// run it already.
class HttpTransfer
{
public:
    /// @param registry open connections of the client; must outlive the transfer
    /// @param budget memory for the responses of the client; must outlive the transfer
    /// @param options options of the client
    HttpTransfer(ConnectionRegistry &registry, ResponseBudget &budget,
                 const HttpClientOptions &options);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    auto operator=(const HttpTransfer &) -> HttpTransfer & = delete;

    /// Configures the handle for a new call.
    auto prepare(HttpClient::CallId id, const SocketAddress &address, HttpRequest request,
                 const HttpCallOptions &options, HttpClient::Callback callback) -> void;
    /// Configures the handle to retry on a new connection within the remaining timeout.
    auto prepareRetry() -> void;
    /// Returns whether the call can be retried: the reused connection was declined before any byte
    /// was sent, and the timeout has not expired.
    [[nodiscard]] auto shouldRetry() const -> bool;
    /// Returns the outcome of the call, moving the response out. Must be called once per call.
    /// @param code result code of libcurl
    [[nodiscard]] auto finish(CURLcode code) -> HttpOutcome;

    [[nodiscard]] auto handle() const -> CURL *
    {
        return m_easy;
    }
    [[nodiscard]] auto id() const -> HttpClient::CallId
    {
        return m_id;
    }
    /// Returns when the call times out if no further byte of its response arrives.
    [[nodiscard]] auto dueAt() const -> TimePoint;
    [[nodiscard]] auto takeCallback() -> HttpClient::Callback;
    /// Frees the request and what was received and not moved out.
    auto discardMessages() -> void;

private:
    auto setFixedOptions() -> void;
    auto setMethodAndBody() -> void;
    [[nodiscard]] auto body() const -> const std::string &;
    auto setHeaders() -> void;
    auto setTimeouts(Duration timeLeft) -> void;
    [[nodiscard]] auto longestTime() const -> milliseconds;
    auto recordProgress() -> void;
    auto admitConnection(ConnectionEndpoints endpoints) -> bool;
    [[nodiscard]] auto mayUse(int socket) const -> bool;
    auto startRequest(int socket) -> void;
    auto appendHeaderLine(std::string_view line) -> bool;
    [[nodiscard]] auto bytesSent() const -> curl_off_t;
    [[nodiscard]] auto correlationId() const -> std::string_view;
    [[nodiscard]] auto toError(CURLcode code) const -> Error;

    static auto onPreRequest(void *self, char *remoteIp, char *localIp, int remotePort,
                             int localPort) -> int;
    static auto onHeader(char *data, size_t size, size_t count, void *self) -> size_t;
    static auto onBody(char *data, size_t size, size_t count, void *self) -> size_t;
    static auto onProgress(void *self, curl_off_t downloadSize, curl_off_t downloaded,
                           curl_off_t uploadSize, curl_off_t uploaded) -> int;
    static auto onDebug(CURL *easy, curl_infotype type, char *data, size_t size, void *self) -> int;
    static auto onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address)
        -> curl_socket_t;
    static auto onSocketOptions(void *self, curl_socket_t fd, curlsocktype purpose) -> int;

    ConnectionRegistry &m_registry;
    milliseconds m_tcpUserTimeout;
    CURL *m_easy;

    HttpClient::CallId m_id = 0;
    HttpClient::Callback m_callback;
    HttpCallOptions m_options;
    TimePoint m_start;
    TimePoint m_lastByteAt; ///< of the response; the start of the call until one arrives
    HttpRequest m_request;
    std::vector<std::string> m_headerLines;
    std::vector<curl_slist> m_headerNodes;

    ReceivedResponse m_response;
    int m_openedSocket = -1; ///< opened by this call and not registered yet
    int m_socket = -1; ///< carries the request
    bool m_repeated = false; ///< an open connection to the server has carried the id
    bool m_newConnection = false;
    bool m_connectionDeclined = false; ///< the reused connection must not carry the request
    bool m_resendBlocked = false; ///< libcurl's automatic resend was prevented
};

} // namespace figlanding
