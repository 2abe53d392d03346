#include "figlanding/peer_auth.h"
#include "io/peer_link.h"
#include "io/random_bytes.h"
#include "io/socket.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace figlanding {

namespace {

constexpr seconds authenticationTimeout{3};
constexpr std::size_t nonceBytes = 16;

} // namespace

struct PeerExchange::Impl
{
    VmId from;
    HttpRequest request;
    std::weak_ptr<PeerConnection> connection;
    PeerConnection::StreamId stream = 0;
    bool ended = false;
    std::function<void()> abandonedCallback;
};

PeerExchange::PeerExchange(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

auto PeerExchange::from() const -> const VmId &
{
    return m_impl->from;
}

auto PeerExchange::request() const -> const HttpRequest &
{
    return m_impl->request;
}

auto PeerExchange::respond(HttpResponse response) -> void
{
    if (std::exchange(m_impl->ended, true)) {
        return;
    }
    m_impl->abandonedCallback = nullptr;
    if (const auto connection = m_impl->connection.lock()) {
        connection->respond(m_impl->stream, std::move(response));
    }
}

auto PeerExchange::onAbandoned(std::function<void()> callback) -> void
{
    m_impl->abandonedCallback = std::move(callback);
}

struct PeerServer::Impl
{
    // An accepted connection, authenticated or not.
    struct Session
    {
        std::shared_ptr<PeerConnection> connection;
        PeerHandshake handshake;
        bool authenticated = false;
        std::unique_ptr<Timer> authenticationTimer;
        std::map<PeerConnection::StreamId, std::shared_ptr<PeerExchange::Impl>> openExchanges;
    };

    EventLoop &loop;
    FileDescriptor socket;
    PeerIdentity identity;
    Handler handler;
    std::unique_ptr<IoWatcher> watcher;
    std::uint64_t nextSession = 1;
    std::map<std::uint64_t, Session> sessions;

    Impl(EventLoop &eventLoop, FileDescriptor listeningSocket, PeerIdentity self,
         Handler requestHandler)
        : loop(eventLoop)
        , socket(std::move(listeningSocket))
        , identity(std::move(self))
        , handler(std::move(requestHandler))
    { }

    auto accept() -> void;
    auto onRequest(std::uint64_t id, PeerConnection::StreamId stream, HttpRequest request) -> void;
    auto onEnded(std::uint64_t id, PeerConnection::StreamId stream) -> void;
    auto handleHello(Session &session, const HttpRequest &request) -> HttpResponse;
    auto handleProof(Session &session, const HttpRequest &request) -> HttpResponse;
    auto removeSession(std::uint64_t id) -> void;
};

auto PeerServer::Impl::accept() -> void
{
    while (true) {
        auto accepted = acceptFrom(socket.get());
        if (accepted.get() < 0) {
            return;
        }
        const auto id = nextSession++;
        auto &session = sessions[id];
        session.connection = std::make_shared<PeerConnection>(
            loop, accepted.release(), PeerConnection::Role::Server,
            PeerConnection::Handlers{
                .onRequest =
                    [this, id](auto stream, HttpRequest &&request) {
                        onRequest(id, stream, std::move(request));
                    },
                .onRequestEnded = [this, id](auto stream) { onEnded(id, stream); },
                .onClosed = [this, id](const Error &) { removeSession(id); },
            });
        session.authenticationTimer = std::make_unique<Timer>(loop, [this, id] {
            const auto found = sessions.find(id);
            if (found != sessions.end() && !found->second.authenticated) {
                found->second.connection->close(
                    {ErrorCode::AuthenticationFailed, "peer did not authenticate in time"});
            }
        });
        session.authenticationTimer->startOnce(authenticationTimeout);
    }
}

auto PeerServer::Impl::onRequest(std::uint64_t id, PeerConnection::StreamId stream,
                                 HttpRequest request) -> void
{
    const auto found = sessions.find(id);
    if (found == sessions.end()) {
        return;
    }
    auto &session = found->second;
    if (!session.authenticated) {
        auto response = request.target == "/peer/hello" ? handleHello(session, request)
            : request.target == "/peer/proof"
            ? handleProof(session, request)
            : problemResponse(401, "not authenticated", "the connection has not authenticated");
        session.connection->respond(stream, std::move(response));
        return;
    }
    auto exchange = std::make_shared<PeerExchange::Impl>();
    exchange->from = session.handshake.clientVm;
    exchange->request = std::move(request);
    exchange->connection = session.connection;
    exchange->stream = stream;
    session.openExchanges[stream] = exchange;
    handler(PeerExchange(std::move(exchange)));
}

auto PeerServer::Impl::onEnded(std::uint64_t id, PeerConnection::StreamId stream) -> void
{
    const auto found = sessions.find(id);
    if (found == sessions.end()) {
        return;
    }
    const auto exchange = found->second.openExchanges.extract(stream);
    if (exchange.empty() || std::exchange(exchange.mapped()->ended, true)) {
        return;
    }
    if (const auto callback = std::exchange(exchange.mapped()->abandonedCallback, nullptr)) {
        callback();
    }
}

auto PeerServer::Impl::handleHello(Session &session, const HttpRequest &request) -> HttpResponse
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.value("vm", nlohmann::json()).is_string()
        || !body.value("nonce", nlohmann::json()).is_string()) {
        return problemResponse(400, "malformed hello", "vm and nonce must be strings");
    }
    session.handshake = {.clientVm = VmId(body["vm"].get<std::string>()),
                         .serverVm = identity.vm,
                         .clientNonce = body["nonce"].get<std::string>(),
                         .serverNonce = randomHex(nonceBytes)};
    return jsonResponse(
        200,
        nlohmann::json{{"vm", identity.vm.value()},
                       {"nonce", session.handshake.serverNonce},
                       {"proof", peerProof(identity.secret, PeerSide::Server, session.handshake)}}
            .dump());
}

auto PeerServer::Impl::handleProof(Session &session, const HttpRequest &request) -> HttpResponse
{
    const auto valid = !session.handshake.serverNonce.empty()
        && verifyPeerProof(identity.secret, PeerSide::Client, session.handshake, request.body);
    if (!valid) {
        session.handshake = {};
        return problemResponse(401, "not authenticated", "the proof does not match");
    }
    session.authenticated = true;
    session.authenticationTimer->stop();
    return {.status = 204, .headers = {}, .body = {}};
}

auto PeerServer::Impl::removeSession(std::uint64_t id) -> void
{
    auto session = std::make_shared<decltype(sessions)::node_type>(sessions.extract(id));
    // The connection may be running a callback, so its destruction is deferred.
    post(loop, [session] {});
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

PeerServer::~PeerServer()
{
    m_impl->watcher.reset();
}

auto PeerServer::listen(EventLoop &loop, const SocketAddress &address, PeerIdentity identity,
                        Handler handler) -> Result<std::unique_ptr<PeerServer>>
{
    BOOST_LEAF_AUTO(socket, listenOn(address));
    const auto fd = socket.get();
    auto impl =
        std::make_unique<Impl>(loop, std::move(socket), std::move(identity), std::move(handler));
    impl->watcher =
        std::make_unique<IoWatcher>(loop, fd, [raw = impl.get()](IoEvents) { raw->accept(); });
    impl->watcher->watch(IoEvents::Read);
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

auto PeerServer::port() const -> std::uint16_t
{
    return localPort(m_impl->socket.get());
}

} // namespace figlanding
