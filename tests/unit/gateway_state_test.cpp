#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/fleet_view.h"
#include "figlanding/gateway/relay_schedule.h"
#include "figlanding/gateway/retry_time_estimator.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/suspend_detector.h"
#include "figlanding/gateway/time_text.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <map>
#include <string>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(1000);

auto route(const std::string &id, const std::string &host, const std::string &prefix)
    -> DesiredRoute
{
    return {.id = RouteId(id),
            .host = host,
            .pathPrefix = prefix,
            .services = {{.service = ServiceId(std::string("s-").append(id))}}};
}

auto entry(const std::string &id, std::int64_t startedUnixMs, std::uint64_t sequence) -> ServerEntry
{
    return {.id = BackendServerId(id),
            .startedUnixMs = startedUnixMs,
            .service = ServiceId("rooms"),
            .address = {"10.0.0.1", 80},
            .zone = AvailabilityZoneId("a"),
            .slots = 2,
            .sequence = sequence};
}

template <typename Value>
auto roundTrip(const Value &payload) -> FleetMessage
{
    const auto message =
        FleetMessage{.from = VmId("vm-1"), .incarnation = "i1", .payload = payload};
    return valueOrElse([&] { return decodeFleetMessage(encodeFleetMessage(message)); },
                       [](const Error &) { return FleetMessage{}; });
}

auto isRejected(const std::string &span) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(parseDuration(span));
            return false;
        },
        [](const Error &) { return true; });
}

} // namespace

TEST_CASE("a path matches the route with the longest prefix on its host")
{
    const auto index = DesiredStateIndex(
        {.routes = {route("a", "x.example", "/rooms/"), route("b", "x.example", "/rooms/big/"),
                    route("c", "y.example", "/")}});
    CHECK(index.findRoute("x.example", "/rooms/1")->id == RouteId("a"));
    CHECK(index.findRoute("x.example:80", "/rooms/big/1")->id == RouteId("b"));
    CHECK(index.findRoute("x.example", "/rooms") == nullptr);
    CHECK(index.findRoute("y.example", "/rooms/1")->id == RouteId("c"));
    CHECK(index.findRoute("z.example", "/") == nullptr);
}

TEST_CASE("services are picked in proportion to their weights")
{
    auto split = route("a", "x", "/");
    split.services = {{.service = ServiceId("big"), .weight = 90},
                      {.service = ServiceId("small"), .weight = 10}};
    CHECK(pickService(split, 0.0) == ServiceId("big"));
    CHECK(pickService(split, 0.89) == ServiceId("big"));
    CHECK(pickService(split, 0.91) == ServiceId("small"));
    CHECK(pickService(split, 0.9999) == ServiceId("small"));
}

TEST_CASE(
    "announcements of an older incarnation, or older ones of the same incarnation, are ignored")
{
    auto registry = ServerRegistry();
    registry.announce(entry("s", 10, 5), start);
    registry.announce(entry("s", 9, 9), start);
    CHECK(registry.find(BackendServerId("s"))->entry.startedUnixMs == 10);
    auto leaving = entry("s", 10, 6);
    leaving.draining = true;
    registry.announce(leaving, start);
    registry.announce(entry("s", 10, 5), start);
    CHECK(registry.find(BackendServerId("s"))->entry.draining);
    registry.announce(entry("s", 10, 7), start);
    CHECK(registry.find(BackendServerId("s"))->entry.draining);
    registry.announce(entry("s", 11, 1), start);
    CHECK_FALSE(registry.find(BackendServerId("s"))->entry.draining);
}

TEST_CASE("an entry that changes the service or address of an incarnation is ignored")
{
    auto registry = ServerRegistry();
    registry.announce(entry("s", 10, 5), start);
    auto forged = entry("s", 10, 6);
    forged.service = ServiceId("other");
    registry.announce(forged, start);
    CHECK(registry.find(BackendServerId("s"))->entry.service == ServiceId("rooms"));
    forged = entry("s", 10, 6);
    forged.address.port = 99;
    registry.announce(forged, start);
    CHECK(registry.find(BackendServerId("s"))->entry.address.port == 80);
}

TEST_CASE("a server whose expired entry reappears in time is not removed")
{
    auto registry = ServerRegistry();
    registry.announce(entry("s", 10, 5), start);
    registry.announce(entry("t", 10, 5), start);
    registry.remove(BackendServerId("s"), start + seconds(2));
    registry.remove(BackendServerId("t"), start + seconds(2));
    CHECK_FALSE(registry.expire(start + seconds(1)));
    registry.announce(entry("s", 10, 6), start + seconds(1));
    CHECK(registry.expire(start + seconds(2)));
    CHECK(registry.find(BackendServerId("s")) != nullptr);
    CHECK(registry.find(BackendServerId("t")) == nullptr);
}

TEST_CASE("an owner that has left, restarted or is gone is told from one that is not known yet")
{
    auto registry = ServerRegistry();
    const auto owner = ServerIncarnation{.server = BackendServerId("s"), .startedUnixMs = 10};
    CHECK(registry.ownerState(owner) == OwnerState::Unknown);
    registry.announce(entry("s", 10, 5), start);
    CHECK(registry.ownerState(owner) == OwnerState::Usable);
    registry.setEvacuatedZones({AvailabilityZoneId("a")});
    CHECK(registry.ownerState(owner) == OwnerState::Leaving);
    registry.setEvacuatedZones({});
    registry.announce(entry("s", 11, 1), start);
    CHECK(registry.ownerState(owner) == OwnerState::Restarted);
    registry.remove(BackendServerId("s"), start + seconds(1));
    CHECK(registry.expire(start + seconds(1)));
    CHECK(registry.ownerState(owner) == OwnerState::Gone);
    CHECK(registry.goneSince(BackendServerId("s")) == start + seconds(1));
    registry.announce(entry("s", 12, 1), start + seconds(2));
    CHECK(registry.ownerState(owner) == OwnerState::Restarted);
    CHECK_FALSE(registry.goneSince(BackendServerId("s")));
}

TEST_CASE("servers of evacuated zones get no new requests")
{
    auto registry = ServerRegistry();
    registry.announce(entry("s", 10, 5), start);
    const auto &server = *registry.find(BackendServerId("s"));
    CHECK(registry.acceptsRequests(server));
    registry.setEvacuatedZones({AvailabilityZoneId("a")});
    CHECK_FALSE(registry.acceptsRequests(server));
    registry.setEvacuatedZones({});
    CHECK(registry.acceptsRequests(server));
}

TEST_CASE("datagrams are unchanged by encoding and decoding")
{
    const auto heartbeat = Heartbeat{
        .leaving = true,
        .capacity = 0.2,
        .topicEnds = {{"t", 17}},
        .usageByTeam = {{TeamId("band"), {.admitted = 3, .demand = 2.5, .admittedRate = 1.5}}},
        .groupCounts = {{ServiceId("s"), 7}},
        .serverLimits = {{.server = {BackendServerId("s"), 7},
                          .limit = {.requestsPerSecond = 5.5, .used = 1.5}}},
        .uptime = milliseconds(7100)};
    CHECK(roundTrip(heartbeat).payload == FleetPayload(heartbeat));
    const auto acquire = SlotAcquire{.ticket = 9,
                                     .service = ServiceId("s#0"),
                                     .owner = BackendServerId("o"),
                                     .excluded = {BackendServerId("e")},
                                     .priority = 2,
                                     .zone = AvailabilityZoneId("a"),
                                     .waited = milliseconds(5),
                                     .objectiveIn = milliseconds(-7),
                                     .deadlineIn = milliseconds(900)};
    CHECK(roundTrip(acquire).payload == FleetPayload(acquire));
    const auto response = SlotResponse{.ticket = 9,
                                       .process = "p",
                                       .state = SlotState::Granted,
                                       .server = {BackendServerId("s"), 7},
                                       .retryAfter = milliseconds(3)};
    CHECK(roundTrip(response).payload == FleetPayload(response));
    const auto done = SlotRelease{.ticket = 9,
                                  .end = SlotEnd::Lost,
                                  .elapsed = milliseconds(12),
                                  .load = LoadReport{1, 2, 3, 1.5}};
    CHECK(roundTrip(done).payload == FleetPayload(done));
    for (const auto &terms : {ServerTerms{.requestsPerSecond = 5.5}, ServerTerms{}}) {
        auto stated = done;
        stated.terms = terms;
        CHECK(roundTrip(stated).payload == FleetPayload(stated));
        stated.load.reset();
        CHECK(roundTrip(stated).payload == FleetPayload(stated));
    }
    const auto update =
        TopicUpdate{.topic = "t",
                    .from = 5,
                    .next = 9,
                    .records = {{.offset = 6, .key = "k", .value = std::string("\0\xff", 2)},
                                {.offset = 8, .key = "gone"}},
                    .age = milliseconds(40),
                    .complete = false};
    CHECK(roundTrip(update).payload == FleetPayload(update));
    const auto work = WorkReport{.keys = {{ServiceId("s"), 65'535, 2}},
                                 .serviceTimes = {{BackendServerId("s"), milliseconds(90)}}};
    CHECK(roundTrip(work).payload == FleetPayload(work));
    const auto leases = LeaseReport{
        .term = 7, .grants = {{.server = {BackendServerId("s"), 7}, .ago = milliseconds(-30)}}};
    CHECK(roundTrip(leases).payload == FleetPayload(leases));
}

TEST_CASE("malformed datagrams are rejected")
{
    for (const auto *bytes : {"", "x", "\x83\x01\x02\x03", "\xff\xff"}) {
        CHECK(valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeFleetMessage(bytes));
                return false;
            },
            [](const Error &) { return true; }));
    }
}

TEST_CASE("records are unchanged by encoding and decoding; tables with gaps are rejected")
{
    auto first = OwnedRange{};
    first.keys = {0, 99};
    first.owner = {BackendServerId("s"), 4};
    first.fence = 12;
    auto second = OwnedRange{};
    second.keys = {100, 65'535};
    second.fence = 3;
    second.handOver = "token";
    const auto table =
        TableRecord{.service = ServiceId("rooms"), .table = {.ranges = {first, second}}};
    const auto decode = [](const EncodedRecord &record) {
        return valueOrElse(
            [&] { return decodeFleetRecord({.key = record.key, .value = record.value}); },
            [](const Error &) { return FleetRecord(std::in_place_type<ControllerClaim>); });
    };
    CHECK(decode(encodeFleetRecord(table)) == FleetRecord(table));
    const auto member =
        MemberRecord{.vm = VmId("vm"), .incarnation = "i", .address = {"10.0.0.1", 7}};
    CHECK(decode(encodeFleetRecord(member)) == FleetRecord(member));
    auto claim = ControllerClaim{.term = 3, .vm = VmId("vm"), .incarnation = "i"};
    CHECK(decode(encodeFleetRecord(claim)) == FleetRecord(claim));
    claim.earlier = std::vector<ControllerProcess>{{.vm = VmId("other"), .incarnation = "j"}};
    CHECK(decode(encodeFleetRecord(claim)) == FleetRecord(claim));
    auto broken = table;
    broken.table.ranges[1].keys.from = 101;
    CHECK(decode(encodeFleetRecord(broken)) == FleetRecord(ControllerClaim{}));
}

TEST_CASE(
    "VMs with the same view agree on the responsible VM; an unresponsive or leaving VM is replaced")
{
    const auto names = std::map<std::string, int>{{"a", 1}, {"b", 1}, {"c", 1}};
    const auto viewOf = [&](const std::string &self, bool bLeaves) {
        auto view = FleetView(VmId(self), 1.0, {});
        for (const auto &[name, count] : names) {
            view.recordMessage(
                {.vm = VmId(name), .lastMessageAt = start, .leaving = bLeaves && name == "b"});
        }
        return view;
    };
    auto subjectCounts = std::map<std::string, int>{};
    for (auto i = 0; i < 60; ++i) {
        const auto subject = std::string("group").append(std::to_string(i));
        const auto responsibleVm = viewOf("a", false).responsibleVm(subject, start);
        CHECK(viewOf("b", false).responsibleVm(subject, start) == responsibleVm);
        CHECK(viewOf("c", true).responsibleVm(subject, start) != VmId("b"));
        subjectCounts[responsibleVm.value()] += 1;
    }
    CHECK(subjectCounts.size() == 3);
    auto small = 0;
    for (auto i = 0; i < 200; ++i) {
        auto view = FleetView(VmId("a"), 0.1, {});
        view.recordMessage({.vm = VmId("b"), .lastMessageAt = start, .capacity = 0.5});
        const auto subject = std::string("group").append(std::to_string(i));
        small += view.responsibleVm(subject, start) == VmId("a") ? 1 : 0;
    }
    CHECK(small < 25); // the expected share is a twenty-sixth of 200, about 8
    const auto late = start + seconds(5);
    CHECK(viewOf("a", false).responsibleVm("x", late) == VmId("a"));
    CHECK(viewOf("a", false).aliveCount(late) == 1);
    CHECK(viewOf("a", false).responsibleVm("x", start, {VmId("b"), VmId("c")}) == VmId("a"));
}

TEST_CASE("rank 0 reads, other ranks wait in turn, and a VM without relays reads by itself")
{
    auto schedule = RelaySchedule({.period = milliseconds(500), .step = milliseconds(100)});
    const auto pause = milliseconds(400);
    CHECK(schedule.delay(3, pause, false, start) == pause);
    schedule.onRelayReceived(start);
    CHECK(schedule.delay(0, pause, false, start) == pause);
    CHECK(schedule.delay(1, pause, false, start) == milliseconds(700));
    CHECK(schedule.delay(2, pause, false, start) == milliseconds(800));
    CHECK(schedule.delay(0, pause, true, start) > milliseconds(800));
    CHECK(schedule.delay(1, pause, false, start + seconds(2)) == pause);
}

TEST_CASE("a read of existing records times out without a response")
{
    const auto schedule = RelaySchedule({.readTimeout = milliseconds(400)});
    CHECK_FALSE(schedule.hasTimedOut(start, 0, start + milliseconds(399)));
    CHECK(schedule.hasTimedOut(start, 0, start + milliseconds(400)));
}

TEST_CASE("each read that replaces a silent one is given twice as much time as the one before")
{
    const auto schedule = RelaySchedule({.readTimeout = milliseconds(400)});
    CHECK_FALSE(schedule.hasTimedOut(start, 1, start + milliseconds(799)));
    CHECK(schedule.hasTimedOut(start, 1, start + milliseconds(800)));
    CHECK(schedule.hasTimedOut(start, 2, start + milliseconds(1600)));
    CHECK(schedule.hasTimedOut(start, 30, start + milliseconds(3200)));
}

TEST_CASE("large configuration records fit into a datagram, and damaged datagrams are rejected")
{
    auto value = std::string{};
    for (auto i = 0; i < 500; ++i) {
        value += R"({"Name":"r-)" + std::to_string(i * 7919)
            + R"(","PathPrefix":"/a/","Timeout":"1000ms","Attempts":2,"Public":false},)";
    }
    const auto message = FleetMessage{
        .from = VmId("a"),
        .incarnation = "1",
        .payload = TopicUpdate{
            .topic = "t", .next = 1, .records = {{.offset = 0, .key = "k", .value = value}}}};
    auto bytes = encodeFleetMessage(message);
    REQUIRE(value.size() > 30'000);
    CHECK(bytes.size() < 10'000);
    const auto decode = [](std::string_view text) {
        return valueOrElse([&] { return decodeFleetMessage(text); },
                           [](const Error &) { return FleetMessage{}; });
    };
    CHECK(decode(bytes) == message);
    CHECK(decode(std::string_view(bytes).substr(0, bytes.size() - 5)) == FleetMessage{});
    CHECK(decode(std::string_view(bytes).substr(0, 3)) == FleetMessage{});
    bytes[1] = '\x7f'; // length prefix of about two gigabytes
    CHECK(decode(bytes) == FleetMessage{});
}

TEST_CASE("a VM that reads to close a gap in its own view does not relay the records")
{
    auto schedule = RelaySchedule({.period = milliseconds(500), .step = milliseconds(100)});
    CHECK(schedule.shouldRelay(90, start)); // no relay has arrived yet
    schedule.onRelayReceived(start);
    CHECK(schedule.shouldRelay(0, start));
    CHECK_FALSE(schedule.shouldRelay(1, start + milliseconds(600)));
    CHECK(schedule.shouldRelay(1, start + milliseconds(700)));
    CHECK_FALSE(schedule.shouldRelay(90, start + milliseconds(700)));
}

TEST_CASE("VMs that start together, each unaware of the others, do not all relay what they read")
{
    auto schedule = RelaySchedule({.period = milliseconds(500), .step = milliseconds(100)});
    schedule.onStart(start);
    const auto pause = milliseconds(1);
    CHECK(schedule.delay(0, pause, false, start) == milliseconds(200));
    CHECK(schedule.delay(0, pause, false, start + milliseconds(500)) == pause);
    CHECK_FALSE(schedule.shouldRelay(0, start + milliseconds(499)));
    CHECK(schedule.shouldRelay(0, start + milliseconds(500)));
    CHECK_FALSE(schedule.shouldRelay(2, start + milliseconds(799)));
    CHECK(schedule.shouldRelay(2, start + milliseconds(800)));
}

TEST_CASE("without relays, only a few of a hundred VMs take over at the same time")
{
    auto schedule = RelaySchedule({.period = milliseconds(500), .step = milliseconds(100)});
    schedule.onRelayReceived(start);
    auto atOnce = std::map<Duration, std::size_t>{};
    for (auto rank = std::size_t{1}; rank < 100; ++rank) {
        const auto delay = schedule.delay(rank, milliseconds(1), false, start);
        CHECK(delay <= milliseconds(1700));
        atOnce[delay] += 1;
    }
    CHECK(atOnce.size() >= 10);
    CHECK(atOnce.at(milliseconds(1100)) == 1); // rank 5
    CHECK(atOnce.at(milliseconds(1200)) <= 2);
}

TEST_CASE("failed reads are retried with exponential backoff")
{
    const auto schedule = RelaySchedule({});
    CHECK(schedule.pauseAfterFailure(1) == milliseconds(250));
    CHECK(schedule.pauseAfterFailure(2) == milliseconds(500));
    CHECK(schedule.pauseAfterFailure(40) == milliseconds(1000));
}

TEST_CASE(
    "the time spent on earlier attempts is the difference to the deadline of the route's callers")
{
    auto estimator = RetryTimeEstimator();
    const auto timeSpent = [&](int ms) {
        return estimator.timeSpent(RouteId("r"), {.deadline = milliseconds(ms)});
    };
    CHECK(timeSpent(2000) == milliseconds(0));
    CHECK(timeSpent(2000) == milliseconds(0));
    CHECK(timeSpent(1300) == milliseconds(700));
    CHECK(estimator.timeSpent(RouteId("r"), {}) == milliseconds(0));
    CHECK(estimator.timeSpent(RouteId("other"), {.deadline = milliseconds(1300)})
          == milliseconds(0));
}

TEST_CASE("a caller that names a deadline of years does not make the others of its route late")
{
    constexpr auto years = std::numeric_limits<std::int64_t>::max();
    auto estimator = RetryTimeEstimator();
    const auto timeSpent = [&](std::int64_t ms) {
        return estimator.timeSpent(RouteId("r"), {.deadline = milliseconds(ms)});
    };
    for (auto round = 0; round < 100; ++round) {
        CHECK(timeSpent(years) == milliseconds(0));
        for (auto other = 0; other < 10; ++other) {
            CHECK(timeSpent(2000) == milliseconds(0));
        }
    }
    CHECK(timeSpent(1300) == milliseconds(700));
}

TEST_CASE("returning callers are told from new ones while most requests come from them")
{
    auto estimator = RetryTimeEstimator();
    const auto timeSpent = [&](int ms) {
        return estimator.timeSpent(RouteId("r"), {.deadline = milliseconds(ms)});
    };
    for (auto request = 0; request < 100; ++request) {
        timeSpent(2000);
    }
    for (auto round = 0; round < 100; ++round) {
        CHECK(timeSpent(2000) == milliseconds(0));
        CHECK(timeSpent(1300) == milliseconds(700));
        CHECK(timeSpent(900) == milliseconds(1100));
        CHECK(timeSpent(400) == milliseconds(1600));
    }
}

TEST_CASE("a suspension is detected as boot time that the steady clock does not count")
{
    auto detector = SuspendDetector();
    CHECK(detector.suspendedFor(seconds(50), start) == Duration::zero());
    CHECK(detector.suspendedFor(seconds(51), start + seconds(1)) == Duration::zero());
    CHECK(detector.suspendedFor(seconds(55), start + seconds(2)) == seconds(3));
    CHECK(detector.suspendedFor(seconds(56), start + seconds(3)) == Duration::zero());
}

TEST_CASE("durations consist of a number and a unit")
{
    const auto parse = [](const char *text) {
        return valueOrElse([&] { return parseDuration(text); },
                           [](const Error &) { return milliseconds(-1); });
    };
    CHECK(parse("1500ms") == milliseconds(1500));
    CHECK(parse("2.5s") == milliseconds(2500));
    CHECK(parse("0ms") == milliseconds(0));
    for (const auto *text : {"", "5", "ms", "-1s", "1m", "1 s", "1e99s"}) {
        CHECK(isRejected(text));
    }
    CHECK(toDurationText(milliseconds(1500)) == "1500ms");
}
