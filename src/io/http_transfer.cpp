#include "io/http_transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace figlanding {

namespace {

constexpr long keepAliveIdleSeconds = 5;
constexpr long keepAliveIntervalSeconds = 2;

// Returns whether the client generates the header itself; the request's own value is ignored.
auto isFramingHeader(std::string_view name) -> bool
{
    constexpr auto names = std::to_array<std::string_view>(
        {"connection", "content-length", "expect", "keep-alive", "transfer-encoding"});
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto toMilliseconds(Duration duration) -> long
{
    const auto count = std::chrono::ceil<milliseconds>(duration).count();
    return std::max<long>(1, static_cast<long>(count));
}

} // namespace

HttpTransfer::HttpTransfer(ConnectionRegistry &registry, ResponseBudget &budget,
                           const HttpClientOptions &options)
    : m_registry(registry)
    , m_tcpUserTimeout(options.tcpUserTimeout)
    , m_easy(curl_easy_init())
    , m_response(budget, options)
{
    if (m_easy == nullptr) {
        throw std::runtime_error("curl_easy_init failed");
    }
    setFixedOptions();
}

HttpTransfer::~HttpTransfer()
{
    curl_easy_cleanup(m_easy);
}

auto HttpTransfer::setFixedOptions() -> void
{
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
    curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &HttpTransfer::onPreRequest);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETFUNCTION, &HttpTransfer::onOpenSocket);
    curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, &HttpTransfer::onSocketOptions);
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTDATA, this);
    // The only callback that can end a call while libcurl decodes chunk framing.
    curl_easy_setopt(m_easy, CURLOPT_XFERINFOFUNCTION, &HttpTransfer::onProgress);
    curl_easy_setopt(m_easy, CURLOPT_XFERINFODATA, this);
    curl_easy_setopt(m_easy, CURLOPT_NOPROGRESS, 0L);
    // libcurl silently drops body bytes beyond Content-Length. Only the debug callback sees them.
    curl_easy_setopt(m_easy, CURLOPT_DEBUGFUNCTION, &HttpTransfer::onDebug);
    curl_easy_setopt(m_easy, CURLOPT_DEBUGDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_VERBOSE, 1L);
}

auto HttpTransfer::prepare(HttpClient::CallId id, const SocketAddress &address, HttpRequest request,
                           const HttpCallOptions &options, HttpClient::Callback callback) -> void
{
    m_id = id;
    m_callback = std::move(callback);
    m_options = options;
    m_start = MonotonicClock::now();
    m_lastByteAt = m_start;
    m_request = std::move(request);
    m_response.begin(m_request.method, m_options);
    m_openedSocket = -1;
    m_socket = -1;
    m_newConnection = m_connectionDeclined = m_resendBlocked = false;

    const auto url = "http://" + toText(address) + "/";
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_REQUEST_TARGET, m_request.target.c_str());
    setMethodAndBody();
    setHeaders();
    setTimeouts(longestTime());
    // Declining a connection closes it, so one that is known to be unsuitable is not tried.
    m_repeated = !correlationId().empty() && m_registry.hasCarried(address, correlationId());
    const auto freshConnection = options.freshConnection || m_repeated;
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, freshConnection ? 1L : 0L);
    const auto maxAge = std::chrono::ceil<seconds>(options.maxIdleAge).count();
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, std::max<long>(1, maxAge));
}

auto HttpTransfer::prepareRetry() -> void
{
    m_connectionDeclined = false;
    m_socket = -1;
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    setTimeouts(longestTime() - (MonotonicClock::now() - m_start));
}

auto HttpTransfer::shouldRetry() const -> bool
{
    return m_connectionDeclined && bytesSent() == 0
        && MonotonicClock::now() - m_start < m_options.timeout;
}

auto HttpTransfer::setTimeouts(Duration timeLeft) -> void
{
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, toMilliseconds(timeLeft));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(m_options.connectTimeout));
}

auto HttpTransfer::setMethodAndBody() -> void
{
    const auto &method = m_request.method;
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 0L);
    curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
    if (method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    } else if (!body().empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        const auto size = static_cast<curl_off_t>(body().size());
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, size);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, body().data());
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

auto HttpTransfer::body() const -> const std::string &
{
    return m_options.sharedBody ? *m_options.sharedBody : m_request.body;
}

auto HttpTransfer::setHeaders() -> void
{
    m_headerLines.clear();
    for (const auto &[name, value] : m_request.headers.fields()) {
        if (!isFramingHeader(name)) {
            m_headerLines.push_back(name);
            m_headerLines.back() += value.empty() ? ";" : ": " + value;
        }
    }
    // An entry "Name:" prevents libcurl from adding its default header of that name.
    m_headerLines.emplace_back("Expect:");
    for (const auto *name : {"accept", "content-type"}) {
        if (!m_request.headers.find(name)) {
            m_headerLines.emplace_back(name).push_back(':');
        }
    }
    m_headerNodes.resize(m_headerLines.size());
    for (std::size_t i = 0; i < m_headerLines.size(); ++i) {
        auto *next = i + 1 < m_headerLines.size() ? &m_headerNodes[i + 1] : nullptr;
        m_headerNodes[i] = curl_slist{.data = m_headerLines[i].data(), .next = next};
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerNodes.data());
}

auto HttpTransfer::dueAt() const -> TimePoint
{
    const auto due = m_start + m_options.timeout;
    const auto &slow = m_options.slowResponse;
    return slow && m_lastByteAt > m_start ? std::max(due, m_lastByteAt + slow->pause) : due;
}

auto HttpTransfer::longestTime() const -> milliseconds
{
    return m_options.slowResponse ? m_options.slowResponse->total : m_options.timeout;
}

auto HttpTransfer::recordProgress() -> void
{
    if (m_options.slowResponse) {
        m_lastByteAt = MonotonicClock::now();
    }
    if (m_options.onProgress) {
        m_options.onProgress();
    }
}

auto HttpTransfer::takeCallback() -> HttpClient::Callback
{
    return std::exchange(m_callback, nullptr);
}

auto HttpTransfer::discardMessages() -> void
{
    m_response.discard();
    std::string().swap(m_request.body); // an assignment keeps the storage
    m_options.sharedBody.reset();
}

auto HttpTransfer::bytesSent() const -> curl_off_t
{
    auto requestBytes = 0L;
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    return requestBytes;
}

// Returns whether the request may be sent on the connection that libcurl chose. Called immediately
// before libcurl writes the request. Aborts a resend and the use of a declined connection.
auto HttpTransfer::admitConnection(ConnectionEndpoints endpoints) -> bool
{
    if (bytesSent() > 0) {
        m_resendBlocked = true;
        return false;
    }
    if (m_openedSocket >= 0) {
        m_newConnection = true;
        const auto socket = std::exchange(m_openedSocket, -1);
        m_registry.add(std::move(endpoints), socket);
        startRequest(socket);
        return true;
    }
    const auto socket = m_registry.find(endpoints);
    m_connectionDeclined = !mayUse(socket);
    if (!m_connectionDeclined) {
        m_registry.setBusy(socket);
        startRequest(socket);
    }
    return !m_connectionDeclined;
}

auto HttpTransfer::mayUse(int socket) const -> bool
{
    const auto id = correlationId();
    return m_registry.reusable(socket, MonotonicClock::now(), m_options.maxIdleAge)
        && (id.empty() || m_registry.distinguishes(socket, id));
}

auto HttpTransfer::startRequest(int socket) -> void
{
    m_socket = socket;
    m_registry.setUnanswered(socket, true);
    if (const auto id = correlationId(); !id.empty()) {
        m_registry.addRequest(socket, id);
    }
}

// Processes one line of a response header or trailer. Returns false if the call must end.
auto HttpTransfer::appendHeaderLine(std::string_view line) -> bool
{
    if (!m_response.countHeaderBytes(line.size())) {
        return false;
    }
    m_registry.setUnanswered(m_socket, false);
    return m_response.addHeaderLine(line);
}

// Returns the id of the request, or an empty text if its responses have none.
auto HttpTransfer::correlationId() const -> std::string_view
{
    const auto &header = m_options.correlationHeader;
    return header ? std::string_view(header->second) : std::string_view();
}

auto HttpTransfer::toError(CURLcode code) const -> Error
{
    const auto sent = std::to_string(bytesSent()) + " bytes sent";
    if (const auto &error = m_response.error()) {
        return {.code = error->code, .detail = error->detail + ", " + sent};
    }
    if (m_resendBlocked) {
        return {.code = ErrorCode::ConnectionFailed,
                .detail = "reused connection closed without an answer, " + sent};
    }
    const auto detail = std::string(curl_easy_strerror(code)) + ", " + sent;
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return {.code = ErrorCode::Timeout, .detail = detail};
    case CURLE_OUT_OF_MEMORY: // libcurl's code for a header line above its limit
        return {.code = ErrorCode::LimitExceeded, .detail = detail};
    case CURLE_PARTIAL_FILE:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_HTTP2:
    case CURLE_BAD_CONTENT_ENCODING:
        return {.code = ErrorCode::ProtocolViolation, .detail = detail};
    default:
        return {.code = ErrorCode::ConnectionFailed, .detail = detail};
    }
}

auto HttpTransfer::finish(CURLcode code) -> HttpOutcome
{
    const auto now = MonotonicClock::now();
    if (code == CURLE_OK) {
        m_registry.setIdle(m_socket, now);
    }
    auto outcome = HttpOutcome{};
    outcome.elapsed = now - m_start;
    outcome.newConnection = m_newConnection;
    outcome.repeated = m_repeated;
    if (code != CURLE_OK) {
        outcome.error = toError(code);
        outcome.verdict = bytesSent() > 0 ? Verdict::MayHaveRun : Verdict::NotRun;
        return outcome;
    }
    if (auto fault = m_response.framingError(); !fault.empty()) {
        outcome.error = Error{.code = ErrorCode::ProtocolViolation, .detail = std::move(fault)};
        outcome.verdict = Verdict::MayHaveRun;
        return outcome;
    }
    outcome.verdict = Verdict::Ran;
    outcome.attributed = m_newConnection || m_response.isCorrelated();
    outcome.response = m_response.take();
    return outcome;
}

auto HttpTransfer::onPreRequest(void *self, char *remoteIp, char *, int remotePort, int localPort)
    -> int
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    auto endpoints =
        ConnectionEndpoints{.remoteIp = remoteIp, .remotePort = remotePort, .localPort = localPort};
    return transfer->admitConnection(std::move(endpoints)) ? CURL_PREREQFUNC_OK
                                                           : CURL_PREREQFUNC_ABORT;
}

auto HttpTransfer::onHeader(char *data, size_t size, size_t count, void *self) -> size_t
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    transfer->recordProgress();
    return transfer->appendHeaderLine({data, size * count}) ? size * count : 0;
}

auto HttpTransfer::onBody(char *data, size_t size, size_t count, void *self) -> size_t
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    transfer->recordProgress();
    return transfer->m_response.addBody({data, size * count}) ? size * count : 0;
}

auto HttpTransfer::onProgress(void *self, curl_off_t, curl_off_t, curl_off_t, curl_off_t) -> int
{
    // Unless decoding failed, libcurl has decoded all bytes it has read when it calls this.
    auto *transfer = static_cast<HttpTransfer *>(self);
    return transfer->m_response.checkChunkFraming() ? 0 : 1;
}

auto HttpTransfer::onDebug(CURL *, curl_infotype type, char *, size_t size, void *self) -> int
{
    if (type == CURLINFO_DATA_IN) {
        static_cast<HttpTransfer *>(self)->m_response.countBodyBytes(size);
    }
    return 0;
}

auto HttpTransfer::onOpenSocket(void *self, curlsocktype, curl_sockaddr *address) -> curl_socket_t
{
    const auto type = address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK;
    const auto fd = ::socket(address->family, type, address->protocol);
    static_cast<HttpTransfer *>(self)->m_openedSocket = fd;
    return fd < 0 ? CURL_SOCKET_BAD : fd;
}

auto HttpTransfer::onSocketOptions(void *self, curl_socket_t fd, curlsocktype) -> int
{
    const auto timeout = static_cast<HttpTransfer *>(self)->m_tcpUserTimeout;
    const auto value = static_cast<unsigned>(timeout.count());
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
    return CURL_SOCKOPT_OK;
}

} // namespace figlanding
