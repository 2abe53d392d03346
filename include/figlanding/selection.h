#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/refusal.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// Routes a request: finds its route, its routing key and the servers that policies permit.

namespace figlanding {

/// Checks a request's path: it starts with '/', its escapes are valid, and it has no "." or ".."
/// segment, escaped or not, because a server could resolve such a segment to another route's path.
/// @return InvalidSyntax or InvalidValue if the path is rejected
[[nodiscard]] auto checkPath(std::string_view path) -> Result<void>;

/// Returns the route whose path prefix is the longest match for @p path. A prefix matches only up
/// to a segment boundary.
/// @param path path of the request; a query is ignored
/// @return the route, or nullptr if no route matches
[[nodiscard]] auto findRoute(const ClusterState &state, std::string_view path) -> const Route *;

/// Decodes percent-encoded bytes.
/// @return the decoded bytes, or InvalidSyntax if an escape is malformed
[[nodiscard]] auto decodePercent(std::string_view text) -> Result<std::string>;

/// Extracts the routing key of a request from the source that @p route configures: the routing key
/// header, or the first path segment after the route's prefix.
/// @param header value of the routing key header, if present
/// @return the key, MissingField if there is none, LimitExceeded if it exceeds the maximum length,
/// InvalidSyntax if its escapes are malformed
[[nodiscard]] auto routingKeyOf(const Route &route, std::string_view path,
                                std::optional<std::string_view> header) -> Result<std::string>;

/// The objects whose labels decide which policies apply to a request.
struct PolicyInput
{
    const Route *route = nullptr; ///< must be set
    const TeamKey *teamKey = nullptr; ///< nullptr on open routes: team and key labels are empty
};

/// Returns the policies whose route, team and team key selectors all match @p input.
[[nodiscard]] auto matchingPolicies(const ClusterState &state, const PolicyInput &input)
    -> std::vector<const Policy *>;

/// Returns the first of @p policies that forbids traffic to @p server, or nullptr if all permit it.
/// A server that is not declared is forbidden by any policy that restricts servers or zones.
[[nodiscard]] auto forbiddingPolicy(const ClusterState &state,
                                    const std::vector<const Policy *> &policies,
                                    const BackendServerId &server) -> const Policy *;

/// Returns whether the server belongs to the service and accepts new requests: neither it nor
/// its zone is leaving, and it is not known to be down.
[[nodiscard]] auto acceptsNewWork(const ClusterState &state, const Service &service,
                                  const BackendServer &server) -> bool;

/// Returns the servers of a pool service that accept new requests and that all @p policies permit.
[[nodiscard]] auto eligibleServers(const ClusterState &state, const Service &service,
                                   const std::vector<const Policy *> &policies)
    -> std::vector<BackendServerId>;

/// A request whose route, team key and routing key have been determined.
struct RoutedRequest
{
    const Route &route;
    const TeamKeyId &teamKey; ///< empty on open routes
    std::string_view routingKey = {}; ///< empty for pool services
};

/// Finds the policies that apply to a request.
/// @return the policies, or a refusal if one of them denies the request or the team key has been
/// withdrawn since the request was authenticated
[[nodiscard]] auto applicablePolicies(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<std::vector<const Policy *>, Refusal>;

/// Finds the server that owns the request's routing key.
/// @return the owner, or a refusal: KeyIsMoving if the key has no owner or is being moved,
/// ForbiddenByPolicy if a policy does not permit the owner, or a refusal of applicablePolicies()
[[nodiscard]] auto permittedOwner(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<BackendServerId, Refusal>;

/// Finds the servers of a pool service that may run the request.
/// @return the servers, at least one, or a refusal
[[nodiscard]] auto permittedServers(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<std::vector<BackendServerId>, Refusal>;

/// The properties of a request that select() reads.
struct SelectionRequest
{
    std::string_view path;
    std::optional<std::string_view> routingKeyHeader;
    std::optional<TeamKeyId> teamKey; ///< the key that authenticated the request
};

/// Result of select(). The pointers refer to objects of the cluster state.
struct Selection
{
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string routingKey; ///< exclusive services only
    const Assignment *assignment = nullptr; ///< exclusive services only; its owner may be changing
    std::vector<BackendServerId> servers; ///< pool services only; never empty
};

/// Selects the route, service and servers of a request. A request for a key that has no owner, or
/// whose owner is changing, is not refused; the caller queues it until the key has an owner.
/// @return the selection, or the reason why the request cannot run
[[nodiscard]] auto select(const ClusterState &state, const SelectionRequest &request)
    -> std::variant<Selection, Refusal>;

} // namespace figlanding
