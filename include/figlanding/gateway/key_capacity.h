#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>

/// @file
/// Request throughput of the servers of a keyed service, as far as reports tell.

namespace figlanding {

/// Estimates the request throughput of the servers of one service.
///
/// A reported service time may be that of a single response, and an error or a short request says
/// little about the speed of a server. Times far from the median of the service are therefore
/// limited: otherwise such a server gets a multiple of the keys that it can serve.
class ServerCapacities
{
public:
    /// @param serviceTimes last reported, by server
    /// @param limits that servers state, in requests per second, by server; may be null
    ServerCapacities(const ServerRegistry &registry, const ServiceId &service,
                     const std::map<BackendServerId, milliseconds> &serviceTimes,
                     const std::map<BackendServerId, double> *limits = nullptr);

    /// Returns the throughput of @p server within its limit: that of a server with one slot and a
    /// service time of 150 ms is 1.
    [[nodiscard]] auto of(const RegisteredServer &server) const -> double;

private:
    const std::map<BackendServerId, milliseconds> &m_serviceTimes;
    const std::map<BackendServerId, double> *m_limits;
    double m_medianMs = 0.0;
};

} // namespace figlanding
