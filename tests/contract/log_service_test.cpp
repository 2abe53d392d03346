#include "io/log_service.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace figlanding;
using figlanding::testing::RawAction;
using figlanding::testing::RawServer;

namespace {

constexpr auto timeout = milliseconds(200);

// Returns the response to a read whose body of @p bytes arrives one byte per millisecond or slower.
auto slowResponse(std::size_t bytes) -> std::vector<figlanding::testing::RawScript>
{
    const auto body = std::string(R"({"first":0,"tail":0,"records":[]})");
    const auto head = std::string("HTTP/1.1 200 OK\r\ncontent-length: ")
                          .append(std::to_string(body.size() + bytes))
                          .append("\r\n\r\n");
    return {
        {{RawAction::ReadRequest, {}}, {RawAction::Send, head + body}, {RawAction::Trickle, " "}}};
}

// Reads from a server and returns the outcome.
auto readFrom(RawServer &server) -> std::optional<Settled<LogReadResponse>>
{
    auto loop = EventLoop();
    auto client = HttpClient(loop, {});
    auto service = HttpLogService(client, server.address(), timeout);
    auto result = std::optional<Settled<LogReadResponse>>{};
    service.read({.wait = milliseconds(0)}, [&](const Settled<LogReadResponse> &response) {
        result = response;
        loop.stop();
    });
    auto limit = Timer(loop, [&] { loop.stop(); });
    limit.startOnce(seconds(5));
    loop.run();
    return result;
}

} // namespace

TEST_CASE("a read of the log goes on past its timeout while its response arrives")
{
    constexpr auto bytes = std::size_t{600}; // three times the timeout
    auto server = RawServer(slowResponse(bytes));
    const auto response = readFrom(server);
    REQUIRE(response);
    CHECK(*response);
}

TEST_CASE("a read of the log whose response stops arriving fails after the timeout")
{
    auto script = slowResponse(1);
    script.front().back() = {RawAction::Hold, {}};
    auto server = RawServer(script);
    const auto response = readFrom(server);
    REQUIRE(response);
    CHECK_FALSE(*response);
}

// Guards against a log that no VM can read any more.
TEST_CASE("a record that is no UTF-8 hides no other record of the log")
{
    auto outcome = HttpOutcome{.verdict = Verdict::Ran};
    outcome.response.status = 200;
    outcome.response.body = "{\"first\":0,\"tail\":3,\"records\":[{\"offset\":0,\"record\":{}},"
                            "{\"offset\":1,\"record\":{\"type\":\"\xff\"}},"
                            "{\"offset\":2,\"record\":{\"type\":\"a\x80\"}}]}";
    const auto response = settle([&] { return parseLogReadResponse(outcome); });
    REQUIRE(static_cast<bool>(response));
    REQUIRE(response.value().records.size() == 3);
    CHECK(response.value().records.back().offset == 2);
}
