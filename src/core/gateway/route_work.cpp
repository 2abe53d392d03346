#include "figlanding/gateway/route_work.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

/// Weight of a request in the averages over all routes. They follow changes that concern all
/// requests before the factors of single routes do.
constexpr double commonWeight = 0.06;
/// A single request counts as at most this multiple of its route's factor, so that one that stalled
/// does not make its route seem unservable.
constexpr double maxSampleRatio = 4.0;
constexpr double maxDrift = 2.0; ///< of the average factor from one, up or down

auto average(double &value, double sample, double weight) -> void
{
    value += weight * (sample - value);
}

} // namespace

RouteWork::RouteWork(const RouteWorkOptions &options)
    : m_options(options)
{ }

auto RouteWork::add(const RouteId &route, double relativeTime) -> void
{
    if (route.empty()) {
        return; // VMs of earlier releases do not name it
    }
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= m_options.maxRoutes) {
            return;
        }
        found = m_routes.emplace(route, Route{.factor = m_mean}).first;
    }
    auto &known = found->second;
    known.samples += 1;
    average(m_mean, known.factor, commonWeight);
    if (m_routes.size() == 1) {
        return;
    }
    // A route that is not known yet says nothing of the others.
    if (known.samples * m_options.sampleWeight >= 1.0) {
        const auto ratio = relativeTime / known.factor;
        average(m_level, std::clamp(ratio, m_options.minFactor, m_options.maxFactor), commonWeight);
    }
    const auto weight =
        std::max(m_options.sampleWeight, 1.0 / (known.samples + m_options.assumedSamples));
    const auto sample = std::clamp(relativeTime / m_level, known.factor / maxSampleRatio,
                                   known.factor * maxSampleRatio);
    average(known.factor, sample, weight);
    known.factor = std::clamp(known.factor, m_options.minFactor, m_options.maxFactor);
}

auto RouteWork::factor(const RouteId &route) const -> double
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? m_mean : found->second.factor;
}

auto RouteWork::mean() const -> double
{
    return m_mean;
}

auto RouteWork::rebase() -> double
{
    if (m_mean >= 1.0 / maxDrift && m_mean <= maxDrift) {
        return 1.0;
    }
    const auto scale = std::exchange(m_mean, 1.0);
    for (auto &[id, route] : m_routes) {
        route.factor /= scale;
    }
    return scale;
}

} // namespace figlanding
