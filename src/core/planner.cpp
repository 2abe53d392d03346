#include "figlanding/planner.h"

#include "figlanding/sharding.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace figlanding {

namespace {

// Returns the owner to plan with: the target if the item is moving, otherwise the owner.
auto presentOwner(const Assignment &assignment) -> const BackendServerId &
{
    return assignment.moving() ? assignment.target : assignment.owner;
}

// Returns the server for an isolated key: the one with the fewest isolated keys. Ties are broken
// by a hash of server and key.
auto chooseServerForKey(const std::vector<ServerShare> &servers, const std::string &key,
                        const std::map<BackendServerId, std::size_t> &keyCounts) -> BackendServerId
{
    const auto rank = [&](const ServerShare &share) {
        const auto found = keyCounts.find(share.server);
        const auto count = found == keyCounts.end() ? 0 : found->second;
        return std::tuple(count, keyHash(share.server.value() + '/' + key));
    };
    const auto best = std::min_element(servers.begin(), servers.end(),
                                       [&](const ServerShare &left, const ServerShare &right) {
                                           return rank(left) < rank(right);
                                       });
    return best->server;
}

// Returns the servers that match the selector of the key's RoutingKey, or all if it has none.
auto serversAllowedForKey(const ClusterState &state, const Service &service, const std::string &key,
                          const std::vector<ServerShare> &servers) -> std::vector<ServerShare>
{
    const auto declared = state.routingKeys.find(service.id.value() + '/' + key);
    if (declared == state.routingKeys.end()) {
        return servers;
    }
    auto allowed = std::vector<ServerShare>{};
    for (const auto &share : servers) {
        const auto &labels = state.servers.at(share.server).object.labels;
        if (declared->second.object.servers.matches(labels)) {
            allowed.push_back(share);
        }
    }
    return allowed;
}

// Returns whether some server is so far below its quota that balancing justifies the moves: by at
// least two shards and a tenth of the quota.
auto hasSignificantDeficit(const detail::PlanInput &input, const ShardOwners &owners) -> bool
{
    constexpr auto fraction = 10;
    auto quotas = std::vector<int>(input.servers.size(), 0);
    auto deficits = quotas;
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        ++quotas[owners[shard]];
        ++deficits[owners[shard]];
        if (input.owners[shard] != noServer) {
            --deficits[input.owners[shard]];
        }
    }
    for (std::size_t i = 0; i < quotas.size(); ++i) {
        if (deficits[i] >= 2 && deficits[i] * fraction >= quotas[i]) {
            return true;
        }
    }
    return false;
}

auto contains(const std::vector<ServerShare> &servers, const BackendServerId &server) -> bool
{
    return std::any_of(servers.begin(), servers.end(),
                       [&](const ServerShare &share) { return share.server == server; });
}

} // namespace

auto isAvailable(const ClusterState &state, const BackendServer &server) -> bool
{
    const auto zone = state.zones.find(server.zone);
    const auto status = state.serverStatus.find(server.id);
    const auto zoneActive =
        zone != state.zones.end() && zone->second.object.state == AdminState::Active;
    const auto up = status == state.serverStatus.end() || status->second.up;
    return server.state == AdminState::Active && zoneActive && up;
}

auto eligibleServers(const ClusterState &state, const Service &service) -> std::vector<ServerShare>
{
    auto servers = std::vector<ServerShare>{};
    for (const auto &[id, versioned] : state.servers) {
        const auto &server = versioned.object;
        if (server.weight > 0 && isAvailable(state, server)
            && service.servers.matches(server.labels)) {
            servers.push_back(ServerShare{.server = id, .weight = server.weight});
        }
    }
    return servers;
}

namespace detail {

auto planInput(const ClusterState &state, const Service &service) -> PlanInput
{
    auto input = PlanInput{.servers = eligibleServers(state, service)};
    auto indexes = std::unordered_map<BackendServerId, ServerIndex>{};
    for (std::size_t i = 0; i < input.servers.size(); ++i) {
        indexes.emplace(input.servers[i].server, static_cast<ServerIndex>(i));
    }
    input.owners.assign(service.shardCount, noServer);
    const auto found = state.assignments.find(service.id);
    if (found == state.assignments.end()) {
        return input;
    }
    const auto &shards = found->second.shards;
    for (std::size_t i = 0; i < std::min(shards.size(), input.owners.size()); ++i) {
        const auto index = indexes.find(presentOwner(shards[i]));
        input.owners[i] = index == indexes.end() ? noServer : index->second;
    }
    return input;
}

auto movesBetween(const PlanInput &input, const ShardOwners &owners) -> MovePlan
{
    auto plan = MovePlan{.unbalanced = hasSignificantDeficit(input, owners)};
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        if (owners[shard] == input.owners[shard]) {
            continue;
        }
        auto &moves = input.owners[shard] == noServer ? plan.required : plan.balancing;
        moves.push_back(Move{.shard = static_cast<ShardIndex>(shard),
                             .to = input.servers[owners[shard]].server});
    }
    return plan;
}

auto planIsolatedKeys(const ClusterState &state, const Service &service, MovePlan &plan) -> void
{
    const auto found = state.assignments.find(service.id);
    if (found == state.assignments.end()) {
        return;
    }
    const auto servers = eligibleServers(state, service);
    auto keyCounts = std::map<BackendServerId, std::size_t>{};
    for (const auto &[key, assignment] : found->second.isolatedKeys) {
        ++keyCounts[presentOwner(assignment)];
    }
    for (const auto &[key, assignment] : found->second.isolatedKeys) {
        const auto allowed = serversAllowedForKey(state, service, key, servers);
        if (allowed.empty() || contains(allowed, presentOwner(assignment))) {
            continue;
        }
        const auto target = chooseServerForKey(allowed, key, keyCounts);
        ++keyCounts[target];
        plan.required.push_back(Move{.key = key, .to = target});
    }
}

} // namespace detail

} // namespace figlanding
