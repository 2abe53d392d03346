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
/// One backend server at its dispatching VM: admission, health probe and lease renewal.

namespace figlanding {

/// What a probe needs to know, and to whom it tells its result.
struct ProbeHandlers
{
    std::function<bool()> mayRenewLease;
    std::function<LogOffset()> appliedOffset;
    std::function<void(const std::string &bootId)> onAnswer;
    /// The server's process ended: connections are refused, or the boot id changed.
    /// @param bootId of the process that ended; empty if unknown
    std::function<void(const std::string &bootId)> onCrash;
};

/// Probes a server and holds its admission state. The probe of a server that checks fences
/// renews its lease while that is permitted, and asks for its health otherwise.
class DispatchedServer
{
public:
    DispatchedServer(EventLoop &loop, HttpClient &client, const BackendServer &server,
                     const Timing &timing, ProbeHandlers handlers);
    /// Cancels a probe under way.
    ~DispatchedServer();
    DispatchedServer(const DispatchedServer &) = delete;
    auto operator=(const DispatchedServer &) -> DispatchedServer & = delete;

    /// Follows a changed declaration.
    auto update(const BackendServer &server) -> void;
    [[nodiscard]] auto admission() -> ServerAdmission &
    {
        return m_admission;
    }
    [[nodiscard]] auto server() const -> const BackendServer &
    {
        return m_server;
    }
    /// Probes now, unless a probe is under way.
    auto probe() -> void;
    /// Returns whether the last probes failed.
    [[nodiscard]] auto suspected() const -> bool;

private:
    auto noteBootId(const std::string &bootId) -> void;
    auto noteFailure(bool refused) -> void;
    auto onOutcome(const HttpOutcome &outcome) -> void;

    EventLoop &m_loop;
    HttpClient &m_client;
    BackendServer m_server;
    Timing m_timing;
    ProbeHandlers m_handlers;
    ServerAdmission m_admission;
    unsigned m_failures = 0;
    std::string m_bootId; ///< of the last answer; empty after a refused connection
    std::optional<HttpClient::CallId> m_probe; ///< the one under way
    Timer m_timer;
};

} // namespace figlanding
