#include "figlanding/planner.h"
#include "figlanding/sharding.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace figlanding {

namespace {

// Combines two hashes into one that is uniform if either of them is.
auto combineHashes(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    auto value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Score of weighted rendezvous hashing: -weight / ln(u), with u in (0, 1) derived from the hash.
// The server with the highest score is chosen.
auto weightedScore(std::uint64_t hash, std::uint32_t weight) -> double
{
    constexpr auto scale = 0x1.0p-53;
    const auto uniform = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    return -static_cast<double>(weight) / std::log(uniform);
}

auto totalWeight(const std::vector<ServerShare> &servers) -> std::uint64_t
{
    return std::accumulate(
        servers.begin(), servers.end(), std::uint64_t{0},
        [](std::uint64_t sum, const ServerShare &share) { return sum + share.weight; });
}

// Returns the number of shards owned by each server.
auto countShards(const ShardOwners &owners, std::size_t serverCount) -> std::vector<std::uint32_t>
{
    auto counts = std::vector<std::uint32_t>(serverCount, 0);
    for (const auto owner : owners) {
        if (owner != noServer) {
            ++counts[owner];
        }
    }
    return counts;
}

// Unassigns the shards above their owner's quota. Returns the remaining capacity of each server.
auto releaseExcess(ShardOwners &owners, const std::vector<std::uint32_t> &quotas)
    -> std::vector<std::uint32_t>
{
    auto remainingCapacity = quotas;
    for (auto &owner : owners) {
        if (owner == noServer) {
            continue;
        }
        if (remainingCapacity[owner] == 0) {
            owner = noServer;
        } else {
            --remainingCapacity[owner];
        }
    }
    return remainingCapacity;
}

// Assigns the shards without an owner to the servers with remaining capacity, round robin.
auto assignUnowned(ShardOwners &owners, std::vector<std::uint32_t> &remainingCapacity) -> void
{
    auto receivers = std::vector<ServerIndex>{};
    for (std::size_t server = 0; server < remainingCapacity.size(); ++server) {
        if (remainingCapacity[server] != 0) {
            receivers.push_back(static_cast<ServerIndex>(server));
        }
    }
    std::size_t turn = 0;
    for (auto &owner : owners) {
        if (owner != noServer) {
            continue;
        }
        turn = turn >= receivers.size() ? 0 : turn;
        owner = receivers[turn];
        if (--remainingCapacity[owner] == 0) {
            receivers.erase(receivers.begin() + static_cast<std::ptrdiff_t>(turn));
        } else {
            ++turn;
        }
    }
}

} // namespace

auto shardQuotas(const std::vector<ServerShare> &servers, std::size_t shardCount,
                 const std::vector<std::uint32_t> &present) -> std::vector<std::uint32_t>
{
    const auto total = std::max(totalWeight(servers), std::uint64_t{1});
    auto quotas = std::vector<std::uint32_t>(servers.size(), 0);
    auto remainders = std::vector<std::uint64_t>(servers.size(), 0);
    std::size_t assignedCount = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto scaled = shardCount * std::uint64_t{servers[i].weight};
        quotas[i] = static_cast<std::uint32_t>(scaled / total);
        remainders[i] = scaled % total;
        assignedCount += quotas[i];
    }
    auto order = std::vector<std::size_t>(servers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(remainders[right], present[right], left)
            < std::tuple(remainders[left], present[left], right);
    });
    for (std::size_t i = 0; assignedCount < shardCount; ++i, ++assignedCount) {
        ++quotas[order[i]];
    }
    return quotas;
}

auto StableLeastLoaded::assign(const std::vector<ServerShare> &servers,
                               const ShardOwners &owners) const -> ShardOwners
{
    const auto quotas = shardQuotas(servers, owners.size(), countShards(owners, servers.size()));
    auto result = owners;
    auto remainingCapacity = releaseExcess(result, quotas);
    assignUnowned(result, remainingCapacity);
    return result;
}

auto BoundedRendezvous::assign(const std::vector<ServerShare> &servers,
                               const ShardOwners &owners) const -> ShardOwners
{
    const auto total = std::max(totalWeight(servers), std::uint64_t{1});
    auto remainingCapacity = std::vector<std::uint64_t>{};
    auto hashes = std::vector<std::uint64_t>{};
    for (const auto &share : servers) {
        remainingCapacity.push_back((owners.size() * share.weight + total - 1) / total);
        hashes.push_back(keyHash(share.server.value()));
    }
    auto result = ShardOwners(owners.size(), noServer);
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        auto best = -1.0;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const auto score = weightedScore(combineHashes(hashes[i], shard), servers[i].weight);
            if (remainingCapacity[i] != 0 && score > best) {
                best = score;
                result[shard] = static_cast<ServerIndex>(i);
            }
        }
        --remainingCapacity[result[shard]];
    }
    return result;
}

static_assert(AssignmentAlgorithm<StableLeastLoaded>);
static_assert(AssignmentAlgorithm<BoundedRendezvous>);

} // namespace figlanding
