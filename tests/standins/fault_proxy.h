#pragma once

#include "io/http_server.h"
#include "io/socket.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

/// @file
/// A TCP proxy that injects delays, disconnects, stalls and duplicated data.

namespace figlanding::standins {

/// Configuration of a fault proxy.
struct FaultProxyOptions
{
    SocketAddress address{"127.0.0.1", 0};
    SocketAddress target; ///< to which connections are forwarded
    microseconds connectionCost{0}; ///< time for which each new connection blocks the proxy
};

/// Faults in force until they are replaced. The quoted names are the JSON fields; that of
/// throttleBytesPerSecond is "throttle_bytes_per_second". Byte limits apply to the data that each
/// connection carries from the target.
struct ProxyFaults
{
    /// "partition": closes new connections, stalls established ones. Bytes held up are lost if
    /// either side resets the connection meanwhile, and delivered after a normal close.
    bool partition = false;
    milliseconds delay{0}; ///< "delay_ms": delays all bytes in both directions
    std::size_t throttleBytesPerSecond = 0; ///< rate limit; 0: unlimited
    /// "link_bytes_per_second": rate limit of all connections together; 0: unlimited
    std::size_t linkBytesPerSecond = 0;
    std::optional<std::size_t> closeAfterBytes; ///< "cut_after_bytes": closes at this count
    int dropResponses = 0; ///< "drop_answers": next reads from the target discarded, then closed
    int duplicateReads = 0; ///< "double_answers": next reads from the target sent twice
};

/// Forwards TCP connections to one target and applies faults to them.
class FaultProxy
{
public:
    FaultProxy(EventLoop &loop, FaultProxyOptions options);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;

    /// Starts listening.
    /// @return the error if the listening socket can't be opened
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Sets the target of connections accepted from now on.
    auto setTarget(SocketAddress target) -> void;
    /// Replaces the faults in force.
    auto setFaults(ProxyFaults faults) -> void;
    /// Stops forwarding on all established connections permanently; new ones are unaffected.
    auto freezeEstablished() -> void;
    /// Closes all established connections.
    auto closeEstablished() -> void;
    /// Applies a JSON object with the fields of ProxyFaults. "freeze" and "cut" act once, on the
    /// currently established connections.
    auto apply(const nlohmann::json &faults) -> void;
    /// Returns the number of established connections.
    [[nodiscard]] auto connections() const -> std::size_t;
    /// Returns the number of connections forwarded since the start, closed ones included.
    [[nodiscard]] auto accepted() const -> std::uint64_t;

private:
    class ProxiedConnection;
    auto acceptAll() -> void;
    auto remove(std::uint64_t id) -> void;
    [[nodiscard]] auto linkShare(TimePoint now) -> std::size_t;

    EventLoop &m_loop;
    FaultProxyOptions m_options;
    ProxyFaults m_faults;
    std::size_t m_linkBytes = 0; ///< that the link may carry now
    TimePoint m_linkRefilledAt;
    FileDescriptor m_listener;
    std::unique_ptr<IoWatcher> m_watcher;
    std::map<std::uint64_t, std::unique_ptr<ProxiedConnection>> m_connections;
    std::uint64_t m_accepted = 0;
};

/// Admin endpoint of a proxy on a separate port: POST /standin/fault and GET /standin/stats.
class FaultProxyAdmin
{
public:
    FaultProxyAdmin(EventLoop &loop, FaultProxy &proxy);

    /// Starts listening.
    /// @return the error if the listening socket can't be opened
    [[nodiscard]] auto start(SocketAddress address) -> Result<void>;
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto handle(HttpExchange exchange) -> void;

    EventLoop &m_loop;
    FaultProxy &m_proxy;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace figlanding::standins
