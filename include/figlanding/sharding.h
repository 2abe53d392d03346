#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/names.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// Maps keys to shards, and servers and teams to the members responsible for them.

namespace figlanding {

/// Returns a 64-bit hash of @p key that is identical on all machines and in all versions.
[[nodiscard]] auto keyHash(std::string_view key) -> std::uint64_t;

/// Returns the shard of @p key, by hash.
/// @param key routing key
/// @param shardCount number of shards of the service, at least 1
[[nodiscard]] auto shardOf(std::string_view key, std::uint32_t shardCount) -> ShardIndex;

/// Returns the assignment that applies to @p key: its own if the key is isolated, otherwise that of
/// its shard.
/// @return nullptr if the service has no shard assignments
[[nodiscard]] auto assignmentForKey(const ClusterState &state, const ServiceId &service,
                                    std::string_view key) -> const Assignment *;

/// Returns the member that dispatches all requests to @p server, by rendezvous hashing over the
/// members in the server's zone, or over all members if there are none in the zone.
/// @return std::nullopt if there are no members
[[nodiscard]] auto dispatcherOf(const ClusterState &state, const BackendServerId &server)
    -> std::optional<VmId>;

/// Returns the member that issues the rate-limit tokens of @p team, by rendezvous hashing.
/// @return std::nullopt if there are no members
[[nodiscard]] auto tokenIssuerOf(const ClusterState &state, const TeamId &team)
    -> std::optional<VmId>;

} // namespace figlanding
