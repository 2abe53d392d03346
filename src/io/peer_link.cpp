#include "io/peer_link.h"

#include "figlanding/peer_auth.h"
#include "io/random_bytes.h"
#include "io/socket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace figlanding {

namespace {

constexpr milliseconds firstReconnectDelay{50};
constexpr milliseconds maxReconnectDelay{500};
constexpr milliseconds connectTimeout{1000};
constexpr milliseconds pingInterval{250};
constexpr milliseconds pingTimeout{1000};
constexpr milliseconds userTimeout{2000};
constexpr std::size_t nonceBytes = 16;

} // namespace

struct PeerLink::Impl : std::enable_shared_from_this<Impl>
{
    struct Pending
    {
        PeerConnection::StreamId stream = -1;
        std::unique_ptr<Timer> timeout;
        std::function<void(PeerOutcome)> callback;
    };

    EventLoop &loop;
    SocketAddress address;
    PeerIdentity identity;
    VmId peer;
    std::shared_ptr<PeerConnection> connection;
    bool authenticated = false;
    Duration reconnectDelay = firstReconnectDelay;
    Timer reconnect;
    Timer handshakeTimeout;
    Timer pingTimer;
    TimePoint lastPong;
    RequestId nextRequest = 1;
    std::map<RequestId, Pending> pending;

    Impl(EventLoop &eventLoop, SocketAddress peerAddress, PeerIdentity self)
        : loop(eventLoop)
        , address(std::move(peerAddress))
        , identity(std::move(self))
        , reconnect(loop, [this] { connect(); })
        , handshakeTimeout(
              loop,
              [this] {
                  disconnect({ErrorCode::Timeout, "handshake with peer at " + toText(address)});
              })
        , pingTimer(loop, [this] { sendPing(); })
    { }

    auto connect() -> void;
    auto sendHello() -> void;
    auto onHelloResponse(const PeerHandshake &sent, const PeerOutcome &outcome) -> void;
    auto onProofResponse(const PeerOutcome &outcome) -> void;
    auto sendPing() -> void;
    auto disconnect(const Error &reason) -> void;
    auto onClosed() -> void;
    auto completeRequest(RequestId id, PeerOutcome outcome) -> void;
};

auto PeerLink::Impl::connect() -> void
{
    valueOrElse(
        [this]() -> Result<void> {
            BOOST_LEAF_AUTO(socket, connectTo(address));
            enableDeadPeerDetection(socket.get(), userTimeout);
            connection = std::make_shared<PeerConnection>(
                loop, socket.release(), PeerConnection::Role::Client,
                PeerConnection::Handlers{.onRequest = {},
                                         .onRequestEnded = {},
                                         .onClosed = [this](const Error &) { onClosed(); }});
            handshakeTimeout.startOnce(connectTimeout);
            sendHello();
            return {};
        },
        [this](const Error &) { onClosed(); });
}

auto PeerLink::Impl::sendHello() -> void
{
    const auto handshake = PeerHandshake{.clientVm = identity.vm,
                                         .serverVm = {},
                                         .clientNonce = randomHex(nonceBytes),
                                         .serverNonce = {}};
    const auto body = nlohmann::json{{"vm", identity.vm.value()}, {"nonce", handshake.clientNonce}};
    connection->request(
        {.method = "POST", .target = "/peer/hello", .body = body.dump()},
        [this, handshake](const PeerOutcome &outcome) { onHelloResponse(handshake, outcome); });
}

auto PeerLink::Impl::onHelloResponse(const PeerHandshake &sent, const PeerOutcome &outcome) -> void
{
    if (outcome.verdict != Verdict::Ran) {
        return; // a lost connection is handled by onClosed()
    }
    const auto body = nlohmann::json::parse(outcome.response.body, nullptr, false);
    const auto field = [&body](const char *name) {
        return body.is_object() && body.contains(name) && body[name].is_string()
            ? body[name].get<std::string>()
            : std::string();
    };
    auto handshake = sent;
    handshake.serverVm = VmId(field("vm"));
    handshake.serverNonce = field("nonce");
    if (!verifyPeerProof(identity.secret, PeerSide::Server, handshake, field("proof"))) {
        disconnect(
            {ErrorCode::AuthenticationFailed, "invalid proof from peer at " + toText(address)});
        return;
    }
    peer = handshake.serverVm;
    connection->request({.method = "POST",
                         .target = "/peer/proof",
                         .body = peerProof(identity.secret, PeerSide::Client, handshake)},
                        [this](const PeerOutcome &proofOutcome) { onProofResponse(proofOutcome); });
}

auto PeerLink::Impl::onProofResponse(const PeerOutcome &outcome) -> void
{
    if (outcome.verdict != Verdict::Ran) {
        return;
    }
    if (outcome.response.status != 204) {
        disconnect(
            {ErrorCode::AuthenticationFailed, "peer at " + toText(address) + " refused the proof"});
        return;
    }
    handshakeTimeout.stop();
    authenticated = true;
    reconnectDelay = firstReconnectDelay;
    lastPong = loop.now();
    pingTimer.startRepeating(pingInterval);
}

auto PeerLink::Impl::sendPing() -> void
{
    if (loop.now() - lastPong > pingTimeout) {
        disconnect({ErrorCode::Timeout, "peer at " + toText(address) + " does not answer pings"});
        return;
    }
    connection->ping([this] { lastPong = loop.now(); });
}

auto PeerLink::Impl::disconnect(const Error &reason) -> void
{
    if (connection) {
        const auto closing = connection;
        closing->close(reason);
    }
}

auto PeerLink::Impl::onClosed() -> void
{
    // The connection may be running a callback, so its destruction is deferred.
    post(loop, [finished = std::exchange(connection, nullptr)] {});
    authenticated = false;
    pingTimer.stop();
    handshakeTimeout.stop();
    reconnect.startOnce(reconnectDelay);
    reconnectDelay = std::min<Duration>(reconnectDelay * 2, maxReconnectDelay);
}

auto PeerLink::Impl::completeRequest(RequestId id, PeerOutcome outcome) -> void
{
    auto entry = pending.extract(id);
    if (entry.empty()) {
        return;
    }
    // The timer may be running its callback, so its destruction is deferred.
    post(loop, [timer = std::shared_ptr<Timer>(std::move(entry.mapped().timeout))] {});
    entry.mapped().callback(std::move(outcome));
}

PeerLink::PeerLink(EventLoop &loop, SocketAddress address, PeerIdentity identity)
    : m_impl(std::make_shared<Impl>(loop, std::move(address), std::move(identity)))
{
    m_impl->connect();
}

PeerLink::~PeerLink()
{
    m_impl->reconnect.stop();
    m_impl->pingTimer.stop();
    m_impl->handshakeTimeout.stop();
    m_impl->connection.reset();
}

auto PeerLink::ready() const -> bool
{
    return m_impl->authenticated && m_impl->connection && !m_impl->connection->isClosed();
}

auto PeerLink::peer() const -> const VmId &
{
    return m_impl->peer;
}

auto PeerLink::address() const -> const SocketAddress &
{
    return m_impl->address;
}

auto PeerLink::request(HttpRequest request, Duration timeout,
                       std::function<void(PeerOutcome)> callback) -> RequestId
{
    if (!ready()) {
        callback({.verdict = Verdict::NotRun,
                  .response = {},
                  .error = {ErrorCode::ConnectionFailed,
                            "no connection to peer at " + toText(m_impl->address)}});
        return 0;
    }
    const auto id = m_impl->nextRequest++;
    auto &entry = m_impl->pending[id];
    entry.callback = std::move(callback);
    entry.timeout = std::make_unique<Timer>(m_impl->loop, [this, id] {
        const auto found = m_impl->pending.find(id);
        if (found != m_impl->pending.end() && m_impl->connection) {
            m_impl->connection->cancel(found->second.stream);
        }
        m_impl->completeRequest(
            id,
            {.verdict = Verdict::MayHaveRun,
             .response = {},
             .error = {ErrorCode::Timeout,
                       "peer at " + toText(m_impl->address) + " did not answer"}});
    });
    entry.timeout->startOnce(timeout);
    const auto stream = m_impl->connection->request(
        std::move(request), [impl = m_impl.get(), id](PeerOutcome outcome) {
            impl->completeRequest(id, std::move(outcome));
        });
    if (const auto found = m_impl->pending.find(id); found != m_impl->pending.end()) {
        found->second.stream = stream;
    }
    return id;
}

auto PeerLink::cancel(RequestId id) -> void
{
    auto entry = m_impl->pending.extract(id);
    if (!entry.empty() && m_impl->connection) {
        m_impl->connection->cancel(entry.mapped().stream);
    }
}

auto PeerLink::reset(const Error &reason) -> void
{
    m_impl->disconnect(reason);
}

} // namespace figlanding
