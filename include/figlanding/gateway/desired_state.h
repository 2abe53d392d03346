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
/// The configuration that operators publish as one whole document, and how requests match it.

namespace figlanding {

/// What may be done with a request beyond sending it once.
enum class Repeatability {
    Idempotent, ///< may run more than once
    AtMostOnce, ///< may run once at most
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
    milliseconds timeout{1000}; ///< a caller has its final answer by then
    milliseconds latencyObjective{300};
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxAttempts = 1; ///< servers that one request may be sent to
    bool open = false; ///< needs no team key
    std::vector<WeightedService> services;

    auto operator==(const DesiredRoute &) const -> bool = default;
};

/// A service as operators describe it.
struct DesiredService
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< to one server, from all VMs together
    milliseconds coldPhase{}; ///< length of a cold start
    double coldRequestsPerSecond = 0.0; ///< that a cold server bears
    bool keyed = false; ///< its servers own ranges of keys

    auto operator==(const DesiredService &) const -> bool = default;
};

/// A team, its secrets and its fleet-wide rate.
struct DesiredTeam
{
    TeamId id;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> priority; ///< goes before the route's priority
    double ratePerSecond = 0.0; ///< 0: no limit
    double burst = 0.0; ///< requests

    auto operator==(const DesiredTeam &) const -> bool = default;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024;
    milliseconds idleTimeout{15'000};

    auto operator==(const CallerLimits &) const -> bool = default;
};

/// One version of the whole configuration.
struct DesiredState
{
    std::uint64_t version = 0; ///< 0: none was read yet
    std::vector<DesiredRoute> routes;
    std::vector<DesiredService> services;
    std::vector<DesiredTeam> teams;
    CallerLimits limits;

    auto operator==(const DesiredState &) const -> bool = default;
};

/// Answers the questions of the request path in constant time.
class DesiredStateIndex
{
public:
    DesiredStateIndex() = default;
    explicit DesiredStateIndex(DesiredState state);

    [[nodiscard]] auto state() const -> const DesiredState &
    {
        return m_state;
    }
    /// Returns the route of @p host with the longest prefix of @p path, or null.
    /// @param host value of the Host header, with or without a port
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const
        -> const DesiredRoute *;
    /// Returns the team that holds @p apiKey, or null.
    [[nodiscard]] auto findTeam(const std::string &apiKey) const -> const DesiredTeam *;
    /// Returns a service, or null.
    [[nodiscard]] auto findService(const ServiceId &service) const -> const DesiredService *;
    /// Returns whether requests need a team key at all.
    [[nodiscard]] auto hasTeams() const -> bool
    {
        return !m_state.teams.empty();
    }

private:
    DesiredState m_state;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< longest first
    std::unordered_map<std::string, std::size_t> m_teamsByKey;
    std::unordered_map<ServiceId, std::size_t> m_services;
};

/// Picks a service of @p route in proportion to the weights.
/// @param uniform random number in [0, 1)
[[nodiscard]] auto pickService(const DesiredRoute &route, double uniform) -> const ServiceId &;

} // namespace figlanding
