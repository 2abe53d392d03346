#include "figlanding/gateway/server_registry.h"

#include <utility>

namespace figlanding {

namespace {

constexpr seconds goneMemory{60}; ///< longer than any key stays without a new owner

} // namespace

auto ServerRegistry::announce(const ServerEntry &entry, TimePoint now) -> void
{
    auto &server = m_servers[entry.id];
    const auto &known = server.entry;
    const auto isNew = server.entry.id.empty();
    if (!isNew && entry.startedUnixMs < known.startedUnixMs) {
        return;
    }
    const auto newIncarnation = isNew || entry.startedUnixMs > known.startedUnixMs;
    if (!newIncarnation && entry.sequence < known.sequence) {
        return;
    }
    // Service and address are fixed for an incarnation; an entry that changes them was not written
    // by the server itself.
    if (!newIncarnation && (entry.service != known.service || entry.address != known.address)) {
        return;
    }
    m_removals.erase(entry.id);
    m_goneSince.erase(entry.id);
    const auto wasDraining = !newIncarnation && known.draining;
    server.entry = entry;
    server.entry.draining = entry.draining || wasDraining; // draining is final for an incarnation
    server.leaving = !newIncarnation && server.leaving;
    server.firstSeenAt = newIncarnation ? now : server.firstSeenAt;
    server.coldUntil = now + entry.coldRemaining;
    if (newIncarnation) {
        noteAddress(entry);
    }
}

auto ServerRegistry::onLeaving(const ServerIncarnation &server) -> bool
{
    const auto found = m_servers.find(server.server);
    if (found == m_servers.end() || found->second.entry.startedUnixMs != server.startedUnixMs) {
        return false;
    }
    const auto isNews = !found->second.leaving && !found->second.entry.draining;
    found->second.leaving = true;
    return isNews;
}

auto ServerRegistry::remove(const BackendServerId &id, TimePoint due) -> void
{
    if (m_servers.contains(id)) {
        m_removals.try_emplace(id, due);
    }
}

auto ServerRegistry::expire(TimePoint now) -> bool
{
    const auto before = m_servers.size();
    std::erase_if(m_removals, [&](const auto &item) {
        const auto due = item.second <= now;
        if (due) {
            m_servers.erase(item.first);
            std::erase_if(m_latestAt, [&](const auto &at) { return at.second == item.first; });
            m_goneSince[item.first] = now;
        }
        return due;
    });
    std::erase_if(m_goneSince, [&](const auto &item) { return now - item.second > goneMemory; });
    return m_servers.size() != before;
}

auto ServerRegistry::setEvacuatedZones(std::set<AvailabilityZoneId> zones) -> void
{
    m_evacuated = std::move(zones);
}

auto ServerRegistry::setVersionRules(VersionRules rules) -> void
{
    m_versionRules = std::move(rules);
}

auto ServerRegistry::find(const BackendServerId &id) const -> const RegisteredServer *
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

auto ServerRegistry::ownerState(const ServerIncarnation &owner) const -> OwnerState
{
    const auto *server = find(owner.server);
    if (server == nullptr) {
        return m_goneSince.contains(owner.server) ? OwnerState::Gone : OwnerState::Unknown;
    }
    if (server->entry.startedUnixMs > owner.startedUnixMs) {
        return OwnerState::Restarted;
    }
    if (server->entry.startedUnixMs < owner.startedUnixMs) {
        return OwnerState::Unknown;
    }
    return acceptsRequests(*server) ? OwnerState::Usable : OwnerState::Leaving;
}

auto ServerRegistry::hasLaterServerAt(const SocketAddress &address, std::int64_t unixMs) const
    -> bool
{
    const auto latest = m_latestAt.find(address);
    const auto *server = latest == m_latestAt.end() ? nullptr : find(latest->second);
    return server != nullptr && server->entry.address == address
        && server->entry.startedUnixMs > unixMs;
}

auto ServerRegistry::noteAddress(const ServerEntry &entry) -> void
{
    auto &latest = m_latestAt[entry.address];
    const auto *known = find(latest);
    if (known == nullptr || known->entry.address != entry.address
        || known->entry.startedUnixMs <= entry.startedUnixMs) {
        latest = entry.id;
    }
}

auto ServerRegistry::goneSince(const BackendServerId &id) const -> std::optional<TimePoint>
{
    const auto found = m_goneSince.find(id);
    return found == m_goneSince.end() ? std::nullopt : std::optional(found->second);
}

auto ServerRegistry::acceptsRequests(const RegisteredServer &server) const -> bool
{
    return !server.entry.draining && !server.leaving && !m_evacuated.contains(server.entry.zone)
        && allowsRequests(m_versionRules, server.entry);
}

auto ServerRegistry::acceptsKeys(const RegisteredServer &server) const -> bool
{
    return acceptsRequests(server) && allowsKeys(m_versionRules, server.entry);
}

} // namespace figlanding
