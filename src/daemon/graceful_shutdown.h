#pragma once

#include "io/event_loop.h"

#include <cstddef>
#include <functional>

/// @file
/// Order of a graceful shutdown: other VMs take over, pending requests complete, the process ends.

namespace figlanding {

/// Callbacks of GracefulShutdown.
struct GracefulShutdownHandlers
{
    std::function<bool()> isMember; ///< returns whether this process is a member of the cluster
    /// Makes callers use other VMs. Runs repeatedly once this VM is not a member any more.
    std::function<void()> drainCallers;
    /// Returns the number of callers' requests without a response.
    std::function<std::size_t()> pendingRequests;
    /// Returns whether no request is pending, neither of a caller nor of another VM.
    std::function<bool()> idle;
    std::function<void()> onEnd; ///< the shutdown is complete or its drain timeout has passed
};

/// Waits, once begun, until the controller has removed this VM from the members and all requests
/// have completed. Callers are not sent away before the removal, but the wait for it is bounded.
class GracefulShutdown
{
public:
    /// @param drainTimeout maximum duration of the whole shutdown
    GracefulShutdown(EventLoop &loop, Duration drainTimeout, GracefulShutdownHandlers handlers);

    /// Begins the shutdown. Further calls have no effect.
    auto begin() -> void;
    /// Returns whether the shutdown has begun.
    [[nodiscard]] auto begun() const -> bool
    {
        return m_begun;
    }

private:
    auto check() -> void;

    EventLoop &m_loop;
    Duration m_drainTimeout;
    GracefulShutdownHandlers m_handlers;
    bool m_begun = false;
    TimePoint m_begunAt;
    Timer m_timer;
};

} // namespace figlanding
