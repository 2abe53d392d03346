#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_version.h"
#include "figlanding/gateway/version_rules.h"
#include "figlanding/names.h"
#include "figlanding/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// @file
/// Registry of backend servers, fed by the announcements that they write to the platform's store.

namespace figlanding {

/// An announcement of a server.
struct ServerEntry
{
    BackendServerId id;
    std::int64_t startedUnixMs = 0; ///< start time; identifies the incarnation together with the id
    ServiceId service;
    SocketAddress address;
    AvailabilityZoneId zone;
    ServerVersion version; ///< empty if the server does not state it
    std::uint32_t slots = 1; ///< number of requests that it runs concurrently
    bool draining = false;
    milliseconds coldRemaining{}; ///< time until it has warmed up
    std::uint64_t sequence = 0; ///< number of the announcement within the incarnation

    auto operator==(const ServerEntry &) const -> bool = default;
};

/// A server in the registry.
struct RegisteredServer
{
    /// As announced. What this VM knows from elsewhere is kept apart: whether an announcement is
    /// news for the other VMs depends on earlier announcements alone.
    ServerEntry entry;
    bool leaving = false; ///< the server said so itself, in a response to this VM
    TimePoint firstSeenAt; ///< first announcement of this incarnation
    TimePoint coldUntil;

    auto operator==(const RegisteredServer &) const -> bool = default;
};

/// Whether the owner of a key can be sent requests for it.
enum class OwnerState {
    Usable,
    Unknown, ///< its announcement has not been read yet
    Leaving, ///< it is draining, or its zone is evacuated
    Restarted, ///< it runs again, without the keys of its earlier incarnation
    Gone, ///< it was removed
};

/// Holds the servers that announced themselves and were not removed.
class ServerRegistry
{
public:
    /// Processes an announcement. Announcements of an older incarnation, or older ones of the same
    /// incarnation, are ignored.
    auto announce(const ServerEntry &entry, TimePoint now) -> void;
    /// Records that a server said itself that it is leaving. It then accepts no new requests,
    /// whatever the store says or cannot say.
    /// @return whether that is news
    auto onLeaving(const ServerIncarnation &server) -> bool;
    /// Schedules the removal of a server whose entry was deleted. An announcement before @p due
    /// cancels it: an entry that expired while the store was unavailable may reappear shortly
    /// after.
    auto remove(const BackendServerId &id, TimePoint due) -> void;
    /// Returns whether a removal of the server is scheduled.
    [[nodiscard]] auto isToBeRemoved(const BackendServerId &id) const -> bool
    {
        return m_removals.contains(id);
    }
    /// Removes the servers whose removal is due.
    /// @return whether any server was removed
    auto expire(TimePoint now) -> bool;
    /// Sets the zones whose servers get no new requests.
    auto setEvacuatedZones(std::set<AvailabilityZoneId> zones) -> void;
    /// Sets which versions may get requests and keys.
    auto setVersionRules(VersionRules rules) -> void;
    [[nodiscard]] auto versionRules() const -> const VersionRules &
    {
        return m_versionRules;
    }

    /// Returns a server, or null if it is not registered.
    [[nodiscard]] auto find(const BackendServerId &id) const -> const RegisteredServer *;
    [[nodiscard]] auto servers() const -> const std::map<BackendServerId, RegisteredServer> &
    {
        return m_servers;
    }
    /// Returns whether the owner of a key can be sent requests for it.
    [[nodiscard]] auto ownerState(const ServerIncarnation &owner) const -> OwnerState;
    /// Returns whether the last server that announced itself at an address is registered and
    /// started after @p unixMs.
    [[nodiscard]] auto hasLaterServerAt(const SocketAddress &address, std::int64_t unixMs) const
        -> bool;
    /// Returns when a server was removed; nothing if it never was, or is registered.
    [[nodiscard]] auto goneSince(const BackendServerId &id) const -> std::optional<TimePoint>;
    /// Returns whether a server accepts new requests: it is neither draining nor leaving, its zone
    /// is not evacuated, and its version is allowed.
    [[nodiscard]] auto acceptsRequests(const RegisteredServer &server) const -> bool;
    /// Returns whether a server may own keys: it accepts new requests, and no roll-out moves its
    /// keys away.
    [[nodiscard]] auto acceptsKeys(const RegisteredServer &server) const -> bool;
    [[nodiscard]] auto evacuatedZones() const -> const std::set<AvailabilityZoneId> &
    {
        return m_evacuated;
    }

private:
    auto noteAddress(const ServerEntry &entry) -> void;

    std::map<BackendServerId, RegisteredServer> m_servers;
    std::map<SocketAddress, BackendServerId> m_latestAt; ///< with the latest start, by address
    std::map<BackendServerId, TimePoint> m_removals;
    std::map<BackendServerId, TimePoint> m_goneSince; ///< removed lately
    std::set<AvailabilityZoneId> m_evacuated;
    VersionRules m_versionRules;
};

} // namespace figlanding
