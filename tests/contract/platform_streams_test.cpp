#include "key_lease_client.h"
#include "raw_server.h"
#include "store_client.h"

#include <doctest/doctest.h>

#include <optional>

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

// Runs the loop until the result is there, or for ten seconds.
template <typename Value>
auto await(EventLoop &loop, std::optional<Value> &result) -> void
{
    const auto end = loop.now() + milliseconds(10'000);
    auto timer = Timer(loop, [&] {
        if (result || loop.now() >= end) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(1));
    loop.run();
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
