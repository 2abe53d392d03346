#pragma once

#include "figlanding/controller.h"
#include "io/http_client.h"
#include "io/log_service.h"

#include <functional>

/// @file
/// Executes the actions that the controller decides on.

namespace figlanding {

/// Callbacks of ControllerDriver.
struct ControllerDriverHandlers
{
    std::function<ControllerView()> view; ///< returns the current view of the cluster
    std::function<PeerReport()> ownReport; ///< returns this VM's current heartbeat
    /// Appends a record of the controller to the log.
    std::function<void(const Record &)> append;
};

/// Posts a command for shards to a server, over a new connection. Responses to commands have no id,
/// and shards move on as soon as one is acknowledged; on a new connection no earlier response can
/// arrive in place of the acknowledgement.
/// @param onAcknowledged runs only if the server responds with 200
auto postCommand(HttpClient &client, const SocketAddress &address, const char *path,
                 std::string body, std::function<void()> onAcknowledged) -> void;

/// Runs a Controller at a fixed interval and turns its actions into log appends and into HTTP
/// requests to backend servers.
class ControllerDriver
{
public:
    ControllerDriver(EventLoop &loop, HttpClient &client, ControllerOptions options,
                     ControllerDriverHandlers handlers);

    /// Returns the controller. The caller passes it heartbeats, boot ids and the VM list.
    [[nodiscard]] auto controller() -> Controller &
    {
        return m_controller;
    }
    /// Runs one controller step and executes the resulting actions. A timer calls this as well.
    auto tick() -> void;

private:
    // Each overload executes one kind of action.
    auto run(const AppendRecord &action) -> void;
    auto run(const RevokeShards &action) -> void;
    auto run(const GrantShards &action) -> void;
    auto run(const ProbeServer &action) -> void;
    // Posts a command to its server; onAcknowledged runs only if the server responds with 200.
    template <typename Command>
    auto sendCommand(const char *path, const Command &command, std::function<void()> onAcknowledged)
        -> void;

    EventLoop &m_loop;
    HttpClient &m_client;
    ControllerDriverHandlers m_handlers;
    Controller m_controller;
    Timer m_timer;
};

} // namespace figlanding
