#pragma once

#include "io/http_server.h"

#include <memory>
#include <string>

/// @file
/// Test double for the platform's VM list service.

namespace figlanding::standins {

/// Configuration of a VM list stand-in.
struct VmListStandinOptions
{
    SocketAddress address{"127.0.0.1", 0};
    std::string vms = "[]"; ///< initial list, a JSON array
};

/// Serves a VM list whose changes become visible after a delay. POST /standin/vms with
/// {"vms": [...], "lag_ms": 0} replaces the list after that delay; POST /standin/fault with
/// {"down": true} makes reads fail with 503.
class VmListStandin
{
public:
    VmListStandin(EventLoop &loop, VmListStandinOptions options);
    ~VmListStandin();
    VmListStandin(const VmListStandin &) = delete;
    auto operator=(const VmListStandin &) -> VmListStandin & = delete;

    /// Starts listening.
    /// @return the error if the listening socket can't be opened
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto handle(HttpExchange exchange) -> void;
    auto handleVms(HttpExchange &exchange) -> void;
    auto handleFault(HttpExchange &exchange) -> void;

    EventLoop &m_loop;
    VmListStandinOptions m_options;
    std::unique_ptr<HttpServer> m_server;
    std::string m_visibleVms;
    std::string m_pendingVms;
    Timer m_lagTimer;
    bool m_unavailable = false;
};

} // namespace figlanding::standins
