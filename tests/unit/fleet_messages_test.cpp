#include "figlanding/gateway/fleet_messages.h"

#include <doctest/doctest.h>

#include <limits>

using namespace figlanding;

namespace {

constexpr auto largest = milliseconds(std::numeric_limits<std::int64_t>::max());
constexpr auto smallest = milliseconds(std::numeric_limits<std::int64_t>::min());

auto isAccepted(const FleetPayload &payload) -> bool
{
    const auto message =
        FleetMessage{.from = VmId("vm-1"), .incarnation = "i1", .payload = payload};
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(decoded, decodeFleetMessage(encodeFleetMessage(message)));
            CHECK(decoded == message);
            return true;
        },
        [](const Error &error) {
            CHECK(error.code == ErrorCode::InvalidValue);
            return false;
        });
}

// Checks that a message is accepted with a duration at either bound, and refused beyond them.
template <typename MakeMessage>
auto checkBounds(const MakeMessage &make, milliseconds min, milliseconds max) -> void
{
    for (const auto value : {min, max}) {
        CAPTURE(value.count());
        CHECK(isAccepted(make(value)));
    }
    for (const auto value : {smallest, min - milliseconds(1), max + milliseconds(1), largest}) {
        CAPTURE(value.count());
        CHECK_FALSE(isAccepted(make(value)));
    }
}

} // namespace

TEST_CASE("a heartbeat with an impossible uptime is refused, so that no lease counts as over early")
{
    checkBounds([](milliseconds uptime) { return Heartbeat{.uptime = uptime}; }, milliseconds(0),
                maxUptime);
}

TEST_CASE("a lease report with an impossible age is refused, so that no lease becomes endless")
{
    const auto report = [](milliseconds ago) {
        return LeaseReport{.term = 1,
                           .grants = {{.server = {BackendServerId("s"), 1}, .ago = ago}}};
    };
    checkBounds(report, -maxGrantDelay, maxGrantAge);
}

TEST_CASE("a work report with an impossible service time is refused")
{
    const auto report = [](milliseconds time) {
        return WorkReport{.keys = {}, .serviceTimes = {{BackendServerId("s"), time}}};
    };
    checkBounds(report, milliseconds(0), maxRequestTime);
}

TEST_CASE("a slot request with an impossible time is refused, so that no slot is held for ever")
{
    checkBounds([](milliseconds waited) { return SlotAcquire{.waited = waited}; }, milliseconds(0),
                maxRequestTime);
    checkBounds([](milliseconds in) { return SlotAcquire{.objectiveIn = in}; }, -maxRequestTime,
                maxRequestTime);
    checkBounds([](milliseconds in) { return SlotAcquire{.deadlineIn = in}; }, -maxRequestTime,
                maxRequestTime);
}

TEST_CASE("a slot response with an impossible delay is refused, so that no caller waits for ever")
{
    const auto refusal = [](milliseconds delay) {
        return SlotResponse{.state = SlotState::Refused, .retryAfter = delay};
    };
    checkBounds(refusal, milliseconds(0), maxRequestTime);
}

TEST_CASE("a slot release with an impossible service time is refused")
{
    checkBounds([](milliseconds elapsed) { return SlotRelease{.elapsed = elapsed}; },
                milliseconds(0), maxRequestTime);
}

TEST_CASE("relayed records with an impossible age are refused, so that no view stays current")
{
    checkBounds([](milliseconds age) { return TopicUpdate{.topic = "t", .age = age}; },
                milliseconds(0), maxUpdateAge);
}

TEST_CASE("the route of a slot request and the room of a group survive the datagram")
{
    CHECK(isAccepted(SlotAcquire{.ticket = 1, .route = RouteId("pages")}));
    const auto room = GroupRoom{.freeSlots = 3, .waiting = 1, .requestsPerSecond = 12.5};
    CHECK(isAccepted(SlotResponse{.ticket = 1, .room = room}));
    CHECK(isAccepted(Heartbeat{.groupRooms = {{ServiceId("pages#1"), room}}}));
}

TEST_CASE("a group's room with an impossible rate is refused, so that no group seems endless")
{
    for (const auto rate : {-1.0, std::numeric_limits<double>::infinity()}) {
        CHECK_FALSE(isAccepted(SlotResponse{.room = GroupRoom{.requestsPerSecond = rate}}));
    }
}
