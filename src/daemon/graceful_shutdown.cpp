#include "daemon/graceful_shutdown.h"

#include "io/log.h"

#include <utility>

namespace figlanding {

namespace {

constexpr milliseconds checkInterval{20};
constexpr milliseconds maxMemberRemovalWait{3000};

} // namespace

GracefulShutdown::GracefulShutdown(EventLoop &loop, Duration drainTimeout,
                                   GracefulShutdownHandlers handlers)
    : m_loop(loop)
    , m_drainTimeout(drainTimeout)
    , m_handlers(std::move(handlers))
    , m_timer(loop, [this] { check(); })
{ }

auto GracefulShutdown::begin() -> void
{
    if (std::exchange(m_begun, true)) {
        return;
    }
    logEvent(LogLevel::Info, "leaving");
    m_begunAt = m_loop.now();
    m_timer.startRepeating(checkInterval);
}

auto GracefulShutdown::check() -> void
{
    const auto waited = m_loop.now() - m_begunAt;
    if (waited > m_drainTimeout) {
        logEvent(LogLevel::Warning, "drain-timeout", {{"pending", m_handlers.pendingRequests()}});
        m_handlers.onEnd();
        return;
    }
    const auto removed = !m_handlers.isMember() || waited > maxMemberRemovalWait;
    if (!removed) {
        return;
    }
    m_handlers.drainCallers();
    if (m_handlers.idle()) {
        logEvent(LogLevel::Info, "stopped");
        m_handlers.onEnd();
    }
}

} // namespace figlanding
