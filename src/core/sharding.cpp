#include "figlanding/sharding.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace figlanding {

namespace {

// Rendezvous hashing score of a member for an item. The member with the highest score is chosen.
auto rendezvousScore(std::string_view member, std::string_view item) -> std::uint64_t
{
    return XXH3_64bits_withSeed(member.data(), member.size(), keyHash(item));
}

} // namespace

auto keyHash(std::string_view key) -> std::uint64_t
{
    return XXH3_64bits(key.data(), key.size());
}

auto shardOf(std::string_view key, std::uint32_t shardCount) -> ShardIndex
{
    return static_cast<ShardIndex>(keyHash(key) % shardCount);
}

auto assignmentForKey(const ClusterState &state, const ServiceId &service, std::string_view key)
    -> const Assignment *
{
    const auto found = state.assignments.find(service);
    if (found == state.assignments.end() || found->second.shards.empty()) {
        return nullptr;
    }
    const auto &assignments = found->second;
    if (!assignments.isolatedKeys.empty()) {
        const auto isolated = assignments.isolatedKeys.find(std::string(key));
        if (isolated != assignments.isolatedKeys.end()) {
            return &isolated->second;
        }
    }
    const auto count = static_cast<std::uint32_t>(assignments.shards.size());
    return &assignments.shards[shardOf(key, count)];
}

auto dispatcherOf(const ClusterState &state, const BackendServerId &server) -> std::optional<VmId>
{
    const auto found = state.servers.find(server);
    const auto zone =
        found == state.servers.end() ? AvailabilityZoneId{} : found->second.object.zone;
    const auto rank = [&](const Member &member) {
        return std::tuple(member.zone == zone, rendezvousScore(member.vm.value(), server.value()));
    };
    const auto best = std::max_element(state.members.begin(), state.members.end(),
                                       [&](const auto &left, const auto &right) {
                                           return rank(left.second) < rank(right.second);
                                       });
    if (best == state.members.end()) {
        return std::nullopt;
    }
    return best->first;
}

auto tokenIssuerOf(const ClusterState &state, const TeamId &team) -> std::optional<VmId>
{
    const auto best = std::max_element(state.members.begin(), state.members.end(),
                                       [&](const auto &left, const auto &right) {
                                           return rendezvousScore(left.first.value(), team.value())
                                               < rendezvousScore(right.first.value(), team.value());
                                       });
    if (best == state.members.end()) {
        return std::nullopt;
    }
    return best->first;
}

} // namespace figlanding
