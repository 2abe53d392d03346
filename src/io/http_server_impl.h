#pragma once

#include "io/http_server.h"
#include "io/http_server_request.h"
#include "io/lingering_connections.h"
#include "io/socket.h"

#include <unordered_map>
#include <vector>

/// @file
/// State and steps of the HTTP server. Requests are in http_server.cpp, connections in
/// http_server_connections.cpp.

namespace figlanding {

struct HttpServer::Impl
{
    Impl(EventLoop &eventLoop, HttpServerOptions serverOptions, Handler requestHandler)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , timer(eventLoop, [this] { runDaemon(); })
        , stallTimer(eventLoop, [this] { closeStalled(); })
        , lingering(eventLoop)
    { }
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;
    ~Impl();

    auto start() -> Result<void>;
    auto runDaemon() -> void;
    auto scheduleRun() -> void;
    auto drain() -> void;
    auto acceptBacklog() -> void;

    auto receive(ReceivedRequest &request, const char *data, std::size_t *size) -> MHD_Result;
    auto begin(ReceivedRequest &request) -> MHD_Result;
    auto dispatch(ReceivedRequest &request) -> MHD_Result;
    auto callHandler(ReceivedRequest &request) -> void;
    auto suspend(ReceivedRequest &request) -> void;
    auto sendStoredResponse(ReceivedRequest &request) -> MHD_Result;
    auto sendRejection(ReceivedRequest &request) -> MHD_Result;
    auto sendTo(ReceivedRequest &request, HttpResponse &response, HeldShare share) -> MHD_Result;
    auto reject(ReceivedRequest &request, HttpResponse response) -> void;
    auto expectBody(ReceivedRequest &request) -> void;
    auto expectReading(ReceivedRequest &request) -> void;
    auto watchForStalls() -> void;
    auto closeStalled() -> void;
    [[nodiscard]] auto takeMemoryShortage() -> bool;
    auto closeLongestIdle(std::uint64_t newestId) -> void;
    auto addConnection(MHD_Connection *handle) -> ClientConnection *;
    auto removeConnection(const ClientConnection &connection) -> void;
    static auto close(const ClientConnection &connection) -> void;
    auto abandon(ReceivedRequest &request) -> void;
    auto handleHangUps() -> void;
    auto onHangUp(std::uint64_t connectionId) -> void;

    static auto createRequest(void *self, const char *uri, MHD_Connection *handle) -> void *;
    static auto onAccess(void *self, MHD_Connection *handle, const char *url, const char *method,
                         const char *version, const char *data, std::size_t *size, void **context)
        -> MHD_Result;
    static auto onCompleted(void *self, MHD_Connection *handle, void **context,
                            MHD_RequestTerminationCode code) -> void;
    static auto onConnection(void *self, MHD_Connection *handle, void **context,
                             MHD_ConnectionNotificationCode code) -> void;

    EventLoop &loop;
    HttpServerOptions options;
    Handler handler;
    Timer timer;
    Timer stallTimer; ///< runs while a caller owes a body or has a long response to read
    LingeringConnections lingering; ///< closed by libmicrohttpd; count for maxConnections
    MHD_Daemon *daemon = nullptr;
    std::unique_ptr<IoWatcher> daemonWatcher;
    /// Reports closed connections while they are suspended, when libmicrohttpd does not poll them.
    FileDescriptor hangUpEpoll;
    std::unique_ptr<IoWatcher> hangUpWatcher;
    std::unordered_map<std::uint64_t, std::unique_ptr<ClientConnection>> connections;
    std::uint64_t nextConnectionId = 1;
    /// Ids of connections that the client had closed before they were suspended.
    std::vector<std::uint64_t> closedBeforeSuspend;
    std::size_t pending = 0;
    std::uint64_t stalledConnections = 0;
    std::uint64_t knownRefusals = 0; ///< of the account, when it was last checked for a shortage
    std::uint16_t port = 0;
    bool closing = false;
    bool draining = false;
    bool quiesced = false;
    bool runScheduled = false;
};

} // namespace figlanding
