#pragma once

#include "figlanding/admission.h"
#include "figlanding/cluster_state.h"
#include "figlanding/timing.h"
#include "io/event_loop.h"
#include "io/http_client.h"

#include <functional>
#include <optional>
#include <string>

/// @file
/// A backend server as seen by its dispatching VM: admission control, health probes and lease
/// renewal.

namespace figlanding {

/// Callbacks of DispatchedServer.
struct DispatchedServerHandlers
{
    std::function<bool()> mayRenewLease; ///< returns whether the next probe may renew the lease
    std::function<LogOffset()> appliedOffset; ///< returns the offset that a lease renewal carries
    /// A probe returned this boot id.
    std::function<void(const std::string &bootId)> onProbeResponse;
    /// The server's process ended: a connection was refused, or the boot id changed.
    /// @param bootId boot id of the process that ended; never empty
    std::function<void(const std::string &bootId)> onCrash;
};

/// Probes a server periodically and holds its admission state. If the server checks fencing tokens
/// and a renewal is permitted, the probe renews its lease; otherwise it is a plain health check.
class DispatchedServer
{
public:
    DispatchedServer(EventLoop &loop, HttpClient &client, const BackendServer &server,
                     const Timing &timing, DispatchedServerHandlers handlers);
    /// Cancels a probe in progress.
    ~DispatchedServer();
    DispatchedServer(const DispatchedServer &) = delete;
    auto operator=(const DispatchedServer &) -> DispatchedServer & = delete;

    /// Applies a changed declaration of the server.
    auto update(const BackendServer &server) -> void;
    [[nodiscard]] auto admission() -> ServerAdmission &
    {
        return m_admission;
    }
    [[nodiscard]] auto server() const -> const BackendServer &
    {
        return m_server;
    }
    /// Sends a probe now, unless one is in progress.
    auto probe() -> void;
    /// Returns whether the server is suspected to have failed: two probes in a row failed, where a
    /// refused connection counts as two.
    [[nodiscard]] auto suspected() const -> bool;

private:
    auto recordBootId(const std::string &bootId) -> void;
    auto recordFailure(bool refused) -> void;
    auto onOutcome(const HttpOutcome &outcome) -> void;

    EventLoop &m_loop;
    HttpClient &m_client;
    BackendServer m_server;
    Timing m_timing;
    DispatchedServerHandlers m_handlers;
    ServerAdmission m_admission;
    unsigned m_failures = 0; ///< consecutive; a refused connection counts as two
    std::string m_bootId; ///< from the last response; empty after a refused connection
    std::optional<HttpClient::CallId> m_probe; ///< the probe in progress
    Timer m_timer;
};

} // namespace figlanding
