#include "figlanding/selection.h"

#include "state_machine_fixture.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto selector(const char *text) -> Selector
{
    return Selector::parse(text).value();
}

auto route(const char *name, const char *prefix, const char *service) -> Route
{
    return {.id = RouteId(name),
            .labels = {{"name", name}},
            .pathPrefix = prefix,
            .service = ServiceId(service)};
}

// A small cluster with routes to both services. Server s1 owns every shard of the service "rooms".
auto clusterLog() -> InMemoryLog
{
    auto log = smallClusterLog();
    auto open = route("open", "/docs/open", "docs");
    open.open = true;
    auto header = route("header", "/by-header", "rooms");
    header.keySource = KeySource::Header;
    log.set({route("docs", "/docs", "docs"), open, header, route("slash", "/s/", "docs")});
    auto moves = std::vector<Move>{};
    for (ShardIndex shard = 0; shard < 8; ++shard) {
        moves.push_back({.shard = shard, .to = BackendServerId("s1")});
    }
    log.append(commitRoomsMoves(log.append(beginRoomsMoves(moves)).offset));
    return log;
}

auto requestFor(std::string_view path) -> SelectionRequest
{
    return {.path = path, .teamKey = TeamKeyId("k1")};
}

// Returns the result of select() as text: the servers, the owner or the refusal.
auto outcome(const ClusterState &state, const SelectionRequest &request) -> std::string
{
    const auto selected = select(state, request);
    if (const auto *const refusal = std::get_if<Refusal>(&selected)) {
        CHECK(refusal->verdict == Verdict::NotRun);
        return std::string(toText(refusal->reason)) + ": " + refusal->detail;
    }
    const auto &selection = std::get<Selection>(selected);
    if (selection.assignment != nullptr) {
        return "owner " + selection.assignment->owner.value() + " of " + selection.routingKey;
    }
    auto text = std::string("servers");
    for (const auto &server : selection.servers) {
        text += " " + server.value();
    }
    return text;
}

auto outcome(const ClusterState &state, std::string_view path) -> std::string
{
    return outcome(state, requestFor(path));
}

} // namespace

TEST_CASE("select() considers path, routing key and team key")
{
    const auto log = clusterLog();
    struct Row
    {
        SelectionRequest request;
        const char *outcome;
    };
    for (const auto &row : {
             Row{requestFor("/rooms/room%2012/free?x=1"), "owner s1 of room 12"},
             Row{requestFor("/by-header/x"), "malformed-request: missing field: routing key"},
             Row{{.path = "/by-header", .routingKeyHeader = "k", .teamKey = TeamKeyId("k1")},
                 "owner s1 of k"},
             Row{requestFor("/rooms"), "malformed-request: missing field"},
             Row{requestFor("/rooms//x"), "malformed-request: missing field"},
             Row{requestFor("/rooms/%zz"), "malformed-request: invalid syntax: escape"},
             Row{requestFor("/rooms/%4"), "malformed-request: invalid syntax: escape"},
             Row{requestFor("/docs/../rooms/1"), "malformed-request: invalid value: path"},
             Row{requestFor("/docs/%2e%2E/rooms"), "malformed-request: invalid value: path"},
             Row{requestFor("rooms"), "malformed-request: invalid syntax: path"},
             Row{requestFor("/roomsx/1"), "no-route: path \"/roomsx/1\""},
             Row{requestFor("/s"), "no-route: path \"/s\""},
             Row{requestFor("/s/x"), "servers s1 s2 s3"},
             Row{requestFor("/docs"), "servers s1 s2 s3"},
             Row{{.path = "/docs/a"}, "missing-team-key: route \"docs\""},
             Row{{.path = "/docs/open/a"}, "servers s1 s2 s3"},
             Row{{.path = "/docs/openly"}, "missing-team-key: route \"docs\""},
             Row{{.path = "/docs", .teamKey = TeamKeyId("k9")},
                 "invalid-team-key: team key \"k9\""},
         }) {
        CAPTURE(row.request.path);
        const auto text = outcome(log.state(), row.request);
        CHECK_MESSAGE(text.find(row.outcome) == 0, text);
    }
}

TEST_CASE("routing keys are limited to 256 bytes")
{
    const auto log = clusterLog();
    CHECK(outcome(log.state(), "/rooms/" + std::string(256, 'k')).find("owner s1") == 0);
    CHECK(outcome(log.state(), "/rooms/" + std::string(257, 'k')).find("limit is 256")
          != std::string::npos);
}

TEST_CASE("policies restrict servers, zones and owners")
{
    struct Row
    {
        Policy policy;
        const char *path;
        const char *outcome;
    };
    const auto id = PolicyId("p");
    for (const auto &row : {
             Row{{.id = id, .servers = selector("tier=gold")}, "/docs", "servers s1"},
             Row{{.id = id, .zones = selector("side=north")}, "/docs", "servers s1 s2"},
             Row{{.id = id, .servers = selector("tier=lead")},
                 "/docs",
                 "no-eligible-server: service \"docs\" of route \"docs\" under 1 policies"},
             Row{{.id = id, .routes = selector("name=open"), .servers = selector("tier=gold")},
                 "/docs",
                 "servers s1 s2 s3"},
             Row{{.id = id, .teams = selector("big"), .deny = true}, "/docs", "servers s1 s2 s3"},
             Row{{.id = id, .teams = selector("!big"), .deny = true},
                 "/docs",
                 "forbidden-by-policy: policy \"p\" denies route \"docs\""},
             Row{{.id = id, .teamKeys = selector("x=y"), .deny = true},
                 "/docs",
                 "servers s1 s2 s3"},
             Row{{.id = id, .servers = selector("tier=gold")}, "/rooms/1", "owner s1 of 1"},
             Row{{.id = id, .servers = selector("tier!=gold")},
                 "/rooms/1",
                 "forbidden-by-policy: policy \"p\" does not permit the owner \"s1\""},
             Row{{.id = id, .zones = selector("!side")},
                 "/rooms/1",
                 "forbidden-by-policy: policy \"p\" does not permit the owner \"s1\""},
         }) {
        auto log = clusterLog();
        REQUIRE(log.set({row.policy}).accepted);
        CHECK(outcome(log.state(), row.path) == row.outcome);
    }
}

TEST_CASE("a server must be permitted by every matching policy")
{
    auto log = clusterLog();
    log.set({Policy{.id = PolicyId("p"), .zones = selector("side=north")},
             Policy{.id = PolicyId("q"), .servers = selector("tier!=gold")}});
    CHECK(outcome(log.state(), "/docs") == "servers s2");
}

TEST_CASE("servers that are leaving, down or in a leaving zone accept no new requests")
{
    auto log = clusterLog();
    auto zone = AvailabilityZone{.id = AvailabilityZoneId("b"), .state = AdminState::Leaving};
    log.set({zone});
    CHECK(outcome(log.state(), "/docs") == "servers s1 s2");
    log.append(ServerStatusChange{.term = 1, .server = BackendServerId("s2"), .up = false});
    CHECK(outcome(log.state(), "/docs") == "servers s1");
    auto leaving = log.state().servers.at(BackendServerId("s1")).object;
    leaving.state = AdminState::Leaving;
    log.set({leaving});
    CHECK(outcome(log.state(), "/docs").find("no-eligible-server") == 0);
}

TEST_CASE("select() accepts a key whose owner is changing, so that the request can be queued")
{
    auto log = clusterLog();
    log.set({Policy{.id = PolicyId("p"), .servers = selector("tier!=gold")}});
    auto moves = std::vector<Move>{};
    for (ShardIndex shard = 0; shard < 8; ++shard) {
        moves.push_back({.shard = shard, .to = BackendServerId("s2")});
    }
    log.append(beginRoomsMoves(moves));
    CHECK(outcome(log.state(), "/rooms/1") == "owner s1 of 1");
    log.append(commitRoomsMoves(log.state().offset));
    CHECK(outcome(log.state(), "/rooms/1") == "owner s2 of 1");
}
