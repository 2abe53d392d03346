#pragma once

#include "figlanding/cluster_state.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/// @file
/// Plans the assignment of shards and isolated keys to servers.

namespace figlanding {

/// A server that is eligible to own shards, and its weight.
struct ServerShare
{
    BackendServerId server;
    std::uint32_t weight = 100; ///< share of the shards relative to the other servers

    auto operator==(const ServerShare &) const -> bool = default;
};

/// Index into the list of eligible servers.
using ServerIndex = std::uint32_t;
/// Value for a shard that has no eligible owner.
inline constexpr auto noServer = std::numeric_limits<ServerIndex>::max();

/// Owner of each shard, or noServer, indexed by shard.
using ShardOwners = std::vector<ServerIndex>;

/// An algorithm that assigns every shard to a server. assign() is called with the current owners
/// and a non-empty list of servers, all of positive weight.
template <typename Algorithm>
concept AssignmentAlgorithm = requires(const Algorithm &algorithm,
                                       const std::vector<ServerShare> &servers,
                                       const ShardOwners &owners)
{
    {
        algorithm.assign(servers, owners)
        } -> std::same_as<ShardOwners>;
};

/// Minimises moves: each server keeps its shards up to its quota. Shards without an owner and
/// shards above a quota go to servers that are below theirs. Each server's number of shards
/// differs from its exact share by less than one.
class StableLeastLoaded
{
public:
    /// @param servers eligible servers
    /// @param owners current owner of each shard, or noServer
    /// @return new owner of each shard
    [[nodiscard]] auto assign(const std::vector<ServerShare> &servers,
                              const ShardOwners &owners) const -> ShardOwners;
};

/// Weighted rendezvous hashing with bounded loads: a shard goes to the server with the highest
/// score among those below their quota, rounded up. The result depends only on the servers, not
/// on the current owners.
class BoundedRendezvous
{
public:
    /// @copydoc StableLeastLoaded::assign
    [[nodiscard]] auto assign(const std::vector<ServerShare> &servers,
                              const ShardOwners &owners) const -> ShardOwners;
};

/// Divides @p shardCount among the servers in proportion to their weights, by the largest remainder
/// method.
/// @param present current number of shards of each server; of servers with equal remainders, the
///     one with more shards is rounded up first
/// @return quota of each server; the sum is @p shardCount
[[nodiscard]] auto shardQuotas(const std::vector<ServerShare> &servers, std::size_t shardCount,
                               const std::vector<std::uint32_t> &present)
    -> std::vector<std::uint32_t>;

/// Returns whether @p server may be assigned new work: it and its zone are active and it is not
/// marked as down.
[[nodiscard]] auto isAvailable(const ClusterState &state, const BackendServer &server) -> bool;

/// Returns the servers that may own shards of @p service, ordered by name: available, matched by
/// the service's selector and of positive weight.
[[nodiscard]] auto eligibleServers(const ClusterState &state, const Service &service)
    -> std::vector<ServerShare>;

/// The moves of a plan, by urgency.
struct MovePlan
{
    std::vector<Move> required; ///< the current owner or target is not eligible
    std::vector<Move> balancing; ///< the current owner is eligible but another was chosen
    /// Whether a server is below its quota by at least two shards and at least a tenth of the
    /// quota.
    bool unbalanced = false;

    auto operator==(const MovePlan &) const -> bool = default;
};

namespace detail {

/// Input of an AssignmentAlgorithm: the eligible servers and the current owner of each shard.
struct PlanInput
{
    std::vector<ServerShare> servers;
    ShardOwners owners;
};

[[nodiscard]] auto planInput(const ClusterState &state, const Service &service) -> PlanInput;
[[nodiscard]] auto movesBetween(const PlanInput &input, const ShardOwners &owners) -> MovePlan;
auto planIsolatedKeys(const ClusterState &state, const Service &service, MovePlan &plan) -> void;

} // namespace detail

/// Plans the moves that give every shard and every isolated key of @p service an eligible owner
/// and balance the shards. A shard that is moving to an eligible target counts as owned by that
/// target. The plan is deterministic: it depends only on the arguments.
/// @param algorithm assigns the shards to the eligible servers
/// @return the moves to begin; none if no server is eligible
template <AssignmentAlgorithm Algorithm>
[[nodiscard]] auto planMoves(const ClusterState &state, const Service &service,
                             const Algorithm &algorithm) -> MovePlan
{
    const auto input = detail::planInput(state, service);
    auto plan = MovePlan{};
    if (!input.servers.empty()) {
        plan = detail::movesBetween(input, algorithm.assign(input.servers, input.owners));
    }
    detail::planIsolatedKeys(state, service, plan);
    return plan;
}

} // namespace figlanding
