#include "figlanding/hot_keys.h"

#include <algorithm>

namespace figlanding {

HeavyHitters::HeavyHitters(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{ }

auto HeavyHitters::add(std::string_view key) -> void
{
    ++m_total;
    auto name = std::string(key);
    const auto found = m_counters.find(name);
    if (found == m_counters.end() && m_counters.size() >= m_capacity) {
        replaceLeastFrequent(name);
        return;
    }
    auto &counter = found == m_counters.end() ? m_counters[name] : found->second;
    m_byCount.erase({counter.count, name});
    ++counter.count;
    m_byCount.emplace(counter.count, std::move(name));
}

auto HeavyHitters::replaceLeastFrequent(const std::string &key) -> void
{
    const auto least = m_byCount.begin();
    const auto count = least->first;
    m_counters.erase(least->second);
    m_byCount.erase(least);
    m_counters[key] = Counter{.count = count + 1, .error = count};
    m_byCount.emplace(count + 1, key);
}

auto HeavyHitters::top(std::size_t limit) const -> std::vector<KeyCount>
{
    auto result = std::vector<KeyCount>{};
    for (auto entry = m_byCount.rbegin(); entry != m_byCount.rend() && result.size() < limit;
         ++entry) {
        const auto &counter = m_counters.at(entry->second);
        result.push_back({.key = entry->second, .count = counter.count, .error = counter.error});
    }
    return result;
}

auto HeavyHitters::halve() -> void
{
    m_total = 0;
    m_byCount.clear();
    std::erase_if(m_counters, [](const auto &entry) { return entry.second.count <= 1; });
    for (auto &[key, counter] : m_counters) {
        counter.count /= 2;
        counter.error /= 2;
        m_total += counter.count - counter.error;
        m_byCount.emplace(counter.count, key);
    }
}

} // namespace figlanding
