#include "figlanding/gateway/steady_loads.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

constexpr seconds keyLoadWindow{6}; ///< time constant of the averages of key loads
constexpr seconds serviceTimeWindow{4}; ///< and of service times

// Returns the weight of a new value in an average that was updated last at @p updatedAt.
auto weightSince(const std::optional<TimePoint> &updatedAt, TimePoint now, seconds window) -> double
{
    return updatedAt ? 1.0 - std::exp(-std::chrono::duration<double>(now - *updatedAt) / window)
                     : 0.0;
}

auto medianOf(std::vector<double> values) -> double
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

auto SteadyLoads::update(std::span<const float> recent, TimePoint now) -> void
{
    const auto weight = static_cast<float>(weightSince(m_updatedAt, now, keyLoadWindow));
    m_updatedAt = now;
    m_averages.resize(recent.size());
    m_expected.resize(recent.size());
    auto recentSum = 0.0;
    auto averageSum = 0.0;
    auto steadyKeys = 0.0;
    const auto isHot = [&](std::size_t key) {
        return std::max(recent[key], m_averages[key]) >= hotKeyLoad;
    };
    for (std::size_t key = 0; key < recent.size(); ++key) {
        m_averages[key] += weight * (recent[key] - m_averages[key]);
        if (!isHot(key)) {
            recentSum += recent[key];
            averageSum += m_averages[key];
            steadyKeys += 1.0;
        }
    }
    const auto unknown = std::max(0.0, recentSum - averageSum);
    const auto share = static_cast<float>(unknown / std::max(1.0, steadyKeys));
    const auto scale = static_cast<float>(averageSum > recentSum ? recentSum / averageSum : 1.0);
    for (std::size_t key = 0; key < recent.size(); ++key) {
        m_expected[key] = isHot(key) ? recent[key] : m_averages[key] * scale + share;
    }
}

auto SteadyServiceTimes::update(const std::map<BackendServerId, milliseconds> &reported,
                                TimePoint now) -> void
{
    if (reported.empty()) {
        return;
    }
    auto known = std::vector<double>{};
    for (const auto &[server, time] : reported) {
        known.push_back(static_cast<double>(time.count()));
    }
    const auto median = medianOf(std::move(known));
    const auto weight = weightSince(m_updatedAt, now, serviceTimeWindow);
    m_updatedAt = now;
    for (const auto &[server, time] : reported) {
        auto &value = m_values.try_emplace(server, median).first->second;
        value += weight * (static_cast<double>(time.count()) - value);
        m_averages[server] = milliseconds(std::llround(value));
    }
}

} // namespace figlanding
