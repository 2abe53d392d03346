#include "standins/fence_table.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace figlanding::standins {

auto FenceTable::renewLease(std::uint64_t offset, TimePoint until) -> bool
{
    if (offset < m_leaseOffset) {
        return false;
    }
    m_leaseOffset = offset;
    m_leaseUntil = until;
    return true;
}

auto FenceTable::grant(const nlohmann::json &command) -> bool
{
    return change(command, true);
}

auto FenceTable::revoke(const nlohmann::json &command) -> bool
{
    return change(command, false);
}

auto FenceTable::change(const nlohmann::json &command, bool granted) -> bool
{
    const auto service = command.at("service").get<std::string>();
    const auto fence = command.at("fence").get<std::uint64_t>();
    auto names = std::vector<std::string>{};
    for (const auto &shard : command.value("shards", nlohmann::json::array())) {
        names.push_back(std::to_string(shard.get<std::uint32_t>()));
    }
    for (const auto &key : command.value("keys", nlohmann::json::array())) {
        names.push_back("key:" + key.get<std::string>());
    }
    for (const auto &name : names) {
        const auto found = m_entries.find({service, name});
        if (found != m_entries.end() && fence < found->second.fence) {
            return false;
        }
    }
    for (const auto &name : names) {
        m_entries[{service, name}] = {.fence = fence, .granted = granted};
    }
    return true;
}

auto FenceTable::allows(const std::string &service, const std::string &shard, std::uint64_t fence,
                        TimePoint now) const -> bool
{
    const auto found = m_entries.find({service, shard});
    return now < m_leaseUntil && found != m_entries.end() && found->second.granted
        && found->second.fence == fence;
}

} // namespace figlanding::standins
