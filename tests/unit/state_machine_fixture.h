#pragma once

#include "figlanding/state_machine.h"

#include <utility>

/// @file
/// An in-memory log and sample records for tests.

namespace figlanding {

/// An in-memory log that applies each record to its state when the record is appended.
class InMemoryLog
{
public:
    /// Appends a payload as the writer "test". Returns the newest audit entry.
    auto append(RecordPayload payload) -> AuditEntry
    {
        return append({.writer = "test", .sequence = m_state.offset + 1}, std::move(payload));
    }

    /// Appends a record at the next offset, which is also its append time in seconds. Returns the
    /// newest audit entry, which belongs to an earlier record if this one added none.
    auto append(RecordId id, RecordPayload payload) -> AuditEntry
    {
        const auto offset = m_state.offset + 1;
        m_records.push_back({.offset = offset,
                             .appendedUnixMs = 1000 * static_cast<std::int64_t>(offset),
                             .record = {.id = std::move(id), .payload = std::move(payload)}});
        m_state = apply(std::move(m_state), m_records.back());
        return m_state.audit.empty() ? AuditEntry{} : m_state.audit.back();
    }

    /// Creates or replaces objects with one ConfigChange.
    auto set(std::vector<DeclaredObject> objects) -> AuditEntry
    {
        auto change = ConfigChange{.author = "ann"};
        for (auto &object : objects) {
            auto &item = change.changes.emplace_back();
            item.ref = refOf(object);
            item.object = std::move(object);
        }
        return append(std::move(change));
    }

    /// Removes an object with one ConfigChange.
    auto remove(ObjectKind kind, const std::string &name) -> AuditEntry
    {
        auto change = ConfigChange{.author = "ann"};
        change.changes.emplace_back().ref = {.kind = kind, .name = name};
        return append(std::move(change));
    }

    auto state() const -> const ClusterState &
    {
        return m_state;
    }

    auto records() const -> const std::vector<LogRecord> &
    {
        return m_records;
    }

private:
    ClusterState m_state;
    std::vector<LogRecord> m_records;
};

/// Two zones, the servers s1 to s3, the exclusive service "rooms" with 8 shards and a route, the
/// pool service "docs", and a team with a key.
inline auto smallCluster() -> std::vector<DeclaredObject>
{
    const auto server = [](const char *name, const char *zone, std::uint16_t port) {
        return BackendServer{.id = BackendServerId(name),
                             .zone = AvailabilityZoneId(zone),
                             .address = {.ip = "127.0.0.1", .port = port},
                             .labels = {{"tier", port == 1 ? "gold" : "plain"}}};
    };
    return {AvailabilityZone{.id = AvailabilityZoneId("a"), .labels = {{"side", "north"}}},
            AvailabilityZone{.id = AvailabilityZoneId("b")},
            server("s1", "a", 1),
            server("s2", "a", 2),
            server("s3", "b", 3),
            Service{.id = ServiceId("rooms"), .mode = ServiceMode::Exclusive, .shardCount = 8},
            Service{.id = ServiceId("docs"), .mode = ServiceMode::Pool},
            Route{.id = RouteId("rooms"), .pathPrefix = "/rooms", .service = ServiceId("rooms")},
            Team{.id = TeamId("north"), .ratePerSecond = 10, .burst = 5},
            TeamKey{.id = TeamKeyId("k1"),
                    .team = TeamId("north"),
                    .saltHex = std::string(16, 'a'),
                    .digestHex = std::string(64, 'b')}};
}

/// A log with smallCluster() in which vm-1 is the controller of term 1.
inline auto smallClusterLog() -> InMemoryLog
{
    auto log = InMemoryLog{};
    log.set(smallCluster());
    log.append(TermClaim{.term = 1, .vm = VmId("vm-1")});
    return log;
}

/// Returns a record of term 1 that adds or removes a member.
inline auto memberChange(const char *vm, const char *incarnation, bool join) -> MemberChange
{
    auto change = MemberChange{};
    change.term = 1;
    change.vm = VmId(vm);
    change.join = join;
    change.incarnation = incarnation;
    return change;
}

/// Returns a record of term 1 that begins moves of shards or keys of "rooms".
inline auto beginRoomsMoves(std::vector<Move> moves) -> BeginMoves
{
    return {.term = 1, .service = ServiceId("rooms"), .moves = std::move(moves)};
}

/// Returns a record of term 1 that commits the moves of "rooms" that began at @p begin.
inline auto commitRoomsMoves(LogOffset begin) -> CommitMoves
{
    return {.term = 1, .service = ServiceId("rooms"), .begin = begin};
}

} // namespace figlanding
