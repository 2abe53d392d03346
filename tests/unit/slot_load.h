#pragma once

#include "figlanding/gateway/slot_broker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// @file
/// Plays callers and servers against a SlotBroker in virtual time.

namespace figlanding::test {

/// Callers that send requests of one route at a constant rate.
struct LoadedRoute
{
    RouteId id;
    double perSecond = 0.0;
    milliseconds work{}; ///< time of a request at a server of speed 1
    std::uint32_t priority = 0;
    milliseconds objective{};
    milliseconds deadline{};
    std::uint32_t returns = 1; ///< times that a refused caller comes back
    milliseconds from{}; ///< begin, from that of the load
    BackendServerId owner; ///< server that alone may run the requests; empty if any may
    double spread = 0.0; ///< of the logarithm of the work; zero: the work varies by 30 %
    milliseconds firstWork{}; ///< time of the first request; zero if it is as the others
};

/// A server and what is wrong with it.
struct LoadedServer
{
    BackendServerId id;
    std::uint32_t slots = 2;
    double speed = 1.0;
    double shedding = 0.0; ///< share of requests that it rejects although a slot is free
    std::uint32_t takenSlots = 0; ///< by requests that the broker does not know of
};

/// What the callers of a route got.
struct CallerOutcomes
{
    int callers = 0;
    int inAim = 0; ///< served within the objective, counted from the first attempt
    int late = 0; ///< served later
    int refused = 0; ///< not served at all
    int refusals = 0; ///< refused attempts, also of callers that were served later
};

/// One service under load.
class SlotLoad
{
public:
    SlotLoad(const std::vector<LoadedServer> &servers, std::uint64_t seed);

    /// Plays load for a time, and then until every caller has an outcome.
    auto run(const std::vector<LoadedRoute> &routes, Duration time)
        -> std::map<RouteId, CallerOutcomes>;
    /// Returns how many requests each server rejected.
    [[nodiscard]] auto rejections() const -> const std::map<BackendServerId, int> &
    {
        return m_rejections;
    }

private:
    struct Caller
    {
        const LoadedRoute *route = nullptr;
        milliseconds work{};
        TimePoint firstAt;
        std::uint32_t returnsLeft = 0;
        std::vector<BackendServerId> excluded;
    };

    auto arrive(const Caller &caller) -> void;
    auto acquire(const Caller &caller) -> void;
    auto takeDecisions() -> void;
    auto send(const TicketId &id, const Caller &caller, const BackendServerId &server) -> void;
    auto reject(const TicketId &id, Caller caller, const LoadedServer &server) -> void;
    auto refuse(Caller caller, Duration retryAfter) -> void;
    auto after(Duration delay, std::function<void()> event) -> void;

    SlotBroker m_broker;
    std::map<BackendServerId, LoadedServer> m_servers;
    std::map<BackendServerId, std::uint32_t> m_running;
    std::map<BackendServerId, int> m_rejections;
    std::map<TicketId, Caller> m_callers;
    std::map<RouteId, CallerOutcomes> m_outcomes;
    std::multimap<TimePoint, std::function<void()>> m_events;
    RandomEngine m_random;
    TimePoint m_now;
    std::uint64_t m_nextTicket = 1;
    double m_retries = 5.0; ///< budget of further attempts
};

} // namespace figlanding::test
