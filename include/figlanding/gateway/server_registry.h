#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"
#include "figlanding/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// @file
/// Backend servers as they announce themselves in the platform's store.

namespace figlanding {

/// One announcement of a server.
struct ServerEntry
{
    BackendServerId id;
    std::int64_t bornUnixMs = 0; ///< start of this life; with the id it names one life
    ServiceId service;
    SocketAddress address;
    AvailabilityZoneId zone;
    std::uint32_t slots = 1; ///< requests that it runs at once
    bool draining = false;
    milliseconds coldRemaining{}; ///< how much longer it stays cold
    std::uint64_t sequence = 0; ///< counts announcements of this life

    auto operator==(const ServerEntry &) const -> bool = default;
};

/// A server of the registry.
struct RegisteredServer
{
    ServerEntry entry;
    TimePoint firstHeardAt; ///< of this life
    TimePoint coldUntil;

    auto operator==(const RegisteredServer &) const -> bool = default;
};

/// The servers that announced themselves and were not removed.
class ServerRegistry
{
public:
    /// Takes an announcement. One of an older life, or an older one of the same life, is ignored.
    auto announce(const ServerEntry &entry, TimePoint now) -> void;
    /// Removes a server whose entry is gone, unless it announces itself before @p due. An entry
    /// that lapsed while the store was away may come back soon after.
    auto remove(const BackendServerId &id, TimePoint due) -> void;
    [[nodiscard]] auto isToBeRemoved(const BackendServerId &id) const -> bool
    {
        return m_removals.contains(id);
    }
    /// Carries out removals that are due.
    /// @return whether a server was removed
    auto expire(TimePoint now) -> bool;
    /// Sets the zones whose servers are to get no new work.
    auto setEvacuatedZones(std::set<AvailabilityZoneId> zones) -> void;

    [[nodiscard]] auto find(const BackendServerId &id) const -> const RegisteredServer *;
    [[nodiscard]] auto servers() const -> const std::map<BackendServerId, RegisteredServer> &
    {
        return m_servers;
    }
    /// Returns whether a server may get new work: known, not draining, zone not evacuated.
    [[nodiscard]] auto takesWork(const RegisteredServer &server) const -> bool;
    [[nodiscard]] auto evacuatedZones() const -> const std::set<AvailabilityZoneId> &
    {
        return m_evacuated;
    }

private:
    std::map<BackendServerId, RegisteredServer> m_servers;
    std::map<BackendServerId, TimePoint> m_removals;
    std::set<AvailabilityZoneId> m_evacuated;
};

} // namespace figlanding
