#pragma once

#include "figlanding/clock.h"
#include "figlanding/labels.h"
#include "figlanding/names.h"
#include "figlanding/selector.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Configuration objects that operators declare. Each is a plain value with labels.

namespace figlanding {

/// An IP address in text form and a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

/// Parses "ip:port" or "[ipv6]:port"; host names are not resolved.
/// @return the address with the IP in canonical form, or InvalidSyntax
[[nodiscard]] auto parseSocketAddress(std::string_view text) -> Result<SocketAddress>;
/// Returns "ip:port" or "[ipv6]:port".
[[nodiscard]] auto toText(const SocketAddress &address) -> std::string;

/// Administrative state of a zone or server, set by operators.
enum class AdminState {
    Active, ///< accepts new work
    Leaving ///< is drained: accepts no new work
};

/// A failure domain of VMs and backend servers.
struct AvailabilityZone
{
    AvailabilityZoneId id;
    Labels labels;
    AdminState state = AdminState::Active;

    auto operator==(const AvailabilityZone &) const -> bool = default;
};

/// A server that executes requests.
struct BackendServer
{
    BackendServerId id;
    AvailabilityZoneId zone;
    SocketAddress address;
    Labels labels;
    AdminState state = AdminState::Active;
    std::uint32_t slots = 2; ///< maximum number of concurrent requests
    std::uint32_t maxConnections = 120; ///< maximum, summed over all VMs
    std::uint32_t weight = 100; ///< relative share of the shards
    bool checksFence = false; ///< rejects requests without a current lease and fencing token

    auto operator==(const BackendServer &) const -> bool = default;
};

/// A tenant with a rate limit that applies to all VMs together.
struct Team
{
    TeamId id;
    Labels labels;
    double ratePerSecond = 0.0; ///< sustained requests per second
    double burst = 0.0; ///< in requests

    auto operator==(const Team &) const -> bool = default;
};

/// A credential of a team. Only a salted digest of the secret is stored.
struct TeamKey
{
    TeamKeyId id;
    TeamId team;
    Labels labels;
    std::string saltHex; ///< at least 8 bytes
    std::string digestHex; ///< SHA-256 of salt and secret, 32 bytes

    auto operator==(const TeamKey &) const -> bool = default;
};

/// How the requests of a service are distributed over its servers.
enum class ServiceMode {
    Exclusive, ///< each key is owned by one server
    Pool, ///< any server may execute any request
};

/// A set of servers that execute the same kind of requests.
struct Service
{
    ServiceId id;
    Labels labels;
    ServiceMode mode = ServiceMode::Pool;
    Selector servers; ///< servers that belong to the service
    std::uint32_t shardCount = 256; ///< exclusive services only; fixed once created

    auto operator==(const Service &) const -> bool = default;
};

/// Part of a request from which a route extracts the routing key.
enum class KeySource {
    PathSegment, ///< first path segment after the prefix
    Header, ///< the header "figlanding-routing-key"
};

/// Maps requests to a service by the longest matching path prefix.
struct Route
{
    RouteId id;
    Labels labels;
    std::string pathPrefix;
    ServiceId service;
    KeySource keySource = KeySource::PathSegment;
    bool open = false; ///< accepts requests without a team key
    milliseconds timeout{5000}; ///< used if the caller sets no deadline

    auto operator==(const Route &) const -> bool = default;
};

/// Restricts the servers and zones that requests may be routed to. A request that matches the
/// selectors for routes, teams and team keys may use only servers and zones that the policy
/// selects. If several policies match, all of them apply.
struct Policy
{
    PolicyId id;
    Labels labels;
    Selector routes;
    Selector teams;
    Selector teamKeys;
    Selector servers;
    Selector zones;
    bool deny = false; ///< rejects matching requests

    auto operator==(const Policy &) const -> bool = default;
};

/// A single key of an exclusive service that is assigned independently of its shard.
struct RoutingKey
{
    ServiceId service;
    std::string key;
    Labels labels;
    Selector servers; ///< servers that may own the key

    auto operator==(const RoutingKey &) const -> bool = default;
};

/// Kind of a declared object. The order is that of the alternatives of DeclaredObject.
enum class ObjectKind {
    AvailabilityZone,
    BackendServer,
    Team,
    TeamKey,
    Service,
    Route,
    Policy,
    RoutingKey,
};

/// Any declared object.
using DeclaredObject = std::variant<AvailabilityZone, BackendServer, Team, TeamKey, Service, Route,
                                    Policy, RoutingKey>;

/// Identifies a declared object. A RoutingKey's name is "service/key".
struct ObjectRef
{
    ObjectKind kind = ObjectKind::AvailabilityZone;
    std::string name;

    auto operator<=>(const ObjectRef &) const = default;
};

/// Returns the name of a kind as used in declarations, such as "BackendServer".
[[nodiscard]] auto toText(ObjectKind kind) -> std::string_view;
/// Parses the name of a kind.
/// @return the kind, or InvalidValue
[[nodiscard]] auto parseObjectKind(std::string_view text) -> Result<ObjectKind>;
/// Returns kind and name of @p object.
[[nodiscard]] auto refOf(const DeclaredObject &object) -> ObjectRef;
/// Returns kind and quoted name, such as `BackendServer "s1"`.
[[nodiscard]] auto toText(const ObjectRef &ref) -> std::string;
/// Returns the labels of @p object.
[[nodiscard]] auto labelsOf(const DeclaredObject &object) -> const Labels &;
/// Returns @p object with its labels replaced by @p labels.
[[nodiscard]] auto withLabels(DeclaredObject object, Labels labels) -> DeclaredObject;

/// Largest length of an object's name, in bytes.
inline constexpr std::size_t maxNameBytes = 63;
/// Largest length of a routing key, in bytes.
inline constexpr std::size_t maxRoutingKeyBytes = 256;
/// Largest number of shards of one service.
inline constexpr std::uint32_t maxShardCount = 65'536;
/// Largest number of concurrent requests of one server.
inline constexpr std::uint32_t maxSlots = 100'000;
/// Largest number of connections to one server.
inline constexpr std::uint32_t maxConnectionLimit = 100'000;
/// Largest weight of a server.
inline constexpr std::uint32_t maxWeight = 1'000'000;
/// Largest rate and burst of a team, in requests.
inline constexpr double maxRatePerSecond = 1e9;
/// Largest deadline that a route may set.
inline constexpr milliseconds maxTimeout{3'600'000};

/// Checks the name of an object: letters, digits, '-', '_' and '.', at most @ref maxNameBytes.
/// @param subject kind of the named object, for the error text
/// @param name name to check
/// @return InvalidValue if the name is not allowed
[[nodiscard]] auto checkName(std::string_view subject, std::string_view name) -> Result<void>;
/// Checks a routing key that is assigned on its own: printable ASCII without spaces, at most
/// @ref maxRoutingKeyBytes.
/// @return InvalidValue if the key is not allowed
[[nodiscard]] auto checkRoutingKeyText(std::string_view key) -> Result<void>;
/// Checks the fields of the object itself; references to other objects are checked when the record
/// that declares it is applied.
/// @return InvalidValue with the field and its bounds, or the error of a label or address
[[nodiscard]] auto checkObject(const DeclaredObject &object) -> Result<void>;

} // namespace figlanding
