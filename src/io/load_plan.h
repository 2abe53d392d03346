#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Workload of the load generator: a reproducible random sequence of requests, in which arrival
/// times, routes, keys and teams all derive from one seed.

namespace figlanding {

/// Describes the requests to one route.
struct LoadRoute
{
    std::string name;
    std::string method = "GET";
    std::string pathPrefix; ///< the request target is this prefix, "/" and the key
    double share = 1.0; ///< weight among all routes
    std::size_t keys = 1000; ///< number of distinct keys
    double zipfExponent = 1.0; ///< exponent of the key popularity; 0 makes it uniform
    bool open = false; ///< sent without a team credential

    auto operator==(const LoadRoute &) const -> bool = default;
};

/// Describes the requests of one team.
struct LoadTeam
{
    std::string name;
    std::string credential; ///< bearer credential, "KEY-ID.SECRET"
    double share = 1.0; ///< weight among all teams

    auto operator==(const LoadTeam &) const -> bool = default;
};

/// A named mix of routes and teams.
struct LoadProfile
{
    std::string name;
    std::vector<LoadRoute> routes;
    std::vector<LoadTeam> teams;

    auto operator==(const LoadProfile &) const -> bool = default;
};

/// Returns a predefined profile.
/// @param name "lavalleja" or "reykjavik"
/// @return the profile, or NotFound for any other name
[[nodiscard]] auto loadPreset(std::string_view name) -> Result<LoadProfile>;

/// One request of a load plan.
struct PlannedRequest
{
    Duration at{}; ///< scheduled send time, relative to the start of the run
    std::uint64_t number = 0; ///< sequence number, from 1
    std::size_t route = 0; ///< index in LoadProfile::routes
    std::size_t team = 0; ///< index in LoadProfile::teams
    std::string key;

    auto operator==(const PlannedRequest &) const -> bool = default;
};

/// Discrete distribution over indices, sampled by inverting the cumulative weights.
class WeightedChoice
{
public:
    /// @param weights relative weight of each index; at least one
    explicit WeightedChoice(const std::vector<double> &weights);

    /// Maps a uniformly distributed number to an index.
    /// @param unit number in [0, 1)
    /// @return index, with a probability in proportion to its weight
    [[nodiscard]] auto choose(double unit) const -> std::size_t;

private:
    std::vector<double> m_cumulative;
};

/// Generates an unbounded sequence of requests with Poisson arrivals. Equal seeds give equal
/// sequences.
class LoadPlan
{
public:
    /// @param profile mix of requests, at least one route and one team
    /// @param ratePerSecond mean number of arrivals per second
    /// @param seed seed of the random number generator
    LoadPlan(LoadProfile profile, double ratePerSecond, std::uint64_t seed);

    /// Generates the next request, in the order of the scheduled send times.
    [[nodiscard]] auto next() -> PlannedRequest;
    [[nodiscard]] auto profile() const -> const LoadProfile &
    {
        return m_profile;
    }

private:
    /// Returns a uniformly distributed number in [0, 1).
    auto drawUniform() -> double;

    LoadProfile m_profile;
    double m_rate;
    std::mt19937_64 m_random;
    WeightedChoice m_routes;
    WeightedChoice m_teams;
    std::vector<WeightedChoice> m_keys; ///< key distribution of each route
    double m_seconds = 0.0; ///< scheduled send time of the last generated request
    std::uint64_t m_number = 0;
};

} // namespace figlanding
