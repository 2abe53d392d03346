#include "apply_steps.h"
#include "figlanding/object_tables.h"
#include "text.h"

#include <algorithm>
#include <set>

namespace figlanding {

namespace {

// Error for an object that refers to one that does not exist.
auto danglingReferenceError(const ObjectRef &missing, const ObjectRef &from)
    -> boost::leaf::error_id
{
    return fail(ErrorCode::UnknownObject, toText(missing) + " named by " + toText(from));
}

// Error for a change of an object that another one depends on.
auto objectInUseError(const ObjectRef &ref, const std::string &dependent) -> boost::leaf::error_id
{
    return fail(ErrorCode::ObjectInUse, toText(ref) + " is used by " + dependent);
}

auto checkVersion(const ClusterState &state, const ObjectChange &change) -> Result<void>
{
    const auto version = versionOf(state, change.ref);
    if (change.expectedVersion && *change.expectedVersion != version) {
        return fail(ErrorCode::VersionConflict,
                    toText(change.ref) + " has version " + std::to_string(version) + ", expected "
                        + std::to_string(*change.expectedVersion));
    }
    if (!change.object && version == 0) {
        return fail(ErrorCode::UnknownObject, toText(change.ref));
    }
    return {};
}

// Checks each change by itself: no object twice, matching references, versions and values.
auto checkChanges(const ClusterState &state, const ConfigChange &change) -> Result<void>
{
    auto seen = std::set<ObjectRef>{};
    if (change.changes.empty()) {
        return fail(ErrorCode::InvalidValue, "no changes");
    }
    for (const auto &item : change.changes) {
        if (!seen.insert(item.ref).second) {
            return fail(ErrorCode::InvalidValue, toText(item.ref) + " is changed twice");
        }
        if (item.object && refOf(*item.object) != item.ref) {
            return fail(ErrorCode::InvalidValue,
                        toText(item.ref) + " holds " + toText(refOf(*item.object)));
        }
        BOOST_LEAF_CHECK(checkVersion(state, item));
        if (item.object) {
            BOOST_LEAF_CHECK(checkObject(*item.object));
        }
    }
    return {};
}

template <typename Table, typename Id>
auto checkReference(const Table &table, const Id &id, ObjectKind kind, const ObjectRef &from)
    -> Result<void>
{
    if (!table.contains(id)) {
        return danglingReferenceError({.kind = kind, .name = id.value()}, from);
    }
    return {};
}

auto isOwnerOrTarget(const Assignment &assignment, const BackendServerId &server) -> bool
{
    return assignment.owner == server || assignment.target == server;
}

// Returns the name of a service of which the server owns a shard or an isolated key, or is the
// target of a move.
auto findServiceAssignedTo(const ClusterState &state, const BackendServerId &server)
    -> std::optional<std::string>
{
    for (const auto &[service, assignments] : state.assignments) {
        const auto &shards = assignments.shards;
        const auto &keys = assignments.isolatedKeys;
        const auto ownsShard = std::any_of(shards.begin(), shards.end(), [&](const auto &shard) {
            return isOwnerOrTarget(shard, server);
        });
        const auto ownsKey = std::any_of(keys.begin(), keys.end(), [&](const auto &entry) {
            return isOwnerOrTarget(entry.second, server);
        });
        if (ownsShard || ownsKey) {
            return service.value();
        }
    }
    return std::nullopt;
}

// Returns the text of the first object in @p table that satisfies @p matches.
template <typename Table, typename Predicate>
auto findFirstMatch(const Table &table, const Predicate &matches) -> std::optional<std::string>
{
    const auto found = std::find_if(table.begin(), table.end(), [&](const auto &entry) {
        return matches(entry.second.object);
    });
    if (found == table.end()) {
        return std::nullopt;
    }
    return toText(refOf(found->second.object));
}

// Returns a text that names what depends on @p ref, or std::nullopt if nothing does.
auto findDependent(const ClusterState &state, const ObjectRef &ref) -> std::optional<std::string>
{
    switch (ref.kind) {
    case ObjectKind::AvailabilityZone:
        return findFirstMatch(state.servers,
                              [&](const auto &it) { return it.zone.value() == ref.name; });
    case ObjectKind::Team:
        return findFirstMatch(state.teamKeys,
                              [&](const auto &it) { return it.team.value() == ref.name; });
    case ObjectKind::Service: {
        const auto refersToService = [&](const auto &it) { return it.service.value() == ref.name; };
        const auto route = findFirstMatch(state.routes, refersToService);
        return route ? route : findFirstMatch(state.routingKeys, refersToService);
    }
    case ObjectKind::BackendServer: {
        const auto service = findServiceAssignedTo(state, BackendServerId(ref.name));
        return service ? std::optional("assignments of service " + quoted(*service)) : std::nullopt;
    }
    default:
        return std::nullopt;
    }
}

/// Applies the changes of one record atomically. The destructor rolls them back unless commit()
/// was called.
class ConfigTransaction
{
public:
    ConfigTransaction(ClusterState &state, LogOffset version)
        : m_state(state)
        , m_version(version)
    { }
    ConfigTransaction(const ConfigTransaction &) = delete;
    auto operator=(const ConfigTransaction &) -> ConfigTransaction & = delete;

    ~ConfigTransaction()
    {
        if (!m_committed) {
            rollBack();
        }
    }

    /// Applies one change and saves the previous object for a rollback.
    auto put(const ObjectChange &change) -> void
    {
        m_before.emplace_back(change.ref, findObject(m_state, change.ref));
        if (change.object) {
            putObject(m_state, {.object = *change.object, .version = m_version});
        } else {
            eraseObject(m_state, change.ref);
        }
    }

    /// Checks one change against the state after all changes, so that their order in the record
    /// does not matter.
    /// @param change change to check
    /// @param index position of the change in the order of the put() calls
    [[nodiscard]] auto check(const ObjectChange &change, std::size_t index) const -> Result<void>
    {
        if (!change.object) {
            return checkRemoval(change.ref);
        }
        const auto &before = m_before[index].second;
        return std::visit(
            [&](const auto &object) -> Result<void> {
                using Object = std::decay_t<decltype(object)>;
                const auto *const old = before ? std::get_if<Object>(&before->object) : nullptr;
                return checkObjectInState(object, old, change.ref);
            },
            *change.object);
    }

    /// Keeps the changes and updates the assignments and statuses that depend on them.
    auto commit(const std::vector<ObjectChange> &changes) -> void
    {
        m_committed = true;
        for (const auto &change : changes) {
            updateServiceState(change);
        }
        for (const auto &change : changes) {
            updateIsolatedKeys(change);
        }
    }

private:
    [[nodiscard]] auto checkRemoval(const ObjectRef &ref) const -> Result<void>
    {
        if (const auto dependent = findDependent(m_state, ref)) {
            return objectInUseError(ref, *dependent);
        }
        if (ref.kind == ObjectKind::RoutingKey) {
            const auto slash = ref.name.find('/');
            const auto service = ServiceId(ref.name.substr(0, slash));
            if (m_state.services.contains(service)) {
                return checkIsolationCanEnd(m_state, service, ref.name.substr(slash + 1));
            }
        }
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const BackendServer &server, const BackendServer *old,
                                          const ObjectRef &ref) const -> Result<void>
    {
        // A server at another address is another process: it must not inherit the assignments
        // of the previous one.
        if (old != nullptr && old->address != server.address) {
            if (const auto dependent = findDependent(m_state, ref)) {
                return objectInUseError(ref, *dependent + "; its address cannot change");
            }
        }
        return checkReference(m_state.zones, server.zone, ObjectKind::AvailabilityZone, ref);
    }

    [[nodiscard]] auto checkObjectInState(const TeamKey &key, const TeamKey *,
                                          const ObjectRef &ref) const -> Result<void>
    {
        return checkReference(m_state.teams, key.team, ObjectKind::Team, ref);
    }

    [[nodiscard]] auto checkObjectInState(const Service &service, const Service *old,
                                          const ObjectRef &ref) const -> Result<void>
    {
        if (old != nullptr
            && (old->mode != service.mode || old->shardCount != service.shardCount)) {
            return fail(ErrorCode::InvalidTransition,
                        "mode and shard_count of " + toText(ref) + " are fixed");
        }
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const Route &route, const Route *,
                                          const ObjectRef &ref) const -> Result<void>
    {
        BOOST_LEAF_CHECK(checkReference(m_state.services, route.service, ObjectKind::Service, ref));
        const auto duplicate = findFirstMatch(m_state.routes, [&](const Route &other) {
            return other.id != route.id && other.pathPrefix == route.pathPrefix;
        });
        if (duplicate) {
            return fail(ErrorCode::DuplicateObject,
                        "prefix " + quoted(route.pathPrefix) + " of " + toText(ref) + " is that of "
                            + *duplicate);
        }
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const RoutingKey &key, const RoutingKey *,
                                          const ObjectRef &ref) const -> Result<void>
    {
        BOOST_LEAF_CHECK(checkReference(m_state.services, key.service, ObjectKind::Service, ref));
        if (m_state.services.at(key.service).object.mode != ServiceMode::Exclusive) {
            return fail(ErrorCode::InvalidValue,
                        "service " + quoted(key.service.value()) + " of " + toText(ref)
                            + " is not exclusive");
        }
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const AvailabilityZone &, const AvailabilityZone *,
                                          const ObjectRef &) const -> Result<void>
    {
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const Team &, const Team *, const ObjectRef &) const
        -> Result<void>
    {
        return {};
    }

    [[nodiscard]] auto checkObjectInState(const Policy &, const Policy *, const ObjectRef &) const
        -> Result<void>
    {
        return {};
    }

    // Creates the assignments of new exclusive services and erases those of removed services.
    // Erases the status of removed servers.
    auto updateServiceState(const ObjectChange &change) -> void
    {
        if (!change.object) {
            if (change.ref.kind == ObjectKind::Service) {
                m_state.assignments.erase(ServiceId(change.ref.name));
            }
            if (change.ref.kind == ObjectKind::BackendServer) {
                m_state.serverStatus.erase(BackendServerId(change.ref.name));
            }
            return;
        }
        const auto *const service = std::get_if<Service>(&*change.object);
        if (service != nullptr && service->mode == ServiceMode::Exclusive) {
            m_state.assignments[service->id].shards.resize(service->shardCount);
        }
    }

    // Isolates declared routing keys and ends the isolation of removed ones.
    auto updateIsolatedKeys(const ObjectChange &change) -> void
    {
        if (change.ref.kind != ObjectKind::RoutingKey) {
            return;
        }
        const auto slash = change.ref.name.find('/');
        const auto found = m_state.assignments.find(ServiceId(change.ref.name.substr(0, slash)));
        if (found == m_state.assignments.end()) {
            return;
        }
        const auto key = change.ref.name.substr(slash + 1);
        if (change.object) {
            isolateKey(found->second, key);
        } else {
            found->second.isolatedKeys.erase(key);
        }
    }

    auto rollBack() -> void
    {
        for (auto &[ref, before] : m_before) {
            if (before) {
                putObject(m_state, std::move(*before));
            } else {
                eraseObject(m_state, ref);
            }
        }
    }

    ClusterState &m_state;
    LogOffset m_version;
    bool m_committed = false;
    std::vector<std::pair<ObjectRef, std::optional<Versioned<DeclaredObject>>>> m_before;
};

} // namespace

auto applyPayload(ClusterState &state, const ConfigChange &change, const RecordPosition &position)
    -> Result<void>
{
    BOOST_LEAF_CHECK(checkChanges(state, change));
    auto transaction = ConfigTransaction(state, position.offset);
    for (const auto &item : change.changes) {
        transaction.put(item);
    }
    for (std::size_t index = 0; index < change.changes.size(); ++index) {
        BOOST_LEAF_CHECK(transaction.check(change.changes[index], index));
    }
    transaction.commit(change.changes);
    return {};
}

} // namespace figlanding
