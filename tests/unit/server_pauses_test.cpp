#include "figlanding/gateway/server_pauses.h"

#include <doctest/doctest.h>

using namespace figlanding;

TEST_CASE("a shorter pause does not end a longer one, and another incarnation is not paused")
{
    const auto now = TimePoint{} + seconds(100);
    const auto server = ServerIncarnation{.server = BackendServerId("s"), .startedUnixMs = 1};
    const auto rooms = ServiceId("rooms");
    auto pauses = ServerPauses();
    pauses.add(server, rooms, now + seconds(2));
    pauses.add(server, rooms, now + seconds(1));
    CHECK(pauses.isPaused(server, now + milliseconds(1900)));
    CHECK_FALSE(pauses.isPaused(server, now + seconds(2)));
    CHECK_FALSE(pauses.isPaused({.server = server.server, .startedUnixMs = 2}, now));
    CHECK(pauses.pausedServers(rooms, now).size() == 1);
    CHECK(pauses.pausedServers(ServiceId("other"), now).empty());
    pauses.expire(now + seconds(2));
    CHECK(pauses.pausedServers(rooms, now).empty());
}
