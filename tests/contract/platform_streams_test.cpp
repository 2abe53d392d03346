#include "key_lease_client.h"
#include "raw_server.h"
#include "run_until.h"
#include "store_client.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::platform;
using namespace figlanding::testing;

namespace {

// A server whose first answer has no end.
auto endlessScripts() -> std::vector<RawScript>
{
    return {
        {{.action = RawAction::ReadRequest, .text = {}},
         {.action = RawAction::Send,
          .text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
         {.action = RawAction::Stream, .text = "4000\r\n" + std::string(0x4000, 'a') + "\r\n"}}};
}

// A server that answers each request with one of the bodies, from the first to the last and then
// the last again and again.
auto repeatingScripts(const std::vector<std::string> &bodies) -> std::vector<RawScript>
{
    constexpr auto repetitions = 40;
    auto script = RawScript{};
    const auto add = [&](const std::string &body) {
        script.push_back({.action = RawAction::ReadRequest, .text = {}});
        script.push_back({.action = RawAction::Send,
                          .text = "HTTP/1.1 200 OK\r\nContent-Length: "
                              + std::to_string(body.size()) + "\r\n\r\n" + body});
    };
    for (const auto &body : bodies) {
        add(body);
    }
    for (auto i = 0; i < repetitions; ++i) {
        add(bodies.back());
    }
    return {std::move(script)};
}

// A page of newest records with one record, which announces a further page.
auto pageWith(const std::string &key, std::size_t base64Bytes) -> std::string
{
    return R"({"items":[{"Key":")" + key + R"(","Value":")" + std::string(base64Bytes, 'A')
        + R"(","Offset":1}],"More":true,"End":2})";
}

// Runs the loop until the result is there, or for ten seconds.
template <typename Value>
auto await(EventLoop &loop, std::optional<Value> &result) -> void
{
    runUntil(
        loop, [&] { return result.has_value(); }, milliseconds(10'000));
}

} // namespace

TEST_CASE("a read of the store whose answer has no end fails with a typed error")
{
    auto server = RawServer(endlessScripts());
    auto loop = EventLoop();
    auto client = HttpClient(loop, {.maxBodyBytes = 100'000});
    auto store = StoreClient(client, server.address());
    auto result = std::optional<ErrorCode>{};
    store.read({.topic = "keyed.op", .wait = milliseconds(5000)},
               [&](const auto &page) { result = page ? ErrorCode::Internal : page.error().code; });
    await(loop, result);
    REQUIRE(result);
    CHECK(message(*result) == message(ErrorCode::LimitExceeded));
    CHECK(client.pending() == 0);
    CHECK(client.bufferedBytes() == 0);
}

TEST_CASE("a grant whose answer has no end counts as lost, not as accepted")
{
    auto server = RawServer(endlessScripts());
    auto loop = EventLoop();
    auto client = HttpClient(loop, {.maxBodyBytes = 100'000});
    auto leases = KeyLeaseClient(client);
    auto result = std::optional<CommandOutcome>{};
    auto command = GrantCommand{};
    command.address = server.address();
    leases.grant(command, milliseconds(6000), milliseconds(5000),
                 [&](CommandOutcome outcome) { result = outcome; });
    await(loop, result);
    REQUIRE(result);
    CHECK(*result == CommandOutcome::Lost);
    CHECK(client.pending() == 0);
    CHECK(client.bufferedBytes() == 0);
}

TEST_CASE("a read of newest records ends if the store returns the same page again and again")
{
    const auto page = pageWith("a", 4);
    const auto emptyPage = std::string(R"({"items":[],"More":true,"End":2})");
    for (const auto &last : {page, emptyPage}) {
        auto server = RawServer(repeatingScripts({page, last}));
        auto loop = EventLoop();
        auto client = HttpClient(loop, {});
        auto store = StoreClient(client, server.address());
        auto result = std::optional<ErrorCode>{};
        store.readNewest({.topic = "keyed.op"}, [&](const auto &snapshot) {
            result = snapshot ? ErrorCode::Internal : snapshot.error().code;
        });
        await(loop, result);
        REQUIRE(result);
        CHECK(message(*result) == message(ErrorCode::ProtocolViolation));
        CHECK(server.requests().size() == 2);
    }
}

TEST_CASE("a read of newest records ends if new pages come without end")
{
    constexpr auto pageBytes = std::size_t{1024} * 1024;
    auto bodies = std::vector<std::string>{};
    for (auto i = 0; i < 40; ++i) {
        bodies.push_back(pageWith("key-" + std::to_string(i), pageBytes));
    }
    auto server = RawServer(repeatingScripts(bodies));
    auto loop = EventLoop();
    auto client = HttpClient(loop, {});
    auto store = StoreClient(client, server.address());
    auto result = std::optional<ErrorCode>{};
    store.readNewest({.topic = "keyed.op"}, [&](const auto &snapshot) {
        result = snapshot ? ErrorCode::Internal : snapshot.error().code;
    });
    await(loop, result);
    REQUIRE(result);
    CHECK(message(*result) == message(ErrorCode::LimitExceeded));
    CHECK(server.requests().size() < bodies.size());
}

TEST_CASE("an unreadable answer of the store to a group member does not end the process")
{
    for (const auto *body : {R"({"Generation":"x","parts":[]})", R"({"Generation":-1})", "x"}) {
        auto server = RawServer(repeatingScripts({body}));
        auto loop = EventLoop();
        auto client = HttpClient(loop, {});
        auto store = StoreClient(client, server.address());
        auto elected = std::optional<bool>{};
        store.joinGroup({.group = "g", .member = "m", .topic = "t"},
                        [&](const auto &result) { elected = result && result.value(); });
        await(loop, elected);
        REQUIRE(elected);
        CHECK(!*elected);
    }
}
