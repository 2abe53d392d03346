#include "io/connection_registry.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t maxRequestsPerConnection = 1024; ///< that have an id; 8 KiB

// Looks for unread input. Returns 1 if there is some, 0 at its end, -1 if there is none yet.
auto peek(int fd) -> ssize_t
{
    auto byte = char{};
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

} // namespace

auto ConnectionRegistry::EndpointsHash::operator()(const ConnectionEndpoints &endpoints) const
    -> std::size_t
{
    const auto ports = (static_cast<std::uint64_t>(endpoints.remotePort) << 16)
        | static_cast<std::uint64_t>(endpoints.localPort);
    return std::hash<std::string>{}(endpoints.remoteIp) ^ std::hash<std::uint64_t>{}(ports);
}

auto ConnectionRegistry::add(ConnectionEndpoints endpoints, int fd) -> void
{
    remove(fd);
    m_sockets[endpoints] = fd;
    m_socketsByServer[serverOf(endpoints)].push_back(fd);
    m_entries[fd] = Entry{.endpoints = std::move(endpoints), .lastUsed = {}};
}

auto ConnectionRegistry::remove(int fd) -> void
{
    const auto entry = m_entries.find(fd);
    if (entry == m_entries.end()) {
        return;
    }
    const auto socket = m_sockets.find(entry->second.endpoints);
    if (socket != m_sockets.end() && socket->second == fd) {
        m_sockets.erase(socket);
    }
    const auto ofServer = m_socketsByServer.find(serverOf(entry->second.endpoints));
    std::erase(ofServer->second, fd);
    if (ofServer->second.empty()) {
        m_socketsByServer.erase(ofServer);
    }
    m_entries.erase(entry);
}

auto ConnectionRegistry::find(const ConnectionEndpoints &endpoints) const -> int
{
    const auto socket = m_sockets.find(endpoints);
    return socket == m_sockets.end() ? -1 : socket->second;
}

auto ConnectionRegistry::setIdle(int fd, TimePoint now) -> void
{
    const auto entry = m_entries.find(fd);
    if (entry != m_entries.end()) {
        entry->second.lastUsed = now;
        entry->second.idle = true;
    }
}

auto ConnectionRegistry::setBusy(int fd) -> void
{
    const auto entry = m_entries.find(fd);
    if (entry != m_entries.end()) {
        entry->second.idle = false;
    }
}

auto ConnectionRegistry::unexpectedInputFrom(int fd) const -> std::optional<SocketAddress>
{
    const auto entry = m_entries.find(fd);
    if (entry == m_entries.end() || !entry->second.idle || peek(fd) <= 0) {
        return std::nullopt;
    }
    return serverOf(entry->second.endpoints);
}

auto ConnectionRegistry::setUnanswered(int fd, bool unanswered) -> void
{
    const auto entry = m_entries.find(fd);
    if (entry != m_entries.end()) {
        entry->second.unanswered = unanswered;
    }
}

auto ConnectionRegistry::unanswered(int fd) const -> bool
{
    const auto entry = m_entries.find(fd);
    return entry != m_entries.end() && entry->second.unanswered;
}

auto ConnectionRegistry::addRequest(int fd, std::string_view requestId) -> void
{
    const auto entry = m_entries.find(fd);
    if (entry != m_entries.end()) {
        entry->second.requests.push_back(std::hash<std::string_view>{}(requestId));
    }
}

auto ConnectionRegistry::hasCarried(const SocketAddress &server, std::string_view requestId) const
    -> bool
{
    const auto sockets = m_socketsByServer.find(server);
    return sockets != m_socketsByServer.end()
        && std::any_of(sockets->second.begin(), sockets->second.end(),
                       [&](int fd) { return m_entries.at(fd).carried(requestId); });
}

auto ConnectionRegistry::distinguishes(int fd, std::string_view requestId) const -> bool
{
    const auto entry = m_entries.find(fd);
    if (entry == m_entries.end()) {
        return false;
    }
    return entry->second.requests.size() < maxRequestsPerConnection
        && !entry->second.carried(requestId);
}

auto ConnectionRegistry::Entry::carried(std::string_view requestId) const -> bool
{
    const auto hash = std::hash<std::string_view>{}(requestId);
    return std::find(requests.begin(), requests.end(), hash) != requests.end();
}

auto ConnectionRegistry::serverOf(const ConnectionEndpoints &endpoints) -> SocketAddress
{
    return {.ip = endpoints.remoteIp, .port = static_cast<std::uint16_t>(endpoints.remotePort)};
}

auto ConnectionRegistry::reusable(int fd, TimePoint now, Duration maxIdleAge) const -> bool
{
    const auto entry = m_entries.find(fd);
    if (entry == m_entries.end() || now - entry->second.lastUsed > maxIdleAge) {
        return false;
    }
    return peek(fd) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace figlanding
