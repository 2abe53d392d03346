#include "io/http_server_impl.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace figlanding {

namespace {

/// Charged for each connection: what libmicrohttpd uses of its buffer, and the state kept here.
constexpr std::size_t bytesPerConnection = 16UL * 1024;
constexpr seconds stallCheckInterval{1};

auto setTimeout(MHD_Connection *handle, seconds timeout) -> void
{
    MHD_set_connection_option(handle, MHD_CONNECTION_OPTION_TIMEOUT,
                              static_cast<unsigned>(timeout.count()));
}

auto hasInput(int fd) -> bool
{
    auto byte = char{};
    return ::recv(fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Returns whether a request that has ended got a response that ends its connection.
auto isLastOfConnection(const ReceivedRequest &request, MHD_RequestTerminationCode code) -> bool
{
    if (request.dispatched || request.rejection) {
        return request.endsConnection && code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    }
    // libmicrohttpd itself has responded to a malformed request, and counts that as an error.
    return code == MHD_REQUEST_TERMINATED_WITH_ERROR;
}

} // namespace

auto HttpServer::Impl::suspend(ReceivedRequest &request) -> void
{
    request.suspended = true;
    MHD_suspend_connection(request.handle);
    if (request.connection->peerClosed) {
        // Deferred, as MHD cannot resume the connection within this callback.
        closedBeforeSuspend.push_back(request.connection->id);
        scheduleRun();
    }
}

auto HttpServer::Impl::abandon(ReceivedRequest &request) -> void
{
    if (!request.suspended || request.response || request.abandoned) {
        return;
    }
    request.abandoned = true;
    resume(request);
    if (request.exchange != nullptr && request.exchange->onAbandoned) {
        const auto callback = std::exchange(request.exchange->onAbandoned, nullptr);
        callback();
    }
}

auto HttpServer::Impl::handleHangUps() -> void
{
    constexpr int maxEvents = 64;
    auto events = std::array<epoll_event, maxEvents>{};
    const auto count = ::epoll_wait(hangUpEpoll.get(), events.data(), maxEvents, 0);
    for (auto index = 0; index < count; ++index) {
        onHangUp(events.at(static_cast<std::size_t>(index)).data.u64);
    }
}

auto HttpServer::Impl::onHangUp(std::uint64_t connectionId) -> void
{
    const auto found = connections.find(connectionId);
    if (found == connections.end()) {
        return;
    }
    auto &connection = *found->second;
    connection.peerClosed = true;
    if (connection.current != nullptr && connection.current->suspended) {
        abandon(*connection.current);
    } else {
        // MHD misses an end of stream that arrives together with data: it stops at a short read,
        // and its edge-triggered epoll reports no further event. shutdown() triggers one.
        ::shutdown(connection.fd, SHUT_RD);
    }
}

auto HttpServer::Impl::onCompleted(void *self, MHD_Connection *handle, void **context,
                                   MHD_RequestTerminationCode code) -> void
{
    const auto request = std::unique_ptr<ReceivedRequest>(static_cast<ReceivedRequest *>(*context));
    *context = nullptr;
    if (request == nullptr) {
        return;
    }
    auto &connection = *request->connection;
    connection.current = nullptr;
    connection.idleSince = static_cast<Impl *>(self)->loop.now();
    if (connection.stallTimeoutSet && code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        connection.stallTimeoutSet = false;
        setTimeout(handle, static_cast<Impl *>(self)->options.idleTimeout);
    }
    connection.lingers = isLastOfConnection(*request, code);
    if (request->exchange != nullptr) {
        request->exchange->pending = nullptr;
    }
    if (request->dispatched) {
        --static_cast<Impl *>(self)->pending;
    }
}

auto HttpServer::Impl::onConnection(void *self, MHD_Connection *handle, void **context,
                                    MHD_ConnectionNotificationCode code) -> void
{
    auto &server = *static_cast<Impl *>(self);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        server.removeConnection(*static_cast<ClientConnection *>(*context));
    } else {
        *context = server.addConnection(handle);
    }
}

auto HttpServer::Impl::addConnection(MHD_Connection *handle) -> ClientConnection *
{
    const auto id = nextConnectionId++;
    auto &connection = *connections.emplace(id, std::make_unique<ClientConnection>()).first->second;
    connection.id = id;
    connection.idleSince = loop.now();
    connection.fd = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    auto event = epoll_event{.events = EPOLLRDHUP | EPOLLET, .data = {.u64 = id}};
    ::epoll_ctl(hangUpEpoll.get(), EPOLL_CTL_ADD, connection.fd, &event);
    connection.fixedCost = HeldShare(options.heldBytes, HeldKind::Connection);
    if (!connection.fixedCost.growTo(bytesPerConnection)) {
        close(connection);
    }
    while (connections.size() + lingering.size() > options.maxConnections
           && lingering.closeOldest()) { }
    if (connections.size() >= options.maxConnections) {
        closeLongestIdle(id);
    }
    return &connection;
}

// libmicrohttpd closes its descriptor after this. A duplicate keeps the connection open.
auto HttpServer::Impl::removeConnection(const ClientConnection &connection) -> void
{
    ::epoll_ctl(hangUpEpoll.get(), EPOLL_CTL_DEL, connection.fd, nullptr);
    // libmicrohttpd accepts the next connection in a later run, for which no event calls.
    if (connections.size() >= options.maxConnections) {
        scheduleRun();
    }
    // A client that keeps its word sends nothing more.
    const auto lingers =
        connection.lingers && (!connection.endedByClient || hasInput(connection.fd));
    auto socket = lingers ? duplicate(connection.fd) : FileDescriptor();
    connections.erase(connection.id);
    if (socket.get() >= 0) {
        lingering.add(std::move(socket));
    }
}

// Makes room for the next connection, but not at the cost of the newest one, whose request may be
// on its way. A request counts from the end of its header on, so that a header that never ends is
// no reason to keep a connection.
auto HttpServer::Impl::closeLongestIdle(std::uint64_t newestId) -> void
{
    const ClientConnection *longest = nullptr;
    for (const auto &[id, connection] : connections) {
        const auto *request = connection->current;
        const auto idle = id != newestId && (request == nullptr || !request->started);
        if (idle && (longest == nullptr || connection->idleSince < longest->idleSince)) {
            longest = connection.get();
        }
    }
    if (longest != nullptr) {
        close(*longest);
    }
}

// Notes that the rest of a body is due from now on.
auto HttpServer::Impl::expectBody(ReceivedRequest &request) -> void
{
    request.awaitsBody = true;
    request.phaseBegan = loop.now();
    request.lastReceivedAt = request.phaseBegan;
    watchForStalls();
}

// Notes that a long response is to be read from now on. libmicrohttpd sees whether any of it is.
auto HttpServer::Impl::expectReading(ReceivedRequest &request) -> void
{
    request.awaitsBody = false;
    request.writesLongBody = true;
    request.phaseBegan = loop.now();
    request.connection->stallTimeoutSet = true;
    setTimeout(request.handle, options.stallTimeout);
    watchForStalls();
}

auto HttpServer::Impl::watchForStalls() -> void
{
    if (!stallTimer.active()) {
        stallTimer.startOnce(stallCheckInterval);
    }
}

// Closes connections whose callers stall in a body. If memory is short, also closes the one that
// has been in a body or a long response for longest, however it progresses.
auto HttpServer::Impl::closeStalled() -> void
{
    const auto due = loop.now() - options.stallTimeout;
    const ClientConnection *longest = nullptr;
    auto stalled = std::vector<const ClientConnection *>{};
    auto watched = false;
    for (const auto &[id, connection] : connections) {
        const auto *request = connection->current;
        if (request == nullptr || !(request->awaitsBody || request->writesLongBody)) {
            continue;
        }
        watched = true;
        if (request->awaitsBody && request->lastReceivedAt <= due) {
            stalled.push_back(connection.get());
        } else if (request->phaseBegan <= due
                   && (longest == nullptr || request->phaseBegan < longest->current->phaseBegan)) {
            longest = connection.get();
        }
    }
    if (takeMemoryShortage() && stalled.empty() && longest != nullptr) {
        stalled.push_back(longest);
    }
    for (const auto *connection : stalled) {
        ++stalledConnections;
        close(*connection);
    }
    if (watched) {
        watchForStalls();
    }
}

// Returns whether bytes did not fit into the account since the last call.
auto HttpServer::Impl::takeMemoryShortage() -> bool
{
    if (options.heldBytes == nullptr) {
        return false;
    }
    auto refusals = std::uint64_t{0};
    for (const auto kind :
         {HeldKind::RequestHeader, HeldKind::RequestBody, HeldKind::ServerResponse}) {
        refusals += options.heldBytes->refusals(kind);
    }
    return std::exchange(knownRefusals, refusals) != refusals;
}

// Makes libmicrohttpd close the connection, which it finds at its end.
auto HttpServer::Impl::close(const ClientConnection &connection) -> void
{
    ::shutdown(connection.fd, SHUT_RDWR);
}

} // namespace figlanding
