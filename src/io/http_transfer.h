#pragma once

#include "io/connection_registry.h"
#include "io/http_client.h"

#include <curl/curl.h>

#include <string>
#include <vector>

/// @file
/// One libcurl easy handle that HttpClient uses for one call after another.

namespace figlanding {

/// Sends one request at a time and gathers the answer.
///
/// libcurl by itself sends a request again when a reused connection was closed without an
/// answer. The transfer lets it do so only while no byte of the request has left.
class HttpTransfer
{
public:
    /// @param registry open connections of the client; outlives the transfer
    /// @param options settings of the client
    HttpTransfer(ConnectionRegistry &registry, const HttpClientOptions &options);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    auto operator=(const HttpTransfer &) -> HttpTransfer & = delete;

    /// Sets the handle up for a call.
    auto prepare(HttpClient::CallId id, const SocketAddress &address, HttpRequest request,
                 const HttpCallOptions &options, HttpClient::Callback callback) -> void;
    /// Sets the handle up for a second attempt, on a new connection and with the time left.
    auto prepareFreshAttempt() -> void;
    /// Returns whether the chosen connection was found unusable before anything was sent.
    [[nodiscard]] auto needsFreshAttempt() const -> bool;
    /// Returns how the call ended. Call it once per call.
    /// @param code libcurl's result
    [[nodiscard]] auto finish(CURLcode code) -> HttpOutcome;

    [[nodiscard]] auto handle() const -> CURL *
    {
        return m_easy;
    }
    [[nodiscard]] auto id() const -> HttpClient::CallId
    {
        return m_id;
    }
    [[nodiscard]] auto takeCallback() -> HttpClient::Callback;

private:
    auto setFixedOptions() -> void;
    auto setMethodAndBody() -> void;
    auto setHeaders() -> void;
    auto setTimeouts(Duration left) -> void;
    auto admitConnection(ConnectionEnds ends) -> bool;
    auto appendHeaderLine(std::string_view line) -> bool;
    auto appendBody(std::string_view data) -> bool;
    [[nodiscard]] auto bytesSent() const -> curl_off_t;
    [[nodiscard]] auto framingFault() const -> std::string;
    [[nodiscard]] auto errorOf(CURLcode code) const -> Error;

    static auto onPreRequest(void *self, char *remoteIp, char *localIp, int remotePort,
                             int localPort) -> int;
    static auto onHeader(char *data, size_t size, size_t count, void *self) -> size_t;
    static auto onBody(char *data, size_t size, size_t count, void *self) -> size_t;
    static auto onDebug(CURL *easy, curl_infotype type, char *data, size_t size, void *self) -> int;
    static auto onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address)
        -> curl_socket_t;
    static auto onSocketOptions(void *self, curl_socket_t fd, curlsocktype purpose) -> int;

    ConnectionRegistry &m_registry;
    std::size_t m_maxBodyBytes;
    milliseconds m_tcpUserTimeout;
    bool m_acceptsCloseDelimited;
    CURL *m_easy;

    HttpClient::CallId m_id = 0;
    HttpClient::Callback m_callback;
    HttpCallOptions m_options;
    TimePoint m_start;
    HttpRequest m_request;
    std::vector<std::string> m_headerLines;
    std::vector<curl_slist> m_headerNodes;

    HttpResponse m_response;
    std::uint64_t m_bodyBytesReceived = 0; ///< before chunks are decoded
    int m_openedSocket = -1; ///< socket that this call opened
    int m_socket = -1; ///< socket that carries the request
    bool m_newConnection = false;
    bool m_headersComplete = false;
    bool m_staleConnection = false;
    bool m_resendRefused = false;
    bool m_bodyTooLarge = false;
    bool m_foreignAnswer = false;
};

} // namespace figlanding
