#include "standins/fault_proxy.h"

#include "standins/proxy_pipe.h"
#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <thread>
#include <utility>
#include <vector>

namespace figlanding::standins {

namespace {

constexpr milliseconds throttleInterval{20};
constexpr std::size_t throttleStepsPerSecond = 50;

auto hasFailed(const FileDescriptor &socket) -> bool
{
    auto error = 0;
    auto size = socklen_t{sizeof error};
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

} // namespace

/// A connection from a client, with the connection to the target that it is forwarded to.
class FaultProxy::ProxiedConnection
{
public:
    ProxiedConnection(FaultProxy &proxy, std::uint64_t id, FileDescriptor client,
                      FileDescriptor target);

    /// Forwards available bytes and updates the watched events; destroys this object on close.
    auto forward() -> void;
    /// Stops forwarding permanently, without closing either side.
    auto freeze() -> void;
    /// Returns whether bytes of the target wait to be written to the client.
    [[nodiscard]] auto hasResponse() const -> bool
    {
        return !m_targetToClient.empty();
    }

private:
    auto stopWatching() -> void;
    auto filterResponse(std::string bytes) -> std::string;
    auto writeAll(TimePoint now) -> void;
    auto updateWatches(TimePoint now) -> void;
    [[nodiscard]] auto ended() const -> bool;

    FaultProxy &m_proxy;
    std::uint64_t m_id;
    FileDescriptor m_client;
    FileDescriptor m_target;
    ProxyPipe m_clientToTarget;
    ProxyPipe m_targetToClient;
    IoWatcher m_clientWatcher;
    IoWatcher m_targetWatcher;
    Timer m_timer;
    std::size_t m_responseBytes = 0;
    bool m_frozen = false;
    bool m_partitioned = false;
    bool m_failed = false;
    bool m_closeAfterWrite = false;
};

FaultProxy::ProxiedConnection::ProxiedConnection(FaultProxy &proxy, std::uint64_t id,
                                                 FileDescriptor client, FileDescriptor target)
    : m_proxy(proxy)
    , m_id(id)
    , m_client(std::move(client))
    , m_target(std::move(target))
    , m_clientToTarget(m_client.get(), m_target.get(), [](std::string bytes) { return bytes; })
    , m_targetToClient(m_target.get(), m_client.get(),
                       [this](std::string bytes) { return filterResponse(std::move(bytes)); })
    , m_clientWatcher(proxy.m_loop, m_client.get(), [this](IoEvents) { forward(); })
    , m_targetWatcher(proxy.m_loop, m_target.get(), [this](IoEvents) { forward(); })
    , m_timer(proxy.m_loop, [this] { forward(); })
{
    m_targetWatcher.watch(IoEvents::Write);
}

auto FaultProxy::ProxiedConnection::freeze() -> void
{
    m_frozen = true;
    stopWatching();
}

auto FaultProxy::ProxiedConnection::stopWatching() -> void
{
    m_timer.stop();
    m_clientWatcher.watch(IoEvents::None);
    m_targetWatcher.watch(IoEvents::None);
}

auto FaultProxy::ProxiedConnection::filterResponse(std::string bytes) -> std::string
{
    auto &faults = m_proxy.m_faults;
    if (faults.dropResponses > 0) {
        --faults.dropResponses;
        m_closeAfterWrite = true;
        return {};
    }
    if (faults.duplicateReads > 0) {
        --faults.duplicateReads;
        bytes += bytes;
    }
    if (faults.closeAfterBytes && m_responseBytes + bytes.size() > *faults.closeAfterBytes) {
        bytes.resize(*faults.closeAfterBytes - std::min(*faults.closeAfterBytes, m_responseBytes));
        m_closeAfterWrite = true;
    }
    m_responseBytes += bytes.size();
    return bytes;
}

auto FaultProxy::ProxiedConnection::forward() -> void
{
    if (m_frozen || m_proxy.m_faults.partition) {
        m_partitioned = m_proxy.m_faults.partition;
        stopWatching();
        return;
    }
    if (std::exchange(m_partitioned, false) && (hasFailed(m_client) || hasFailed(m_target))) {
        // The bytes that the partition held up are still in the sender's queue on a real network,
        // which a reset discards.
        m_proxy.remove(m_id); // destroys this object
        return;
    }
    const auto now = m_proxy.m_loop.now();
    const auto delay = m_proxy.m_faults.delay;
    m_failed = m_failed || m_clientToTarget.read(now, delay) == ProxyPipe::Status::Failed;
    if (!m_closeAfterWrite) {
        m_failed = m_failed || m_targetToClient.read(now, delay) == ProxyPipe::Status::Failed;
    }
    writeAll(now);
    if (ended()) {
        m_proxy.remove(m_id); // destroys this object
        return;
    }
    updateWatches(now);
}

auto FaultProxy::ProxiedConnection::writeAll(TimePoint now) -> void
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    const auto rate = m_proxy.m_faults.throttleBytesPerSecond;
    m_clientToTarget.write(now, unlimited);
    const auto allowance =
        rate == 0 ? unlimited : std::max<std::size_t>(1, rate / throttleStepsPerSecond);
    const auto share = m_proxy.linkShare(now);
    const auto written = m_targetToClient.write(now, std::min(allowance, share));
    m_proxy.m_linkBytes -= std::min(written, m_proxy.m_linkBytes);
    if (m_clientToTarget.sourceClosed() && m_clientToTarget.empty()) {
        ::shutdown(m_target.get(), SHUT_WR);
    }
    if (m_targetToClient.sourceClosed() && m_targetToClient.empty()) {
        ::shutdown(m_client.get(), SHUT_WR);
    }
}

auto FaultProxy::ProxiedConnection::ended() const -> bool
{
    const auto cut = m_closeAfterWrite && m_targetToClient.empty();
    const auto targetClosed = m_targetToClient.sourceClosed() && m_targetToClient.empty();
    return m_failed || cut || targetClosed || m_clientToTarget.sinkFailed()
        || m_targetToClient.sinkFailed();
}

auto FaultProxy::ProxiedConnection::updateWatches(TimePoint now) -> void
{
    const auto events = [&](const ProxyPipe &from, const ProxyPipe &to, bool throttled) {
        const auto read = from.hasRoom() ? IoEvents::Read : IoEvents::None;
        const auto due = !to.empty() && to.firstDue() <= now && !throttled;
        const auto write = due ? IoEvents::Write : IoEvents::None;
        return static_cast<IoEvents>(static_cast<int>(read) | static_cast<int>(write));
    };
    const auto &faults = m_proxy.m_faults;
    const auto throttled = faults.throttleBytesPerSecond > 0 || faults.linkBytesPerSecond > 0;
    m_clientWatcher.watch(events(m_clientToTarget, m_targetToClient, throttled));
    m_targetWatcher.watch(events(m_targetToClient, m_clientToTarget, false));
    if (m_clientToTarget.empty() && m_targetToClient.empty()) {
        m_timer.stop();
        return;
    }
    auto wake = now + throttleInterval;
    for (const auto *pipe : {&m_clientToTarget, &m_targetToClient}) {
        if (!pipe->empty() && pipe->firstDue() > now) {
            wake = std::min(wake, pipe->firstDue());
        }
    }
    m_timer.startOnce(wake - now);
}

FaultProxy::FaultProxy(EventLoop &loop, FaultProxyOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
{ }

FaultProxy::~FaultProxy() = default;

auto FaultProxy::start() -> Result<void>
{
    BOOST_LEAF_ASSIGN(m_listener, listenOn(m_options.address));
    m_watcher =
        std::make_unique<IoWatcher>(m_loop, m_listener.get(), [this](IoEvents) { acceptAll(); });
    m_watcher->watch(IoEvents::Read);
    return {};
}

auto FaultProxy::port() const -> std::uint16_t
{
    return localPort(m_listener.get());
}

auto FaultProxy::setTarget(SocketAddress target) -> void
{
    m_options.target = std::move(target);
}

auto FaultProxy::acceptAll() -> void
{
    while (true) {
        auto client = FileDescriptor(
            ::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (client.get() < 0) {
            return;
        }
        if (m_faults.partition) {
            continue; // closes the new connection
        }
        std::this_thread::sleep_for(m_options.connectionCost);
        auto target = valueOrElse([&] { return connectTo(m_options.target); },
                                  [](const Error &) { return FileDescriptor(); });
        if (target.get() < 0) {
            continue;
        }
        const auto id = ++m_accepted;
        m_connections.emplace(
            id,
            std::make_unique<ProxiedConnection>(*this, id, std::move(client), std::move(target)));
    }
}

auto FaultProxy::remove(std::uint64_t id) -> void
{
    m_connections.erase(id);
}

auto FaultProxy::setFaults(ProxyFaults faults) -> void
{
    m_faults = faults;
    m_linkBytes = 0;
    auto ids = std::vector<std::uint64_t>{};
    for (const auto &[id, connection] : m_connections) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        m_connections.at(id)->forward();
    }
}

// Returns how many bytes a connection may carry now: an equal share of what the link carries in one
// throttle interval, among the connections that have something to send.
auto FaultProxy::linkShare(TimePoint now) -> std::size_t
{
    const auto rate = m_faults.linkBytesPerSecond;
    if (rate == 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto elapsed = std::chrono::duration<double>(now - m_linkRefilledAt).count();
    const auto most = rate / throttleStepsPerSecond;
    const auto added = static_cast<std::size_t>(static_cast<double>(rate) * elapsed);
    m_linkRefilledAt = now;
    m_linkBytes = std::min(most, m_linkBytes + added);
    const auto busy = std::count_if(m_connections.begin(), m_connections.end(),
                                    [](const auto &item) { return item.second->hasResponse(); });
    return std::min(m_linkBytes, most / static_cast<std::size_t>(std::max<long>(1, busy)));
}

auto FaultProxy::freezeEstablished() -> void
{
    for (const auto &[id, connection] : m_connections) {
        connection->freeze();
    }
}

auto FaultProxy::closeEstablished() -> void
{
    m_connections.clear();
}

auto FaultProxy::apply(const nlohmann::json &faults) -> void
{
    if (faults.value("freeze", false)) {
        freezeEstablished();
    }
    if (faults.value("cut", false)) {
        closeEstablished();
    }
    auto replacement = ProxyFaults{
        .partition = faults.value("partition", false),
        .delay = milliseconds(faults.value("delay_ms", 0)),
        .throttleBytesPerSecond = faults.value("throttle_bytes_per_second", std::size_t{0}),
        .linkBytesPerSecond = faults.value("link_bytes_per_second", std::size_t{0}),
        .dropResponses = faults.value("drop_answers", 0),
        .duplicateReads = faults.value("double_answers", 0)};
    if (faults.contains("cut_after_bytes")) {
        replacement.closeAfterBytes = faults.value("cut_after_bytes", std::size_t{0});
    }
    setFaults(replacement);
}

auto FaultProxy::connections() const -> std::size_t
{
    return m_connections.size();
}

auto FaultProxy::accepted() const -> std::uint64_t
{
    return m_accepted;
}

FaultProxyAdmin::FaultProxyAdmin(EventLoop &loop, FaultProxy &proxy)
    : m_loop(loop)
    , m_proxy(proxy)
{ }

auto FaultProxyAdmin::start(SocketAddress address) -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop, {.address = std::move(address)},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    return {};
}

auto FaultProxyAdmin::port() const -> std::uint16_t
{
    return m_server->port();
}

auto FaultProxyAdmin::handle(HttpExchange exchange) -> void
{
    if (exchange.request().target == "/standin/stats") {
        const auto stats = nlohmann::json{{"connections", m_proxy.connections()},
                                          {"accepted", m_proxy.accepted()}};
        exchange.respond(jsonResponse(200, stats.dump()));
        return;
    }
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded()) {
        exchange.respond(problemResponse(400, "Invalid faults", "not a JSON object"));
        return;
    }
    m_proxy.apply(json);
    exchange.respond(jsonResponse(200, "{}"));
}

} // namespace figlanding::standins
