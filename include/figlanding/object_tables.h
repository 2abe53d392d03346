#pragma once

#include "figlanding/cluster_state.h"

#include <optional>
#include <utility>
#include <vector>

/// @file
/// Access to the declared objects of a ClusterState by ObjectKind.

namespace figlanding {

/// Calls @p visit with the table of the objects of one kind.
/// @param state a ClusterState, const or not
/// @param kind kind of object
/// @param visit callable that accepts any ObjectTable and returns the same type for each
/// @return what @p visit returned
template <typename State, typename Visit>
auto visitTable(State &state, ObjectKind kind, Visit &&visit)
{
    switch (kind) {
    case ObjectKind::AvailabilityZone:
        return visit(state.zones);
    case ObjectKind::BackendServer:
        return visit(state.servers);
    case ObjectKind::Team:
        return visit(state.teams);
    case ObjectKind::TeamKey:
        return visit(state.teamKeys);
    case ObjectKind::Service:
        return visit(state.services);
    case ObjectKind::Route:
        return visit(state.routes);
    case ObjectKind::Policy:
        return visit(state.policies);
    case ObjectKind::RoutingKey:
        break;
    }
    return visit(state.routingKeys);
}

/// Returns the object that @p ref identifies and its version.
/// @return std::nullopt if the object does not exist
[[nodiscard]] auto findObject(const ClusterState &state, const ObjectRef &ref)
    -> std::optional<Versioned<DeclaredObject>>;

/// Returns the version of the object, or 0 if the object does not exist.
[[nodiscard]] auto versionOf(const ClusterState &state, const ObjectRef &ref) -> LogOffset;

/// Returns all declared objects of one kind, ordered by name.
[[nodiscard]] auto objectsOf(const ClusterState &state, ObjectKind kind)
    -> std::vector<Versioned<DeclaredObject>>;

/// Returns all declared objects, ordered by kind and name.
[[nodiscard]] auto allObjects(const ClusterState &state) -> std::vector<Versioned<DeclaredObject>>;

/// Inserts or replaces an object without validation.
auto putObject(ClusterState &state, Versioned<DeclaredObject> object) -> void;

/// Removes an object, if it exists, without validation.
auto eraseObject(ClusterState &state, const ObjectRef &ref) -> void;

} // namespace figlanding
