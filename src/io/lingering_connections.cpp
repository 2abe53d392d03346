#include "io/lingering_connections.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t blockBytes = std::size_t{16} * 1024;
constexpr int blocksPerEvent = 8; ///< others are served between them

} // namespace

LingeringConnections::LingeringConnections(EventLoop &loop, LingerLimits limits)
    : m_loop(loop)
    , m_limits(limits)
    , m_timer(loop, [this] { closeExpired(); })
{ }

LingeringConnections::~LingeringConnections()
{
    while (closeOldest()) { }
}

auto LingeringConnections::add(FileDescriptor connection) -> void
{
    ::shutdown(connection.get(), SHUT_WR);
    const auto position = m_connections.insert(
        m_connections.end(),
        {.socket = std::move(connection), .watcher = {}, .until = m_loop.now() + m_limits.time});
    if (!mayHaveInput(*position)) {
        m_connections.erase(position);
        return;
    }
    position->watcher =
        std::make_unique<IoWatcher>(m_loop, position->socket.get(), [this, position](IoEvents) {
            if (!mayHaveInput(*position)) {
                m_connections.erase(position);
            }
        });
    position->watcher->watch(IoEvents::Read);
    if (!m_timer.active()) {
        m_timer.startOnce(m_limits.time);
    }
}

// Reads and discards what has arrived. Returns whether more may come: false if the peer has ended
// or reset the connection, or has sent more than the limit.
auto LingeringConnections::mayHaveInput(Connection &connection) const -> bool
{
    auto block = std::array<char, blockBytes>{};
    for (auto count = 0; count < blocksPerEvent; ++count) {
        const auto size = ::recv(connection.socket.get(), block.data(), block.size(), MSG_DONTWAIT);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        connection.readBytes += static_cast<std::size_t>(size);
        if (size == 0 || connection.readBytes > m_limits.inputBytes) {
            return false;
        }
    }
    return true;
}

auto LingeringConnections::closeOldest() -> bool
{
    if (m_connections.empty()) {
        return false;
    }
    (void)mayHaveInput(m_connections.front());
    m_connections.pop_front();
    return true;
}

auto LingeringConnections::closeExpired() -> void
{
    const auto now = m_loop.now();
    while (!m_connections.empty() && m_connections.front().until <= now) {
        (void)closeOldest();
    }
    if (!m_connections.empty()) {
        m_timer.startOnce(m_connections.front().until - now);
    }
}

} // namespace figlanding
