#include "io/http_client.h"
#include "sync_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

// An answer that goes on until the client closes.
struct EndlessCase
{
    std::string name;
    std::string start; ///< sent once
    std::string text; ///< sent without end
    ErrorCode code = ErrorCode::LimitExceeded;
};

auto repeated(const std::string &text, int count) -> std::string
{
    auto result = std::string{};
    for (auto i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

auto endlessCases(bool acceptsCloseDelimited) -> std::vector<EndlessCase>
{
    const auto unframed =
        acceptsCloseDelimited ? ErrorCode::LimitExceeded : ErrorCode::ProtocolViolation;
    const auto ok = std::string("HTTP/1.1 200 OK\r\n");
    const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto filler = std::string(1024, 'a');
    return {
        {"header fields", ok, repeated("x-field: value\r\n", 64)},
        {"one header field", ok + "x-field: ", filler},
        {"a status line", "HTTP/1.1 200 ", filler},
        {"no line of HTTP", "", filler, ErrorCode::ProtocolViolation},
        {"zero bytes", "", std::string(1024, '\0'), ErrorCode::ProtocolViolation},
        {"blank lines", "", repeated("\r\n", 512), ErrorCode::ProtocolViolation},
        {"interim answers", "", repeated("HTTP/1.1 103 Hints\r\nx-field: value\r\n\r\n", 16)},
        {"continue answers", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 32)},
        {"a body without a length", ok + "\r\n", filler, unframed},
        {"an announced body", ok + "Content-Length: 99999999999\r\n\r\n", filler},
        {"chunks", chunked, repeated("10\r\n0123456789abcdef\r\n", 48)},
        {"a chunk", chunked + "ffffffff\r\n", filler},
        {"a chunk extension", chunked + "1;", filler},
        {"chunks with long extensions", chunked, "1;" + filler + "\r\na\r\n"},
        {"a chunk size", chunked, std::string(1024, '0'), ErrorCode::ConnectionFailed},
        {"trailer fields", chunked + "0\r\n", repeated("x-field: value\r\n", 64)},
        {"one trailer field", chunked + "0\r\nx-field: ", filler, ErrorCode::ConnectionFailed},
        {"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
         filler, ErrorCode::ProtocolViolation},
    };
}

} // namespace

TEST_CASE("an answer without end is cut off at the limits and its connection is closed")
{
    constexpr auto timeout = milliseconds(10'000);
    for (const auto action : {RawAction::Stream, RawAction::Trickle}) {
        for (const auto acceptsCloseDelimited : {false, true}) {
            for (const auto &row : endlessCases(acceptsCloseDelimited)) {
                CAPTURE(row.name);
                CAPTURE(action);
                CAPTURE(acceptsCloseDelimited);
                auto server =
                    RawServer({{read(), send(row.start), {.action = action, .text = row.text}},
                               {read(), send(okResponse), step(RawAction::Hold)}});
                auto syncClient = SyncClient({.maxHeadBytes = 20'000,
                                              .maxBodyBytes = 20'000,
                                              .acceptsCloseDelimited = acceptsCloseDelimited});
                const auto outcome =
                    syncClient.call(server.address(), post("b"), {.timeout = timeout});
                CHECK(outcome.verdict == Verdict::MayHaveRun);
                CHECK(message(outcome.error.code) == message(row.code));
                CHECK(outcome.elapsed < timeout / 2);
                CHECK(outcome.response.body.empty());
                CHECK(syncClient.client().pending() == 0);
                const auto next =
                    syncClient.call(server.address(), post("b"), {.timeout = timeout});
                CHECK(next.verdict == Verdict::Ran);
                CHECK(next.newConnection);
                CHECK(next.response.body == "ok");
                for (auto i = 0; i < 200 && server.closedStreams() == 0; ++i) {
                    syncClient.wait(milliseconds(10));
                }
                CHECK(server.closedStreams() == 1);
            }
        }
    }
}

TEST_CASE("endless answers together stay within the client's memory budget")
{
    constexpr auto calls = 12;
    constexpr auto budget = std::size_t{3'000'000};
    const auto body = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto chunk = "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
    const auto endless =
        RawScript{read(), send(body), {.action = RawAction::Trickle, .text = chunk}};
    auto server = RawServer(std::vector<RawScript>(calls, endless));
    const auto content = std::string(200'000, 'b');
    auto healthy =
        RawServer({{read(), send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + content),
                    step(RawAction::Hold)}});
    auto loop = EventLoop();
    auto client = HttpClient(loop, {.maxBodyBytes = 2'000'000, .maxBufferedBytes = budget});
    auto failed = 0;
    auto peak = std::size_t{0};
    for (auto i = 0; i < calls; ++i) {
        client.call(server.address(), post("b"), {.timeout = milliseconds(10'000)},
                    [&](const HttpOutcome &outcome) {
                        CHECK(outcome.verdict == Verdict::MayHaveRun);
                        CHECK(message(outcome.error.code) == message(ErrorCode::LimitExceeded));
                        ++failed;
                    });
    }
    auto whole = HttpOutcome{};
    client.call(healthy.address(), post("b"), {.timeout = milliseconds(10'000)},
                [&](HttpOutcome outcome) { whole = std::move(outcome); });
    auto timer = Timer(loop, [&] {
        peak = std::max(peak, client.bufferedBytes());
        if (client.pending() == 0) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(1));
    loop.run();
    CHECK(failed == calls);
    CHECK(whole.verdict == Verdict::Ran);
    CHECK(whole.response.body == content);
    CHECK(peak > budget / 2);
    CHECK(peak <= budget);
    CHECK(client.bufferedBytes() == 0);
}

TEST_CASE("a cancelled call frees what it had received")
{
    const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
    auto server =
        RawServer({{read(), send(head + std::string(100'000, 'a')), step(RawAction::Hold)}});
    auto loop = EventLoop();
    auto client = HttpClient(loop, {});
    const auto id = client.call(server.address(), post("b"), {.timeout = milliseconds(10'000)},
                                [](const HttpOutcome &) {});
    auto timer = Timer(loop, [&] {
        if (client.bufferedBytes() == 100'000) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(1));
    loop.run();
    client.cancel(id);
    CHECK(client.bufferedBytes() == 0);
}

// Guards against many long answers that arrive at once, of which none gets the memory it needs.
TEST_CASE("an answer whose stated length does not fit ends its call before its body is read")
{
    auto account = HeldBytes({.limit = 100'000});
    auto server = RawServer(
        {{read(), send("HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n"), step(RawAction::Hold)},
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"),
          send(std::string(100'000, 'a')), step(RawAction::Hold)}});
    auto client = SyncClient({.heldBytes = &account});
    const auto tooLong = client.call(server.address(), {.method = "GET", .target = "/"});
    CHECK(tooLong.error.code == ErrorCode::LimitExceeded);
    const auto fitting = client.call(server.address(), {.method = "GET", .target = "/"});
    CHECK(fitting.verdict == Verdict::Ran);
    CHECK(fitting.response.body.size() == 100'000);
    CHECK(account.used() == 0);
}
