#include "sync_client.h"

#include <doctest/doctest.h>

#include <utility>

using namespace figlanding;
using namespace figlanding::testing;

// Guards against a response with the ids of two requests that passes for that of either.
TEST_CASE("a response with the id of its request and another one is a failure")
{
    for (const auto *ids : {"x-id: a\r\nx-id: b\r\n", "x-id: b\r\nx-id: a\r\n",
                            "x-id: a\r\nother: 1\r\nx-id: b\r\n"}) {
        CAPTURE(ids);
        auto server = RawServer(
            {{read(),
              send(std::string("HTTP/1.1 200 OK\r\n") + ids + "content-length: 0\r\n\r\n")}});
        const auto outcome =
            SyncClient().call(server.address(), post("x"),
                              {.correlationHeader = std::pair(std::string("x-id"), "a")});
        CHECK(outcome.verdict == Verdict::MayHaveRun);
        CHECK(outcome.error.code == ErrorCode::ProtocolViolation);
    }
}

TEST_CASE("a response that repeats the id of its request is accepted")
{
    auto server = RawServer(
        {{read(), send("HTTP/1.1 200 OK\r\nx-id: a\r\nx-id: a\r\ncontent-length: 0\r\n\r\n")}});
    const auto outcome = SyncClient().call(
        server.address(), post("x"), {.correlationHeader = std::pair(std::string("x-id"), "a")});
    CHECK(outcome.verdict == Verdict::Ran);
    CHECK(outcome.attributed);
}
