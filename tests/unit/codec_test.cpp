#include "figlanding/codec.h"
#include "figlanding/object_tables.h"
#include "state_machine_fixture.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace figlanding;

namespace {

template <typename Parse>
auto failureText(const Parse &parse) -> std::string
{
    return valueOrElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parse());
            return std::string("parsed");
        },
        [](const Error &error) { return describe(error); });
}

auto selector(const char *text) -> Selector
{
    return Selector::parse(text).value();
}

auto samplePayloads() -> std::vector<RecordPayload>
{
    const auto object = DeclaredObject(smallCluster().at(2));
    auto join = MemberChange{.term = 3, .vm = VmId("vm-2"), .zone = AvailabilityZoneId("a")};
    join.peerAddress = {.ip = "::1", .port = 7001};
    auto leave = join;
    leave.join = false;
    leave.peerAddress = {};
    return {
        ConfigChange{.author = "ann",
                     .reason = "first",
                     .changes = {{.ref = refOf(object), .object = object, .expectedVersion = 0},
                                 {.ref = {.kind = ObjectKind::Route, .name = "r"}}}},
        TermClaim{.term = 3, .vm = VmId("vm-1")},
        join,
        leave,
        ServerStatusChange{
            .term = 3, .server = BackendServerId("s1"), .up = false, .evidence = "x"},
        BeginMoves{.term = 3,
                   .service = ServiceId("rooms"),
                   .moves = {{.shard = 7, .to = BackendServerId("s1")},
                             {.key = "k", .to = BackendServerId("s2")}}},
        CommitMoves{.term = 3, .service = ServiceId("rooms"), .begin = 17},
        KeyIsolation{.term = 3, .service = ServiceId("rooms"), .key = "k"},
        QuarantineChange{.author = "vm-1", .requestDigest = "d", .untilUnixMs = 99},
        SnapshotChunk{.term = 3,
                      .snapshotId = "s",
                      .covers = 9,
                      .index = 1,
                      .count = 2,
                      .checksum = "c",
                      .data = std::string("\0\xff\x80z", 4)},
    };
}

} // namespace

TEST_CASE("declarations round-trip through JSON")
{
    auto objects = smallCluster();
    objects.emplace_back(RoutingKey{
        .service = ServiceId("rooms"), .key = "hall/7", .servers = selector("tier=gold")});
    objects.emplace_back(Policy{.id = PolicyId("p"),
                                .labels = {{"a", "b"}},
                                .teams = selector("tier in (x, y)"),
                                .deny = true});
    for (const auto &object : objects) {
        CAPTURE(toText(refOf(object)));
        CHECK(objectFromJson(toJson(object)).value() == object);
    }
}

TEST_CASE("records round-trip through JSON text")
{
    const auto id = RecordId{.writer = "vm-1-ab", .sequence = 5};
    for (const auto &payload : samplePayloads()) {
        CAPTURE(payloadName(payload));
        auto record = Record{.id = id};
        record.payload = payload;
        const auto text = toJson(record).dump();
        CHECK(recordFromJson(nlohmann::json::parse(text)).value() == record);
    }
}

TEST_CASE("invalid declarations are rejected with the path of the field")
{
    struct Row
    {
        const char *json;
        const char *message;
    };
    for (const auto &row : {
             Row{R"([])", "invalid value: expected an object"},
             Row{R"({"name": "a"})", "missing field: kind"},
             Row{R"({"kind": "Zone", "name": "a"})", "kind: unknown kind \"Zone\""},
             Row{R"({"kind": "Team", "name": "t"})", "missing field: spec.rate_per_second"},
             Row{R"({"kind": "Team", "name": "t", "spec": {"rate_per_second": "1", "burst": 1}})",
                 "spec.rate_per_second: expected a number"},
             Row{R"({"kind": "Team", "name": "t", "spec": {"rate_per_second": -1, "burst": 1}})",
                 "rate_per_second is -1"},
             Row{R"({"kind": "Policy", "name": "p", "spec": {"allow": true}})",
                 "unknown field: spec.allow"},
             Row{R"({"kind": "Policy", "name": "p", "extra": 1})", "unknown field: extra"},
             Row{R"({"kind": "Policy", "name": "p", "spec": {"teams": "a in b"}})",
                 "invalid syntax: spec.teams: expected '('"},
             Row{R"({"kind": "Policy", "name": "p q"})", "name of policy"},
             Row{R"({"kind": "Policy", "name": "p", "labels": {"a": "!"}})", "labels: label value"},
             Row{R"({"kind": "RoutingKey", "name": "rooms"})", "a routing key must be"},
             Row{R"({"kind": "BackendServer", "name": "s", "spec":
                    {"zone": "a", "address": "localhost:1"}})",
                 "spec.address: \"localhost:1\" is not"},
         }) {
        CAPTURE(row.json);
        const auto text =
            failureText([&] { return objectFromJson(nlohmann::json::parse(row.json)); });
        CHECK_MESSAGE(text.find(row.message) != std::string::npos, text);
    }
}

TEST_CASE("socket addresses consist of an IP address and a port")
{
    struct Row
    {
        const char *text;
        bool valid;
    };
    for (const auto &row :
         {Row{"127.0.0.1:80", true}, Row{"[::1]:65535", true}, Row{"::1:80", false},
          Row{"127.0.0.1", false}, Row{"127.0.0.1:0", false}, Row{"127.0.0.1:65536", false},
          Row{"127.0.0.1:8x", false}, Row{"[127.0.0.1]:80", false}, Row{":80", false},
          Row{"", false}}) {
        CAPTURE(row.text);
        const auto text = failureText([&] { return parseSocketAddress(row.text); });
        CHECK((text == "parsed") == row.valid);
    }
    CHECK(toText(parseSocketAddress("[0:0::1]:80").value()) == "[::1]:80");
}

TEST_CASE("cluster states round-trip through CBOR")
{
    auto log = smallClusterLog();
    for (const auto &payload : samplePayloads()) {
        log.append(payload);
    }
    log.append(memberChange("vm-2", "i1", true));
    log.append(ServerStatusChange{.term = 1, .server = BackendServerId("s1"), .up = false});
    log.append(KeyIsolation{.term = 1, .service = ServiceId("rooms"), .key = "k"});
    log.append(beginRoomsMoves({{.shard = 7, .to = BackendServerId("s1")}}));
    CHECK(decodeState(encodeState(log.state())).value() == log.state());
    CHECK(decodeState(encodeState({})).value() == ClusterState{});
}

TEST_CASE("truncated, extended and deeply nested states are rejected")
{
    const auto complete = encodeState(smallClusterLog().state());
    const auto nested = std::string(1'000'000, '\x81');
    for (const auto &bytes :
         {std::string{}, complete.substr(0, complete.size() - 1), complete + "x", nested,
          std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)}) {
        CHECK(failureText([&] { return decodeState(bytes); }) != "parsed");
    }
}
