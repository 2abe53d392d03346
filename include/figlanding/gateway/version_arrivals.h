#pragma once

#include "figlanding/gateway/server_registry.h"

#include <map>
#include <set>

/// @file
/// Holds back servers of a version that nobody has mentioned yet: the order that announces it may
/// be read after the servers' announcements.

namespace figlanding {

/// When the versions of each service were first seen.
class VersionArrivals
{
public:
    /// Notes the versions of all servers.
    auto note(const ServerRegistry &registry, TimePoint now) -> void;
    /// Returns the versions of a service that came a short time ago. The versions that were there
    /// first are not among them.
    [[nodiscard]] auto heldBack(const ServiceId &service, TimePoint now) const
        -> std::set<ServerVersion>;
    /// Returns the services that have servers.
    [[nodiscard]] auto services() const -> std::set<ServiceId>;

private:
    struct Arrivals
    {
        TimePoint first; ///< of any server of the service
        std::map<ServerVersion, TimePoint> versions;
    };

    std::map<ServiceId, Arrivals> m_services;
};

} // namespace figlanding
