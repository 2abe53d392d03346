#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/names.h"

#include <map>
#include <vector>

/// @file
/// Servers that asked this VM to send them nothing for a time.

namespace figlanding {

/// Holds the pauses that servers asked for. They bind this VM only; other VMs may send requests.
class ServerPauses
{
public:
    /// Records that a server of @p service asked for a pause. An earlier, longer one stays.
    auto add(const ServerIncarnation &server, const ServiceId &service, TimePoint until) -> void;
    /// Returns whether a server still wants no request of this VM.
    [[nodiscard]] auto isPaused(const ServerIncarnation &server, TimePoint now) const -> bool;
    /// Returns the servers of a service that want no request of this VM.
    [[nodiscard]] auto pausedServers(const ServiceId &service, TimePoint now) const
        -> std::vector<BackendServerId>;
    /// Forgets the pauses that have ended.
    auto expire(TimePoint now) -> void;

private:
    struct Pause
    {
        ServiceId service;
        TimePoint until;
    };

    std::map<ServerIncarnation, Pause> m_pauses;
};

} // namespace figlanding
