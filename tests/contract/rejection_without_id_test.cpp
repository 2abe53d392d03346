#include "played_requests.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::testing;

TEST_CASE(
    "bytes after a response that look like a rejection do not make the next request run twice")
{
    for (const auto status : {503, 429, 421}) {
        CAPTURE(status);
        auto server = RawServer({{readRequest, success("a"), readRequest, rejection(status), hold},
                                 {readRequest, success("b"), hold}});
        const auto played = PlayedRequests(server, Repeatability::AtMostOnce, {"a", "b"});
        CHECK(played.statuses() == "200 502 ");
        CHECK(server.requests().size() == 2);
    }
}

TEST_CASE("nothing is taken from a rejection that may belong to no request")
{
    const auto terms = std::string("Server-Leaving: 1\r\nRetry-After: 30\r\n");
    for (const auto status : {503, 421}) {
        CAPTURE(status);
        auto server =
            RawServer({{readRequest, success("a"), readRequest, rejection(status, terms), hold},
                       {readRequest, success("b"), hold}});
        const auto played = PlayedRequests(server, Repeatability::Idempotent, {"a", "b"});
        CHECK(played.statuses() == "200 200 ");
        CHECK(played.vm.leavingServers == 0);
        CHECK(played.vm.staleOwners == 0);
        CHECK(server.requests().size() == 3); // an idempotent request is sent again
    }
}

TEST_CASE("a caller is not told that an idempotent request did not run if that is unproven")
{
    auto server = RawServer({{readRequest, success("a"), readRequest, rejection(503), hold}});
    constexpr auto maxAttempts = 1U;
    const auto played = PlayedRequests(server, Repeatability::Idempotent, {"a", "b"}, maxAttempts);
    CHECK(played.statuses() == "200 502 ");
}

TEST_CASE("a server that rejects without ids gets non-idempotent requests over new connections")
{
    auto server = RawServer({{readRequest, success("a"), readRequest, rejection(503), hold},
                             {readRequest, rejection(503), hold},
                             {readRequest, success("c"), hold},
                             {readRequest, success("d"), hold}});
    const auto played = PlayedRequests(server, Repeatability::AtMostOnce, {"a", "b", "c", "d"});
    // The second is of unknown outcome. The rejection of the third is the first response of its
    // connection, so it is sent again.
    CHECK(played.statuses() == "200 502 200 200 ");
    CHECK(server.requests().size() == 5);
}

TEST_CASE("a rejection with the id of the request is sent again, also on a kept connection")
{
    auto server = RawServer(
        {{readRequest, success("a"), readRequest, rejection(421, "X-Request-Id: b\r\n"), hold},
         {readRequest, success("b"), hold}});
    const auto played = PlayedRequests(server, Repeatability::AtMostOnce, {"a", "b"});
    CHECK(played.statuses() == "200 200 ");
    CHECK(played.vm.staleOwners == 1);
    CHECK(server.requests().size() == 3);
}
