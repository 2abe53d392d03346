#include "io/connection_registry.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;

namespace {

constexpr auto socketNumber = 7;

auto endpoints(int localPort) -> ConnectionEndpoints
{
    return {.remoteIp = "127.0.0.1", .remotePort = 80, .localPort = localPort};
}

} // namespace

TEST_CASE("a connection does not distinguish the responses to a request that it has carried")
{
    auto registry = ConnectionRegistry();
    registry.add(endpoints(1), socketNumber);
    CHECK(registry.distinguishes(socketNumber, "a"));
    registry.addRequest(socketNumber, "a");
    registry.addRequest(socketNumber, "b");
    CHECK_FALSE(registry.distinguishes(socketNumber, "a"));
    CHECK_FALSE(registry.distinguishes(socketNumber, "b"));
    CHECK(registry.distinguishes(socketNumber, "c"));
    registry.add(endpoints(2), socketNumber); // the socket's number is used again
    CHECK(registry.distinguishes(socketNumber, "a"));
    registry.remove(socketNumber);
    CHECK_FALSE(registry.distinguishes(socketNumber, "a"));
}

TEST_CASE("a server has carried a request as long as the connection on which it was sent is open")
{
    const auto server = SocketAddress{.ip = "127.0.0.1", .port = 80};
    const auto otherServer = SocketAddress{.ip = "127.0.0.1", .port = 81};
    auto registry = ConnectionRegistry();
    registry.add(endpoints(1), socketNumber);
    registry.add(endpoints(2), socketNumber + 1);
    registry.addRequest(socketNumber, "a");
    CHECK(registry.hasCarried(server, "a"));
    CHECK_FALSE(registry.hasCarried(server, "b"));
    CHECK_FALSE(registry.hasCarried(otherServer, "a"));
    registry.remove(socketNumber);
    CHECK_FALSE(registry.hasCarried(server, "a"));
}

TEST_CASE("a connection whose requests are too many to remember distinguishes none")
{
    auto registry = ConnectionRegistry();
    registry.add(endpoints(1), socketNumber);
    constexpr auto mostRequests = 1024;
    for (auto i = 0; i < mostRequests; ++i) {
        CHECK(registry.distinguishes(socketNumber, "another"));
        registry.addRequest(socketNumber, "request-" + std::to_string(i));
    }
    CHECK_FALSE(registry.distinguishes(socketNumber, "another"));
}
