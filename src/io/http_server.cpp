#include "io/http_server.h"

#include "io/http_server_impl.h"

#include <poll.h>
#include <sys/epoll.h>

#include <exception>
#include <utility>

namespace figlanding {

namespace {

/// Memory per connection beyond the largest request header, for response headers.
constexpr std::size_t responseHeaderMemory = 16UL * 1024;
constexpr std::size_t memoryIncrement = 8UL * 1024;
/// A rejected request may send this multiple of maxBodyBytes before its connection is closed.
constexpr std::size_t discardFactor = 4;
constexpr int statusInternal = 500;
/// A shorter response fits into the buffers of a connection, or is read soon after them.
constexpr std::size_t longResponseBytes = 64UL * 1024;

} // namespace

auto HttpServer::Impl::start() -> Result<void>
{
    BOOST_LEAF_AUTO(listener, listenOn(options.address));
    port = localPort(listener.get());
    const auto flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    daemon = MHD_start_daemon(
        static_cast<unsigned>(flags), 0, nullptr, nullptr, &Impl::onAccess, this,
        MHD_OPTION_LISTEN_SOCKET, listener.get(), MHD_OPTION_URI_LOG_CALLBACK, &Impl::createRequest,
        this, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
        &Impl::onConnection, this, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(options.idleTimeout.count()),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.maxHeaderBytes + responseHeaderMemory,
        MHD_OPTION_CONNECTION_MEMORY_INCREMENT, memoryIncrement, MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_END);
    if (daemon == nullptr) {
        return fail(ErrorCode::IoFailure,
                    "cannot start an HTTP server on port " + std::to_string(port));
    }
    static_cast<void>(listener.release()); // the daemon closes it
    const auto daemonFd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    daemonWatcher = std::make_unique<IoWatcher>(loop, daemonFd, [this](IoEvents) { runDaemon(); });
    daemonWatcher->watch(IoEvents::Read);
    hangUpEpoll = FileDescriptor(::epoll_create1(EPOLL_CLOEXEC));
    hangUpWatcher =
        std::make_unique<IoWatcher>(loop, hangUpEpoll.get(), [this](IoEvents) { handleHangUps(); });
    hangUpWatcher->watch(IoEvents::Read);
    return {};
}

HttpServer::Impl::~Impl()
{
    if (daemon == nullptr) {
        return;
    }
    for (const auto &[id, connection] : connections) {
        auto *request = connection->current;
        if (request != nullptr && request->suspended && !request->response && !request->abandoned) {
            request->abandoned = true;
            MHD_resume_connection(request->handle);
        }
        // libmicrohttpd ends all connections normally before it frees their responses.
        if (request != nullptr && request->response
            && request->response->bodyEnd == BodyEnd::ConnectionEnd) {
            resetNow(connection->fd);
        }
    }
    daemonWatcher.reset();
    MHD_stop_daemon(daemon);
}

auto HttpServer::Impl::runDaemon() -> void
{
    runScheduled = false;
    for (const auto id : std::exchange(closedBeforeSuspend, {})) {
        onHangUp(id);
    }
    MHD_run(daemon);
    if (draining && !quiesced) {
        quiesced = true;
        acceptBacklog();
        FileDescriptor(MHD_quiesce_daemon(daemon)).close();
    }
    if (runScheduled) {
        return; // a handler resumed a connection during MHD_run(); the timer is already started
    }
    MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
    if (MHD_get_timeout(daemon, &timeoutMs) != MHD_YES) {
        return;
    }
    if (timeoutMs == 0 || !timer.active()) {
        timer.startOnce(milliseconds(timeoutMs));
    }
}

/// Accepts the connections that wait in the listen backlog; closing the listener would reset them.
/// libmicrohttpd accepts only some of them in each run.
auto HttpServer::Impl::acceptBacklog() -> void
{
    constexpr auto maxRuns = 128; // at the connection limit no run accepts any
    const auto *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    auto listener = pollfd{.fd = info->listen_fd, .events = POLLIN, .revents = 0};
    for (auto runs = 0; runs<maxRuns && ::poll(&listener, 1, 0)> 0; ++runs) {
        MHD_run(daemon);
    }
}

/// Schedules runDaemon(). Without an internal thread, libmicrohttpd does not signal its epoll
/// descriptor when a connection is resumed.
auto HttpServer::Impl::scheduleRun() -> void
{
    if (!std::exchange(runScheduled, true)) {
        timer.startOnce(Duration::zero());
    }
}

auto HttpServer::Impl::drain() -> void
{
    draining = true;
    scheduleRun(); // deferred, as a handler may call drain() during MHD_run()
}

auto HttpServer::Impl::createRequest(void *self, const char *uri, MHD_Connection *handle) -> void *
{
    const auto *info = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto request = std::make_unique<ReceivedRequest>();
    request->connection = static_cast<ClientConnection *>(info->socket_context);
    request->connection->current = request.get();
    request->connection->lingers = false;
    request->handle = handle;
    request->heldBytes = static_cast<Impl *>(self)->options.heldBytes;
    request->onResumed = [server = static_cast<Impl *>(self)] { server->scheduleRun(); };
    request->message.target = uri;
    return request.release();
}

auto HttpServer::Impl::onAccess(void *self, MHD_Connection *, const char *, const char *method,
                                const char *, const char *data, std::size_t *size, void **context)
    -> MHD_Result
{
    auto &server = *static_cast<Impl *>(self);
    auto &request = *static_cast<ReceivedRequest *>(*context);
    if (!request.started) {
        request.message.method = method;
        return server.begin(request);
    }
    if (*size > 0) {
        return server.receive(request, data, size);
    }
    return request.dispatched ? server.sendStoredResponse(request) : server.dispatch(request);
}

auto HttpServer::Impl::begin(ReceivedRequest &request) -> MHD_Result
{
    request.started = true;
    collectHeaders(request);
    request.connection->endedByClient = request.message.headers.find("connection") == "close";
    request.rejection = validateHeader(request, options);
    if (!request.rejection && !reserve(request)) {
        reject(request, noMemoryResponse(request.message, options));
    }
    if (!request.rejection) {
        expectBody(request);
        return MHD_YES;
    }
    request.rejection->headers.set("connection", "close");
    return sendRejection(request);
}

// Frees what was received of a request that the handler will not get.
auto HttpServer::Impl::reject(ReceivedRequest &request, HttpResponse response) -> void
{
    discardBody(request);
    request.rejection = std::move(response);
}

auto HttpServer::Impl::receive(ReceivedRequest &request, const char *data, std::size_t *size)
    -> MHD_Result
{
    const auto count = std::exchange(*size, 0);
    request.lastReceivedAt = loop.now();
    if (!request.rejection && request.message.body.size() + count > options.maxBodyBytes) {
        reject(request, bodyTooLargeResponse(options.maxBodyBytes));
    }
    if (!request.rejection && !appendToBody(request, {data, count}, options.maxBodyBytes)) {
        reject(request, noMemoryResponse(request.message, options));
    }
    if (!request.rejection) {
        return MHD_YES;
    }
    // MHD accepts no response before the end of the body, and closing the connection early could
    // lose the response. So the rest of the body is read and discarded, up to a limit.
    request.discardedBytes += count;
    return request.discardedBytes <= discardFactor * options.maxBodyBytes ? MHD_YES : MHD_NO;
}

auto HttpServer::Impl::dispatch(ReceivedRequest &request) -> MHD_Result
{
    request.awaitsBody = false;
    if (request.rejection) {
        return sendRejection(request);
    }
    request.dispatched = true;
    ++pending;
    callHandler(request);
    if (request.response || request.abandoned) {
        return sendStoredResponse(request);
    }
    suspend(request);
    return MHD_YES;
}

auto HttpServer::Impl::callHandler(ReceivedRequest &request) -> void
{
    auto exchange = std::make_shared<HttpExchange::Impl>(request);
    request.exchange = exchange.get();
    try {
        handler(HttpExchange(exchange));
    } catch (const std::exception &error) {
        // Exceptions must not propagate through the C code of libmicrohttpd.
        exchange->respond(problemResponse(statusInternal, "Internal error", error.what()));
    }
}

auto HttpServer::Impl::sendStoredResponse(ReceivedRequest &request) -> MHD_Result
{
    if (!request.response) {
        return MHD_NO; // aborted or abandoned: closes the connection
    }
    if (closing || draining) {
        request.response->headers.set("connection", "close");
    }
    return sendTo(request, *request.response, std::move(request.responseShare));
}

auto HttpServer::Impl::sendRejection(ReceivedRequest &request) -> MHD_Result
{
    return sendTo(request, *request.rejection, holdBody(*request.rejection, options.heldBytes));
}

auto HttpServer::Impl::sendTo(ReceivedRequest &request, HttpResponse &response, HeldShare share)
    -> MHD_Result
{
    const auto isLong = response.body.size() > longResponseBytes;
    request.endsConnection = request.connection->endedByClient || endsConnection(response);
    const auto queued = sendResponse(request.handle, response, std::move(share));
    if (queued == MHD_YES && isLong) {
        expectReading(request);
    }
    return queued;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

HttpServer::~HttpServer() = default;

auto HttpServer::listen(EventLoop &loop, HttpServerOptions options, Handler handler)
    -> Result<std::unique_ptr<HttpServer>>
{
    auto impl = std::make_unique<Impl>(loop, std::move(options), std::move(handler));
    BOOST_LEAF_CHECK(impl->start());
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

auto HttpServer::port() const -> std::uint16_t
{
    return m_impl->port;
}

auto HttpServer::closeAfterResponses() -> void
{
    m_impl->closing = true;
}

auto HttpServer::drain() -> void
{
    m_impl->drain();
}

auto HttpServer::pending() const -> std::size_t
{
    return m_impl->pending;
}

auto HttpServer::lingering() const -> std::size_t
{
    return m_impl->lingering.size();
}

auto HttpServer::stalledConnections() const -> std::uint64_t
{
    return m_impl->stalledConnections;
}

} // namespace figlanding
