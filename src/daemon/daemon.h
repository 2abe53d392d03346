#pragma once

#include "figlanding/error.h"
#include "io/event_loop.h"
#include "io/settings.h"

#include <memory>

/// @file
/// The process of one entry VM: connects the request path, the controller, the platform adapters
/// and the listening ports on one event loop.

namespace figlanding {

/// Serves requests from start() until the event loop stops.
class Daemon
{
public:
    Daemon(EventLoop &loop, DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Opens the ports and starts to follow the log and to poll the VM list.
    /// @return IoFailure if a port cannot be opened
    auto start() -> Result<void>;
    /// Starts a graceful shutdown: /readyz fails at once, other VMs take over this VM's roles,
    /// pending requests complete, and then the loop is stopped. The drain timeout bounds it.
    /// Further calls have no effect.
    auto leave() -> void;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace figlanding
