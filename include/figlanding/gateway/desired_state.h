#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// The configuration that operators publish as a single document, and the lookup of its routes,
/// services and teams.

namespace figlanding {

/// Whether a request may be sent to a server more than once.
enum class Repeatability {
    Idempotent, ///< may run several times
    AtMostOnce, ///< must not run more than once
};

/// A service and its share of a route's traffic.
struct WeightedService
{
    ServiceId service;
    double weight = 1.0; ///< relative to the other services of the route

    auto operator==(const WeightedService &) const -> bool = default;
};

/// Maps requests of one host and path prefix to services.
struct DesiredRoute
{
    RouteId id;
    std::string host; ///< without port
    std::string pathPrefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    milliseconds timeout{1000}; ///< upper bound for the final response to a caller
    milliseconds latencyObjective{300};
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxAttempts = 1; ///< number of servers that a request may be sent to
    bool open = false; ///< requests need no API key of a team
    std::vector<WeightedService> services;

    auto operator==(const DesiredRoute &) const -> bool = default;
};

/// The configuration of a service.
struct DesiredService
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< limit per server, summed over all VMs
    milliseconds coldPhase{}; ///< duration of a cold start
    double coldRequestsPerSecond = 0.0; ///< rate that a cold server can serve
    bool keyed = false; ///< each server owns ranges of keys exclusively

    auto operator==(const DesiredService &) const -> bool = default;
};

/// A team, its API keys and its rate limit, which applies to all VMs together.
struct DesiredTeam
{
    TeamId id;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    double ratePerSecond = 0.0; ///< requests per second; 0: no limit
    double burst = 0.0; ///< requests

    auto operator==(const DesiredTeam &) const -> bool = default;
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024;
    milliseconds idleTimeout{15'000};

    auto operator==(const CallerLimits &) const -> bool = default;
};

/// One version of the complete configuration.
struct DesiredState
{
    std::uint64_t version = 0; ///< 0: no configuration was read yet
    std::vector<DesiredRoute> routes;
    std::vector<DesiredService> services;
    std::vector<DesiredTeam> teams;
    CallerLimits limits;

    auto operator==(const DesiredState &) const -> bool = default;
};

/// Index over a configuration for the lookups of the request path.
class DesiredStateIndex
{
public:
    DesiredStateIndex() = default;
    explicit DesiredStateIndex(DesiredState state);

    [[nodiscard]] auto state() const -> const DesiredState &
    {
        return m_state;
    }
    /// Returns the route of @p host whose path prefix is the longest match of @p path, or null.
    /// @param host value of the Host header, with or without a port
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const
        -> const DesiredRoute *;
    /// Returns the team that @p apiKey belongs to, or null.
    [[nodiscard]] auto findTeam(const std::string &apiKey) const -> const DesiredTeam *;
    /// Returns a service, or null if it is not configured.
    [[nodiscard]] auto findService(const ServiceId &service) const -> const DesiredService *;
    /// Returns whether any team is configured; without teams no request needs an API key.
    [[nodiscard]] auto hasTeams() const -> bool
    {
        return !m_state.teams.empty();
    }

private:
    DesiredState m_state;
    /// Indexes of routes by host, longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_teamsByKey;
    std::unordered_map<ServiceId, std::size_t> m_services;
};

/// Picks a service of @p route in proportion to the weights.
/// @param uniform random number in [0, 1)
[[nodiscard]] auto pickService(const DesiredRoute &route, double uniform) -> const ServiceId &;

} // namespace figlanding
