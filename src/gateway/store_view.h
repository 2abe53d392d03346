#pragma once

#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/store.h"
#include "io/event_loop.h"
#include "io/log.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// A VM's view of the store's records: configuration, servers, fleet members and key owners.

namespace figlanding {

/// Callbacks of StoreView.
struct StoreViewHandlers
{
    /// Called with each member record.
    std::function<void(const MemberRecord &)> onMember;
    /// Called after each fleet record or snapshot.
    std::function<void(const OwnershipView &)> onOwnership;
    /// Called with each order of a roll-out, and whether it is new: not part of a snapshot. May be
    /// empty.
    std::function<void(const RolloutOrder &, bool isNew)> onRolloutOrder = {};
    /// Returns when the last outage of the servers' topic ended; nothing if there was none. May be
    /// empty.
    std::function<std::optional<TimePoint>()> lastServersOutageEnd = {};
};

/// Applies the records of the three topics. The records of a topic must come in the order of their
/// offsets.
/// @tparam Platform decodes the records of operators and servers
template <typename Platform>
class StoreView
{
public:
    StoreView(EventLoop &loop, StoreViewHandlers handlers)
        : m_loop(loop)
        , m_handlers(std::move(handlers))
    { }
    StoreView(const StoreView &) = delete;
    auto operator=(const StoreView &) -> StoreView & = delete;

    /// Returns the newest configuration; null until one was read.
    [[nodiscard]] auto state() const -> const std::shared_ptr<const DesiredStateIndex> &
    {
        return m_state;
    }
    [[nodiscard]] auto registry() const -> const ServerRegistry &
    {
        return m_registry;
    }
    [[nodiscard]] auto ownership() const -> const OwnershipView &
    {
        return m_ownership;
    }
    /// Returns whether the servers were read from the store at least once.
    [[nodiscard]] auto serversKnown() const -> bool
    {
        return m_serversKnown;
    }
    /// Returns whether the servers, or configuration that affects them, changed since the last
    /// call. Removes servers whose deferred removal is due.
    [[nodiscard]] auto takeServersChanged(TimePoint now) -> bool
    {
        const auto expired = m_registry.expire(now);
        return std::exchange(m_serversChanged, false) || expired;
    }

    /// Returns the newest record of each service's roll-out.
    [[nodiscard]] auto rollouts() const -> const std::map<ServiceId, RolloutRecord> &
    {
        return m_rollouts;
    }
    /// Sets which versions of the services may get requests and keys.
    auto setVersionRules(VersionRules rules) -> void
    {
        m_registry.setVersionRules(std::move(rules));
        m_serversChanged = true;
    }

    /// Applies a record of an operator: a configuration, a zone evacuation or an order.
    auto onOperatorRecord(const KeyedRecord &record) -> void
    {
        applyOperatorRecord(record, true);
    }

    /// Applies a snapshot of the operator topic. Zones without a record are not evacuated.
    auto onOperatorSnapshot(const std::vector<KeyedRecord> &records) -> void
    {
        m_registry.setEvacuatedZones({});
        m_serversChanged = true;
        for (const auto &record : records) {
            applyOperatorRecord(record, false);
        }
    }

    /// Applies a server's entry, or its removal if the record has no value.
    /// @return whether other VMs must have the record as well: it changes more than the sequence
    /// number of the entry. What this VM knows from other sources does not count, since the others
    /// may lack it.
    auto onServerRecord(const KeyedRecord &record) -> bool
    {
        const auto now = m_loop.now();
        const auto id = BackendServerId(record.key);
        if (!record.value) {
            m_setAside.erase(id);
            removeServer(id, now);
            return true;
        }
        const auto decoded = settle([&] { return Platform::decodeServerEntry(record); });
        if (!decoded) {
            // The entry may come from another writer, so the last valid entry of the server stays.
            logEvent(LogLevel::Warning, "server-entry-unreadable",
                     {{"server", record.key}, {"error", describe(decoded.error())}});
            return false;
        }
        const auto &entry = decoded.value();
        if (!m_state || m_state->findService(entry.service) == nullptr) {
            return setAside(entry);
        }
        m_setAside.erase(id);
        return announce(entry, now);
    }

    /// Records that a server said itself that it is leaving.
    auto onServerLeaving(const ServerIncarnation &server) -> void
    {
        if (m_registry.onLeaving(server)) {
            m_serversChanged = true;
            logEvent(LogLevel::Info, "server-leaving", {{"server", server.server.value()}});
        }
    }

    /// Applies a snapshot of the servers' topic. Servers without a record are removed.
    auto onServerSnapshot(const std::vector<KeyedRecord> &records) -> void
    {
        auto present = std::set<BackendServerId>{};
        for (const auto &record : records) {
            present.insert(BackendServerId(record.key));
        }
        auto removed = std::vector<BackendServerId>{};
        for (const auto &[id, server] : m_registry.servers()) {
            if (!present.contains(id)) {
                removed.push_back(id);
            }
        }
        m_setAside.clear();
        for (const auto &id : removed) {
            removeServer(id, m_loop.now());
        }
        for (const auto &record : records) {
            onServerRecord(record);
        }
        m_serversKnown = true;
    }

    /// Applies a record of the router's own topic: member, controller claim or ownership table.
    auto onFleetRecord(const KeyedRecord &record) -> void
    {
        applyFleetRecord(record);
        m_handlers.onOwnership(m_ownership);
    }

    /// Applies a snapshot of the router's own topic. It covers all records before its end, also
    /// those of keys that were removed since, unless one of the ownership cannot be read.
    auto onFleetSnapshot(const KeyedSnapshot &snapshot) -> void
    {
        auto complete = true;
        for (const auto &record : snapshot.records) {
            complete = applyFleetRecord(record) && complete;
        }
        if (complete) {
            m_ownership.end = std::max(m_ownership.end, snapshot.end);
        }
        m_handlers.onOwnership(m_ownership);
    }

    /// Returns a table record as the change from the current table, or nothing if that is no
    /// shorter.
    [[nodiscard]] auto shortened(const KeyedRecord &record) const -> std::optional<KeyedRecord>
    {
        return asTableChange(record, m_ownership.tables);
    }

    /// Returns the owner of a key; empty if the key has no owner.
    [[nodiscard]] auto ownerOf(const ServiceId &service, ShardKey key) const -> ServerIncarnation
    {
        const auto table = m_ownership.tables.find(service);
        const auto *range =
            table == m_ownership.tables.end() ? nullptr : findRange(table->second, key);
        return range == nullptr ? ServerIncarnation{} : range->owner;
    }

private:
    auto applyOperatorRecord(const KeyedRecord &record, bool isNew) -> void
    {
        const auto decoded = settle([&] { return Platform::decodeOperatorRecord(record); });
        if (!decoded) {
            logEvent(LogLevel::Error, "configuration-unreadable",
                     {{"offset", record.offset}, {"error", describe(decoded.error())}});
            return;
        }
        if (const auto *state = std::get_if<DesiredState>(&decoded.value())) {
            applyState(*state);
        } else if (const auto *zone = Platform::evacuationOf(decoded.value())) {
            auto zones = m_registry.evacuatedZones();
            if (zone->active) {
                zones.insert(zone->zone);
            } else {
                zones.erase(zone->zone);
            }
            logEvent(LogLevel::Info, "zone-evacuation",
                     {{"zone", zone->zone.value()}, {"active", zone->active}});
            m_registry.setEvacuatedZones(std::move(zones));
            m_serversChanged = true;
        } else if (const auto *order = Platform::rolloutOrderOf(decoded.value())) {
            if (m_handlers.onRolloutOrder) {
                m_handlers.onRolloutOrder(*order, isNew);
            }
        }
    }

    // Ignores configurations that are not newer than the current one.
    auto applyState(const DesiredState &state) -> void
    {
        if (m_state && state.version <= m_state->state().version) {
            return;
        }
        logEvent(LogLevel::Info, "configuration",
                 {{"version", state.version},
                  {"routes", state.routes.size()},
                  {"teams", state.teams.size()}});
        m_state = std::make_shared<const DesiredStateIndex>(state);
        m_serversChanged = true;
        announceConfigured();
    }

    // Returns whether more than the sequence number of the entry is news.
    auto announce(const ServerEntry &entry, TimePoint now) -> bool
    {
        const auto *previous = m_registry.find(entry.id);
        const auto isNew =
            previous == nullptr || previous->entry.startedUnixMs != entry.startedUnixMs;
        const auto startsDraining = entry.draining && (isNew || !previous->entry.draining);
        const auto changed = isNew || startsDraining || previous->entry.address != entry.address
            || previous->entry.zone != entry.zone || previous->entry.slots != entry.slots
            || previous->coldUntil > now || entry.coldRemaining > milliseconds(0)
            || m_registry.isToBeRemoved(entry.id);
        m_registry.announce(entry, now);
        m_serversChanged = m_serversChanged || changed;
        if (isNew || startsDraining) {
            logEvent(LogLevel::Info, "server",
                     {{"server", entry.id.value()},
                      {"service", entry.service.value()},
                      {"born", entry.startedUnixMs},
                      {"draining", entry.draining}});
        }
        return changed;
    }

    // Keeps an entry whose service is not configured. It names no server, as it may come from
    // another writer, but the configuration may also be late. Returns whether it is news: another
    // VM may have that configuration.
    auto setAside(const ServerEntry &entry) -> bool
    {
        auto before = std::exchange(m_setAside[entry.id], entry);
        const auto isNew =
            before.startedUnixMs != entry.startedUnixMs || before.service != entry.service;
        if (m_state && isNew) { // until there is a configuration, no service is known
            logEvent(LogLevel::Info, "server-of-unknown-service",
                     {{"server", entry.id.value()},
                      {"service", entry.service.value()},
                      {"address", toText(entry.address)},
                      {"born", entry.startedUnixMs}});
        }
        before.sequence = entry.sequence;
        return before != entry;
    }

    auto announceConfigured() -> void
    {
        std::erase_if(m_setAside, [this](const auto &item) {
            const auto configured = m_state->findService(item.second.service) != nullptr;
            if (configured) {
                announce(item.second, m_loop.now());
            }
            return configured;
        });
    }

    auto removeServer(const BackendServerId &id, TimePoint now) -> void
    {
        const auto due = std::max(now, removalsAllowedFrom());
        m_registry.remove(id, due);
        m_serversChanged = true;
        logEvent(LogLevel::Info, "server-gone", {{"server", id.value()}, {"deferred", due > now}});
    }

    // Returns the end of the grace period after the last outage of the servers' topic.
    [[nodiscard]] auto removalsAllowedFrom() const -> TimePoint
    {
        const auto end =
            m_handlers.lastServersOutageEnd ? m_handlers.lastServersOutageEnd() : std::nullopt;
        return end ? *end + removalGrace : TimePoint{};
    }

    // Returns false if the record concerns the ownership and cannot be read.
    auto applyFleetRecord(const KeyedRecord &record) -> bool
    {
        const auto decoded = settle([&] { return decodeFleetRecord(record); });
        if (!decoded) {
            logEvent(LogLevel::Error, "fleet-record-unreadable",
                     {{"key", record.key}, {"error", describe(decoded.error())}});
            if (concernsOwnership(record.key)) {
                return false;
            }
        } else {
            applyDecoded(decoded.value());
        }
        m_ownership.end = std::max(m_ownership.end, record.offset + 1);
        return true;
    }

    auto applyDecoded(const FleetRecord &record) -> void
    {
        if (const auto *member = std::get_if<MemberRecord>(&record)) {
            m_handlers.onMember(*member);
        } else if (const auto *claim = std::get_if<ControllerClaim>(&record)) {
            m_ownership.claim = *claim;
        } else if (const auto *table = std::get_if<TableRecord>(&record)) {
            m_ownership.tables[table->service] = table->table;
        } else if (const auto *change = std::get_if<TableChange>(&record)) {
            applyChange(*change);
        } else if (const auto *rollout = std::get_if<RolloutRecord>(&record)) {
            m_rollouts[rollout->service] = *rollout;
        }
    }

    // Relayed changes follow all earlier records, so that the table before them is known.
    auto applyChange(const TableChange &change) -> void
    {
        auto &table = m_ownership.tables[change.service];
        auto next = withChanges(table, change.ranges);
        if (!isComplete(next)) {
            logEvent(LogLevel::Error, "table-change-unusable",
                     {{"service", change.service.value()}, {"ranges", change.ranges.size()}});
            return;
        }
        table = std::move(next);
    }

    /// No server is removed for this time after the end of an outage. Entries that expired during
    /// the outage are renewed within two seconds of its end.
    static constexpr milliseconds removalGrace{2300};

    EventLoop &m_loop;
    StoreViewHandlers m_handlers;
    std::shared_ptr<const DesiredStateIndex> m_state;
    ServerRegistry m_registry;
    std::map<BackendServerId, ServerEntry> m_setAside; ///< of services that are not configured
    bool m_serversKnown = false;
    bool m_serversChanged = false;
    OwnershipView m_ownership;
    std::map<ServiceId, RolloutRecord> m_rollouts;
};

} // namespace figlanding
