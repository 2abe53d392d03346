#include "figlanding/command_tracker.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace figlanding {

namespace {

// Returns whether all items of @p newer are also in @p older. All lists are sorted.
auto covers(const MovingItems &older, const MovingItems &newer) -> bool
{
    return std::includes(older.shards.begin(), older.shards.end(), newer.shards.begin(),
                         newer.shards.end())
        && std::includes(older.keys.begin(), older.keys.end(), newer.keys.begin(),
                         newer.keys.end());
}

} // namespace

CommandTracker::CommandTracker(milliseconds retryInterval)
    : m_retryInterval(retryInterval)
{ }

auto CommandTracker::setCommands(std::map<ServerCommand, MovingItems> &&commands) -> void
{
    auto next = std::map<ServerCommand, Status>{};
    for (auto &[command, items] : commands) {
        const auto known = m_commands.find(command);
        auto status = Status{};
        if (known != m_commands.end() && covers(known->second.items, items)) {
            status = std::move(known->second);
        }
        status.items = std::move(items);
        next.emplace(command, std::move(status));
    }
    m_commands = std::move(next);
}

auto CommandTracker::onAcknowledged(const ServerCommand &command) -> void
{
    const auto found = m_commands.find(command);
    if (found != m_commands.end()) {
        found->second.acknowledged = true;
    }
}

auto CommandTracker::resetAcknowledgements(const BackendServerId &server) -> void
{
    for (auto &[command, status] : m_commands) {
        if (command.server == server) {
            status.acknowledged = false;
            status.sentAt.reset();
        }
    }
}

auto CommandTracker::isAcknowledged(const ServerCommand &command) const -> bool
{
    const auto found = m_commands.find(command);
    return found != m_commands.end() && found->second.acknowledged;
}

auto CommandTracker::due(TimePoint now, std::size_t limit)
    -> std::vector<std::pair<ServerCommand, MovingItems>>
{
    auto result = std::vector<std::pair<ServerCommand, MovingItems>>{};
    for (auto &[command, status] : m_commands) {
        if (result.size() == limit) {
            break;
        }
        if (!status.acknowledged && (!status.sentAt || now - *status.sentAt >= m_retryInterval)) {
            status.sentAt = now;
            result.emplace_back(command, status.items);
        }
    }
    return result;
}

auto requiredGrants(const ClusterState &state) -> std::map<ServerCommand, MovingItems>
{
    auto acceptsGrants = std::unordered_map<BackendServerId, bool>{};
    const auto isGranted = [&](const Assignment &assignment) {
        if (assignment.moving() || assignment.owner.empty()) {
            return false;
        }
        const auto [entry, isNew] = acceptsGrants.try_emplace(assignment.owner, false);
        if (isNew) {
            entry->second = checksFence(state, assignment.owner) && isUp(state, assignment.owner);
        }
        return entry->second;
    };
    auto grants = std::map<ServerCommand, MovingItems>{};
    for (const auto &[service, assignments] : state.assignments) {
        for (std::size_t shard = 0; shard < assignments.shards.size(); ++shard) {
            const auto &assignment = assignments.shards[shard];
            if (isGranted(assignment)) {
                grants[ServerCommand{assignment.owner, service, assignment.fence}].shards.push_back(
                    static_cast<ShardIndex>(shard));
            }
        }
        for (const auto &[key, assignment] : assignments.isolatedKeys) {
            if (isGranted(assignment)) {
                grants[ServerCommand{assignment.owner, service, assignment.fence}].keys.push_back(
                    key);
            }
        }
    }
    return grants;
}

auto checksFence(const ClusterState &state, const BackendServerId &server) -> bool
{
    const auto found = state.servers.find(server);
    return found != state.servers.end() && found->second.object.checksFence;
}

auto isUp(const ClusterState &state, const BackendServerId &server) -> bool
{
    const auto found = state.serverStatus.find(server);
    return found == state.serverStatus.end() || found->second.up;
}

} // namespace figlanding
