#include "state_machine_fixture.h"

#include "figlanding/sharding.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto server(const char *name) -> BackendServerId
{
    return BackendServerId(name);
}

auto rooms() -> ServiceId
{
    return ServiceId("rooms");
}

auto shard(const InMemoryLog &log, ShardIndex index) -> Assignment
{
    return log.state().assignments.at(rooms()).shards.at(index);
}

auto isolate(const std::string &key, bool isolated) -> KeyIsolation
{
    return {.term = 1, .service = rooms(), .key = key, .isolate = isolated};
}

// Returns the log of a small cluster in which s1 owns shard 0.
auto logWithOwner() -> InMemoryLog
{
    auto log = smallClusterLog();
    log.append(beginRoomsMoves({{.shard = 0, .to = server("s1")}}));
    log.append(commitRoomsMoves(log.state().offset));
    return log;
}

// Returns a key that hashes to shard 0 of "rooms".
auto keyOfShardZero() -> std::string
{
    auto key = std::string("k");
    while (shardOf(key, 8) != 0) {
        key += 'k';
    }
    return key;
}

// Asserts that the payload is rejected with a text that contains @p part, and that nothing in the
// state changes but the offset, the time, the writers and the new audit entry.
auto checkRefused(InMemoryLog log, const RecordPayload &payload, const std::string &part) -> void
{
    auto before = log.state();
    const auto entry = log.append(payload);
    CAPTURE(entry.summary);
    CHECK_FALSE(entry.accepted);
    CHECK_MESSAGE(entry.refusal.find(part) != std::string::npos, entry.refusal);
    auto after = log.state();
    after.audit.pop_back();
    after.offset = before.offset;
    after.unixMs = before.unixMs;
    after.writers = before.writers;
    CHECK(after == before);
}

auto setOf(DeclaredObject object, std::optional<LogOffset> expected = std::nullopt) -> ObjectChange
{
    auto change = ObjectChange{};
    change.ref = refOf(object);
    change.object = std::move(object);
    change.expectedVersion = expected;
    return change;
}

auto removalOf(ObjectKind kind, const char *name) -> ObjectChange
{
    auto change = ObjectChange{};
    change.ref = {.kind = kind, .name = name};
    return change;
}

auto zone(const char *name) -> AvailabilityZone
{
    return {.id = AvailabilityZoneId(name)};
}

auto misnamedZone() -> ObjectChange
{
    auto change = setOf(zone("c"));
    change.ref.kind = ObjectKind::Team;
    return change;
}

auto route(const char *name, const char *prefix, const char *service) -> Route
{
    return {.id = RouteId(name), .pathPrefix = prefix, .service = ServiceId(service)};
}

auto exclusive(const char *name, std::uint32_t shards) -> Service
{
    return {.id = ServiceId(name), .mode = ServiceMode::Exclusive, .shardCount = shards};
}

auto roomsKey(const std::string &key) -> RoutingKey
{
    return {.service = rooms(), .key = key};
}

auto serverAt(const char *name, const char *zoneName, std::uint16_t port) -> BackendServer
{
    return {.id = server(name),
            .zone = AvailabilityZoneId(zoneName),
            .address = {.ip = "127.0.0.1", .port = port}};
}

} // namespace

TEST_CASE("a configuration change with an invalid part is rejected atomically")
{
    struct Row
    {
        std::vector<ObjectChange> changes;
        const char *refusal;
    };
    using Kind = ObjectKind;
    for (const auto &row : std::vector<Row>{
             {{}, "no changes"},
             {{setOf(zone("c")), setOf(zone("a"), 0)}, "has version 1, expected 0"},
             {{setOf(zone("c"), 1)}, "has version 0, expected 1"},
             {{setOf(zone("c")), setOf(zone("c"))}, "changed twice"},
             {{misnamedZone()}, "holds"},
             {{removalOf(Kind::Team, "west")}, "unknown object: Team \"west\""},
             {{setOf(zone("c")), setOf(serverAt("s4", "d", 4))}, "\"d\" named by BackendServer"},
             {{setOf(zone("c")), removalOf(Kind::AvailabilityZone, "b")}, "used by BackendServer"},
             {{removalOf(Kind::Team, "north")}, "used by TeamKey \"k1\""},
             {{removalOf(Kind::Service, "rooms")}, "used by Route \"rooms\""},
             {{removalOf(Kind::BackendServer, "s1")}, "used by assignments of service \"rooms\""},
             {{setOf(serverAt("s1", "a", 9))}, "its address cannot change"},
             {{setOf(exclusive("rooms", 9))}, "are fixed"},
             {{setOf(Service{.id = rooms(), .shardCount = 8})}, "are fixed"},
             {{setOf(route("r2", "/rooms", "docs"))}, "is that of Route \"rooms\""},
             {{setOf(route("r2", "/r", "none"))}, "Service \"none\" named by Route \"r2\""},
             {{setOf(RoutingKey{.service = ServiceId("docs"), .key = "k"})}, "is not exclusive"},
             {{setOf(Team{.id = TeamId("a b")})}, "name of team"},
         }) {
        checkRefused(logWithOwner(), ConfigChange{.author = "ann", .changes = row.changes},
                     row.refusal);
    }
}

TEST_CASE("the order of changes in one record does not matter")
{
    auto log = smallClusterLog();
    const auto entry =
        log.append(ConfigChange{.author = "ann",
                                .reason = "move to c",
                                .changes = {removalOf(ObjectKind::AvailabilityZone, "b"),
                                            setOf(serverAt("s3", "c", 3)), setOf(zone("c"), 0)}});
    CHECK(entry.accepted);
    CHECK(entry.author == "ann");
    CHECK(entry.summary
          == "set BackendServer \"s3\", AvailabilityZone \"c\"; remove AvailabilityZone \"b\""
             ": move to c");
    CHECK(log.state().zones.at(AvailabilityZoneId("c")).version == log.state().offset);
}

TEST_CASE("invalid control records are rejected")
{
    struct Row
    {
        RecordPayload payload;
        const char *refusal;
    };
    const auto toS1 = std::vector<Move>{{.shard = 1, .to = server("s1")}};
    auto staleBegin = beginRoomsMoves(toS1);
    staleBegin.term = 2;
    for (const auto &row : std::vector<Row>{
             {TermClaim{.term = 1, .vm = VmId("vm-2")}, "the next term is 2"},
             {TermClaim{.term = 3, .vm = VmId("vm-2")}, "the next term is 2"},
             {staleBegin, "the current term is 1"},
             {beginRoomsMoves({}), "no moves"},
             {beginRoomsMoves({{.shard = 8, .to = server("s1")}}), "shard 8"},
             {beginRoomsMoves({{.key = "k", .to = server("s1")}}), "key \"k\""},
             {beginRoomsMoves({{.shard = 1, .to = server("s9")}}), "server \"s9\""},
             {beginRoomsMoves({{.shard = 0, .to = server("s1")}}), "is owned by \"s1\""},
             {beginRoomsMoves({{.shard = 1, .to = server("s1")}, {.shard = 0, .to = server("s1")}}),
              "shard 0 is owned"},
             {beginRoomsMoves({{.shard = 1, .to = server("s1")}, {.shard = 1, .to = server("s2")}}),
              "named twice"},
             {commitRoomsMoves(0), "began at offset 0"},
             {commitRoomsMoves(3), "began at offset 3"},
             {memberChange("vm-1", "i1", true), "is a member with incarnation"},
             {memberChange("vm-1", "i2", false), "has incarnation \"i1\""},
             {memberChange("vm-2", "", false), "is no member"},
             {ServerStatusChange{.term = 1, .server = server("s9")}, "server \"s9\""},
             {isolate("", true), "a routing key must be"},
             {isolate("k", false), "isolated key \"k\""},
             {QuarantineChange{.author = "vm-1", .requestDigest = "d"}, "lapsed before"},
             {QuarantineChange{.author = "vm-1", .requestDigest = "d", .quarantine = false},
              "no quarantine"},
             {UnreadableRecord{.reason = "no kind"}, "no kind"},
         }) {
        auto log = logWithOwner();
        log.append(memberChange("vm-1", "i1", true));
        checkRefused(std::move(log), row.payload, row.refusal);
    }
}

TEST_CASE("a move blocks requests until its commit sets the owner and the fence")
{
    auto log = logWithOwner();
    CHECK(shard(log, 0) == Assignment{.owner = server("s1"), .fence = 4});
    log.append(beginRoomsMoves({{.shard = 0, .to = server("s2")}}));
    CHECK(shard(log, 0).moving());
    CHECK(shard(log, 0).owner == server("s1"));
    log.append(beginRoomsMoves({{.shard = 0, .to = server("s3")}}));
    CHECK_FALSE(log.append(commitRoomsMoves(5)).accepted);
    CHECK(log.append(commitRoomsMoves(6)).accepted);
    CHECK(shard(log, 0) == Assignment{.owner = server("s3"), .fence = 8});
    CHECK_FALSE(log.append(commitRoomsMoves(6)).accepted);
}

TEST_CASE("a moving shard may be reassigned to its owner, with a new fence")
{
    auto log = logWithOwner();
    log.append(beginRoomsMoves({{.shard = 0, .to = server("s2")}}));
    CHECK(log.append(beginRoomsMoves({{.shard = 0, .to = server("s1")}})).accepted);
    log.append(commitRoomsMoves(log.state().offset));
    CHECK(shard(log, 0) == Assignment{.owner = server("s1"), .fence = 7});
}

TEST_CASE("isolation copies the shard's assignment and ends only under the same owner")
{
    const auto key = keyOfShardZero();
    for (const auto declared : {false, true}) {
        CAPTURE(declared);
        auto log = logWithOwner();
        const auto add = [&] {
            return declared ? log.set({roomsKey(key)}) : log.append(isolate(key, true));
        };
        const auto drop = [&] {
            return declared ? log.remove(ObjectKind::RoutingKey, "rooms/" + key)
                            : log.append(isolate(key, false));
        };
        CHECK(add().accepted);
        CHECK(*assignmentForKey(log.state(), rooms(), key) == shard(log, 0));
        const auto keyBegin =
            log.append(beginRoomsMoves({{.key = key, .to = server("s2")}})).offset;
        CHECK(drop().refusal.find("is owned by \"s1\" (moving)") != std::string::npos);
        log.append(commitRoomsMoves(keyBegin));
        CHECK(assignmentForKey(log.state(), rooms(), key)->owner == server("s2"));
        CHECK(drop().refusal.find("by \"s1\"; it can return only") != std::string::npos);
        const auto begin = log.append(beginRoomsMoves({{.shard = 0, .to = server("s2")}})).offset;
        CHECK(drop().refusal.find("by \"s1\" (moving)") != std::string::npos);
        log.append(commitRoomsMoves(begin));
        CHECK(drop().accepted);
        CHECK(log.state().assignments.at(rooms()).isolatedKeys.empty());
    }
}

TEST_CASE("a key isolated during a move of its shard is committed with the shard")
{
    auto log = logWithOwner();
    log.append(beginRoomsMoves({{.shard = 0, .to = server("s2")}}));
    const auto begin = log.state().offset;
    log.append(isolate(keyOfShardZero(), true));
    CHECK(assignmentForKey(log.state(), rooms(), keyOfShardZero())->moving());
    log.append(commitRoomsMoves(begin));
    CHECK(assignmentForKey(log.state(), rooms(), keyOfShardZero())->owner == server("s2"));
}

TEST_CASE("records of an older term are rejected after a term claim")
{
    auto log = smallClusterLog();
    CHECK(log.append(TermClaim{.term = 2, .vm = VmId("vm-2")}).accepted);
    const auto entry = log.append(beginRoomsMoves({{.shard = 0, .to = server("s1")}}));
    CHECK(entry.refusal == "stale controller term: record of term 1, the current term is 2");
    CHECK(entry.author == "test");
}

TEST_CASE("a duplicate record has no effect and no audit entry")
{
    auto log = smallClusterLog();
    const auto id = RecordId{.writer = "vm-1-x", .sequence = 7};
    log.append(id, beginRoomsMoves({{.shard = 0, .to = server("s1")}}));
    auto before = log.state();
    log.append(id, beginRoomsMoves({{.shard = 0, .to = server("s2")}}));
    log.append({.writer = "vm-1-x", .sequence = 6}, TermClaim{.term = 2, .vm = VmId("vm-2")});
    CHECK(log.state().audit == before.audit);
    CHECK(log.state().assignments == before.assignments);
    CHECK(log.state().term == 1);
}

TEST_CASE("each unreadable record has an audit entry")
{
    auto log = smallClusterLog();
    log.append({}, UnreadableRecord{.reason = "x"});
    log.append({}, UnreadableRecord{.reason = "y"});
    CHECK(log.state().audit.size() == 4);
}

TEST_CASE("a record at or before the state's offset is ignored")
{
    const auto log = smallClusterLog();
    CHECK(apply(log.state(), log.records().front()) == log.state());
}

TEST_CASE("a new incarnation of a member replaces the old one")
{
    auto log = smallClusterLog();
    log.append(memberChange("vm-2", "i1", true));
    CHECK(log.append(memberChange("vm-2", "i2", true)).accepted);
    CHECK(log.state().members.at(VmId("vm-2")).incarnation == "i2");
    CHECK(log.state().membersSince == log.state().offset);
    CHECK(log.append(memberChange("vm-2", "i2", false)).accepted);
    CHECK(log.state().members.empty());
}

TEST_CASE("quarantines expire by the log's time")
{
    auto log = smallClusterLog();
    log.append(QuarantineChange{.author = "vm-1", .requestDigest = "d", .untilUnixMs = 5000});
    log.append(TermClaim{.term = 9, .vm = VmId("vm-1")});
    CHECK(log.state().quarantines.contains("d"));
    log.append(TermClaim{.term = 9, .vm = VmId("vm-1")});
    CHECK(log.state().quarantines.empty());
}

TEST_CASE("the audit trail is bounded and inactive writers are discarded")
{
    auto state = ClusterState{};
    auto record = LogRecord{};
    record.record.id = {.writer = "early", .sequence = 1};
    record.record.payload = TermClaim{.term = 9, .vm = VmId("vm-1")};
    for (LogOffset offset = 1; offset <= writerRetentionRecords + 2048; ++offset) {
        record.offset = offset;
        state = apply(std::move(state), record);
        record.record.id = {.writer = "late", .sequence = offset};
    }
    CHECK(state.audit.size() == maxAuditEntries);
    CHECK(state.writers.size() == 1);
}
