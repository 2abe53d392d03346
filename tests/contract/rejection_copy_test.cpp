#include "played_requests.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

// A rejection with the id of the request "b".
auto rejectionOfB(int status) -> RawStep
{
    return rejection(status, "X-Request-Id: b\r\n");
}

// Returns a server that rejects "b", sends a copy of that rejection when the next response on the
// connection is due, and serves "b" on further connections.
auto repeatingServer(int status) -> RawServer
{
    return RawServer({{readRequest, rejectionOfB(status), readRequest, rejectionOfB(status), hold},
                      {readRequest, success("b"), hold}});
}

} // namespace

TEST_CASE("a copy of a rejection does not reject a request that was at another server in between")
{
    for (const auto repeatability : {Repeatability::AtMostOnce, Repeatability::Idempotent}) {
        auto first = repeatingServer(421);
        auto second = RawServer({{readRequest, rejectionOfB(421), hold}});
        auto vm = OneVm<platform::HttpProtocol>(keyedState(3, repeatability), {.retryRatio = 1.0});
        vm.addServer("s1", first.address());
        vm.addServer("s2", second.address());
        vm.callWithKey("b");
        REQUIRE(vm.runUntil([&] { return vm.staleOwners == 1; }));
        vm.owner = incarnationOf("s2");
        REQUIRE(vm.runUntil([&] { return vm.staleOwners == 2; }));
        vm.owner = incarnationOf("s1");
        REQUIRE(vm.runUntil([&] { return !vm.statuses.empty(); }));
        CHECK(vm.statuses == std::vector<int>{200});
        CHECK(first.requests().size() == 2);
    }
}

TEST_CASE("a copy of a rejection does not reject a request that its caller sends again")
{
    constexpr auto maxAttempts = 1U;
    for (const auto repeatability : {Repeatability::AtMostOnce, Repeatability::Idempotent}) {
        for (const auto status : {503, 429, 421}) {
            CAPTURE(status);
            auto server = repeatingServer(status);
            const auto played = PlayedRequests(server, repeatability, {"b", "b"}, maxAttempts);
            CHECK(played.statuses() == "503 200 ");
            CHECK(server.requests().size() == 2);
        }
    }
}

TEST_CASE("a copy of a rejection does not reject a request for the next server at the same address")
{
    for (const auto repeatability : {Repeatability::AtMostOnce, Repeatability::Idempotent}) {
        auto server = repeatingServer(421);
        auto vm = OneVm<platform::HttpProtocol>(keyedState(3, repeatability), {.retryRatio = 1.0});
        vm.addServer("s1", server.address());
        vm.addServer("s2", server.address());
        vm.callWithKey("b");
        REQUIRE(vm.runUntil([&] { return vm.staleOwners == 1; }));
        vm.owner = incarnationOf("s2");
        REQUIRE(vm.runUntil([&] { return !vm.statuses.empty(); }));
        CHECK(vm.statuses == std::vector<int>{200});
        CHECK(server.requests().size() == 2);
    }
}
