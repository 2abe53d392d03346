#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <cstddef>
#include <cstdint>
#include <map>

/// @file
/// Learns how much work the requests of each route are, relative to the others of their service.
///
/// A request takes the time of its server multiplied by the factor of its route. Servers and routes
/// are learnt from the same requests, so a server that got long requests does not look slow, and a
/// route whose requests met slow servers does not look long.

namespace figlanding {

/// Settings of RouteWork.
struct RouteWorkOptions
{
    double assumedSamples = 3.0; ///< weight of the average against the first samples of a route
    double sampleWeight = 0.03; ///< least weight of a new sample in a route's factor
    double minFactor = 0.05;
    double maxFactor = 20.0;
    std::size_t maxRoutes = 256; ///< routes beyond this number count as those without samples

    auto operator==(const RouteWorkOptions &) const -> bool = default;
};

/// The factors of the routes of one service.
///
/// Only differences between routes count: with a single route its factor is one, and when all
/// requests take longer than before, the factors stay and the times of the servers follow.
class RouteWork
{
public:
    /// @param options see RouteWorkOptions
    explicit RouteWork(const RouteWorkOptions &options = {});

    /// Records a request that a server completed.
    /// @param relativeTime its time divided by the time of its server, above 0
    auto add(const RouteId &route, double relativeTime) -> void;
    /// Returns the time of a route's requests divided by that of their server. A route without
    /// samples counts as the average request.
    [[nodiscard]] auto factor(const RouteId &route) const -> double;
    /// Returns the average factor of the recent requests.
    [[nodiscard]] auto mean() const -> double;
    /// Divides all factors by their average if it is far from 1. Only the product of a factor and a
    /// server's time is learnt, so both may drift, one up and the other down.
    /// @return by what the times of the servers must be multiplied; 1 if nothing changes
    [[nodiscard]] auto rebase() -> double;

private:
    struct Route
    {
        double factor = 1.0;
        std::uint32_t samples = 0;
    };

    RouteWorkOptions m_options;
    std::map<RouteId, Route> m_routes;
    /// Average time of recent requests divided by what their route and server let expect: above 1
    /// while all servers are slower than they were.
    double m_level = 1.0;
    double m_mean = 1.0;
};

} // namespace figlanding
