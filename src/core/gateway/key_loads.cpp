#include "figlanding/gateway/key_loads.h"

#include <cmath>

namespace figlanding {

namespace {

constexpr seconds loadWindow{2}; ///< time constant of the exponential decay
constexpr milliseconds decayStep{200}; ///< shortest interval between two decays

} // namespace

auto KeyLoads::count(const ServiceId &service, ShardKey key) -> void
{
    m_counts[{service, key}] += 1;
}

auto KeyLoads::takeCounts() -> std::vector<KeyCount>
{
    auto result = std::vector<KeyCount>{};
    for (const auto &[key, requests] : std::exchange(m_counts, {})) {
        result.push_back({.service = key.first, .key = key.second, .requests = requests});
    }
    return result;
}

auto KeyLoads::add(const WorkReport &report) -> void
{
    for (const auto &count : report.keys) {
        auto &loads = m_loads[count.service];
        loads.resize(shardKeyCount);
        loads[count.key] += static_cast<float>(count.requests);
    }
    for (const auto &[server, time] : report.serviceTimes) {
        m_serviceTimes[server] = time;
    }
}

auto KeyLoads::decay(TimePoint now) -> void
{
    if (now - m_decayedAt < decayStep) {
        return;
    }
    const auto elapsed = std::chrono::duration<float>(now - m_decayedAt);
    const auto factor = std::exp(-elapsed / std::chrono::duration<float>(loadWindow));
    m_decayedAt = now;
    for (auto &[service, loads] : m_loads) {
        for (auto &load : loads) {
            load *= factor;
        }
    }
}

} // namespace figlanding
