#include "io/http_client.h"
#include "sync_client.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

struct FaultCase
{
    std::string name;
    RawScript script;
    Verdict verdict;
    ErrorCode code;
    milliseconds timeout = longTimeout;
};

// Server faults in response to a POST on a new connection.
auto faultCases() -> std::vector<FaultCase>
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto mayHaveRun = Verdict::MayHaveRun;
    const auto protocol = ErrorCode::ProtocolViolation;
    const auto failed = ErrorCode::ConnectionFailed;
    return {
        {"closed after part of the request", {step(RawAction::ReadSome)}, mayHaveRun, failed},
        {"closed after the request", {read(), step(RawAction::Close)}, mayHaveRun, failed},
        {"reset after the request", {read(), step(RawAction::Reset)}, mayHaveRun, failed},
        {"half a status line", {read(), send("HTTP/1.1 20")}, mayHaveRun, failed},
        {"half the headers", {read(), send("HTTP/1.1 200 OK\r\nContent-Le")}, mayHaveRun, protocol},
        {"short body",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")},
         mayHaveRun,
         protocol},
        {"over-long body", {read(), send(okResponse + "excess")}, mayHaveRun, protocol},
        {"no length", {read(), send("HTTP/1.1 200 OK\r\n\r\nok")}, mayHaveRun, protocol},
        {"two lengths",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")},
         mayHaveRun,
         protocol},
        {"length and chunks",
         {read(),
          send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2\r\nok\r\n0\r\n\r\n")},
         mayHaveRun,
         protocol},
        {"chunks cut short", {read(), send(chunked + "2\r\nok\r\n")}, mayHaveRun, protocol},
        {"chunk size that is no number",
         {read(), send(chunked + "zz\r\nok\r\n")},
         mayHaveRun,
         failed},
        {"body above the limit",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'))},
         mayHaveRun,
         ErrorCode::LimitExceeded},
        {"never answered",
         {read(), step(RawAction::Hold)},
         mayHaveRun,
         ErrorCode::Timeout,
         milliseconds(1500)},
        {"not HTTP", {read(), send("SSH-2.0-x\r\n")}, mayHaveRun, protocol},
    };
}

} // namespace

TEST_CASE("faults on a new connection")
{
    for (const auto &row : faultCases()) {
        CAPTURE(row.name);
        auto server = RawServer({row.script});
        auto syncClient = SyncClient();
        const auto outcome = syncClient.call(
            server.address(), post("b"), {.timeout = row.timeout, .connectTimeout = longTimeout});
        CHECK(outcome.verdict == row.verdict);
        CHECK(message(outcome.error.code) == message(row.code));
        CHECK((outcome.elapsed >= row.timeout) == (row.code == ErrorCode::Timeout));
        CHECK(syncClient.client().pending() == 0);
    }
}

TEST_CASE("faults on a new connection of a client that accepts responses without a length")
{
    for (const auto &row : faultCases()) {
        CAPTURE(row.name);
        auto server = RawServer({row.script});
        auto syncClient = SyncClient({.maxBodyBytes = 1000, .acceptsCloseDelimited = true});
        const auto outcome = syncClient.call(
            server.address(), post("b"), {.timeout = row.timeout, .connectTimeout = longTimeout});
        const auto accepted = row.name == "no length";
        CHECK(outcome.verdict == (accepted ? Verdict::Ran : row.verdict));
        CHECK((accepted || message(outcome.error.code) == message(row.code)));
    }
}

TEST_CASE("a complete response is parsed and the request is sent as given")
{
    const auto text = std::string("HTTP/1.1 103 Hints\r\nX-Early: 1\r\n\r\nHTTP/1.1 503 Busy\r\n"
                                  "X-One: a\r\nx-two:  b \r\nX-One: c\r\nContent-Length: 4\r\n\r\n")
        + std::string("a\0b\n", 4);
    auto server = RawServer({{read(), send(text), step(RawAction::Hold)}});
    auto syncClient = SyncClient();
    auto request = post("body");
    request.headers = {{"x-empty", ""}, {"content-length", "99"}, {"host", "rooms"}};
    const auto outcome = syncClient.call(server.address(), request);
    REQUIRE(outcome.verdict == Verdict::Ran);
    CHECK(outcome.newConnection);
    CHECK(outcome.response.status == 503);
    CHECK(outcome.response.body == std::string("a\0b\n", 4));
    CHECK(outcome.response.headers
          == HttpHeaders{{"x-one", "a"}, {"x-two", "b"}, {"x-one", "c"}, {"content-length", "4"}});
    const auto sent = server.requests().at(0);
    CHECK(sent.starts_with("POST /book?x=1 HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\nbody"));
    CAPTURE(sent);
    for (const auto *part : {"x-empty:", "Host: rooms", "Content-Length: 4"}) {
        CHECK(sent.find(part) != std::string::npos);
    }
    for (const auto *part : {"99", "Expect", "Accept", "User-Agent", "urlencoded"}) {
        CHECK(sent.find(part) == std::string::npos);
    }
}

TEST_CASE("chunked responses and responses without a body")
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n");
    const auto empty = std::string("HTTP/1.1 204 None\r\n\r\n");
    const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
    auto server =
        RawServer({{read(), send(chunked), read(), send(empty), read(), send(head), read()}});
    auto syncClient = SyncClient();
    const auto first = syncClient.call(server.address(), post("x"));
    CHECK(first.verdict == Verdict::Ran);
    CHECK(first.response.body == "ok");
    CHECK_FALSE(first.response.headers.find("x-trailer"));
    const auto second = syncClient.call(server.address(), {.method = "DELETE"});
    CHECK(second.verdict == Verdict::Ran);
    CHECK_FALSE(second.newConnection);
    const auto third = syncClient.call(server.address(), {.method = "HEAD"});
    CHECK(third.verdict == Verdict::Ran);
    CHECK(third.response.body.empty());
}

TEST_CASE("requests that cannot be sent fail as NotRun")
{
    auto syncClient = SyncClient();
    auto refused = SocketAddress{};
    {
        auto server = RawServer({});
        refused = server.address();
    }
    CHECK(syncClient.call(refused, post("x")).verdict == Verdict::NotRun);

    const auto invalid = std::vector<HttpRequest>{
        {.method = "GET", .target = "/a b"},
        {.method = "GET", .target = "/a\r\nX: y"},
        {.method = "GET /", .target = "/"},
        {.method = "GET", .target = ""},
        {.method = "GET", .target = "/", .headers = {{"x", "a\r\ny: b"}}},
        {.method = "GET", .target = "/", .headers = {{"x y", "a"}}},
    };
    for (const auto &request : invalid) {
        CAPTURE(request.target);
        const auto outcome = syncClient.call(refused, request);
        CHECK(outcome.verdict == Verdict::NotRun);
        CHECK(outcome.error.code == ErrorCode::InvalidValue);
    }
}

TEST_CASE("the response states how its end was found")
{
    struct Row
    {
        std::string head;
        BodyEnd end;
    };
    const auto rows = std::vector<Row>{
        {"Content-Length: 2\r\n\r\nok", BodyEnd::Length},
        {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", BodyEnd::LastChunk},
        {"Connection: close\r\n\r\nok", BodyEnd::ConnectionEnd},
    };
    for (const auto &row : rows) {
        CAPTURE(row.head);
        auto server = RawServer({{read(), send("HTTP/1.1 200 OK\r\n" + row.head)}});
        auto syncClient = SyncClient({.acceptsCloseDelimited = true});
        const auto outcome = syncClient.call(server.address(), post("b"));
        CHECK(outcome.response.body == "ok");
        CHECK(outcome.response.bodyEnd == row.end);
    }
}

TEST_CASE("the callback of a cancelled call does not run")
{
    auto server = RawServer({{read(), step(RawAction::Hold)}});
    auto syncClient = SyncClient();
    auto called = false;
    auto &client = syncClient.client();
    const auto id = client.call(server.address(), post("x"), {.timeout = milliseconds(50)},
                                [&](const HttpOutcome &) { called = true; });
    syncClient.wait(milliseconds(20));
    client.cancel(id);
    CHECK(client.pending() == 0);
    syncClient.wait(milliseconds(80));
    CHECK_FALSE(called);
}

TEST_CASE("the request of a call that ended without an answer is not delivered any more")
{
    constexpr milliseconds timeout{50};
    const auto resets = [&](const RawScript &script, bool cancelled) {
        auto server = RawServer({script});
        auto syncClient = SyncClient();
        if (cancelled) {
            const auto id = syncClient.client().call(server.address(), post("b"), {},
                                                     [](const HttpOutcome &) {});
            syncClient.wait(timeout);
            syncClient.client().cancel(id);
        } else {
            (void)syncClient.call(server.address(), post("b"), {.timeout = timeout});
        }
        for (auto i = 0; i < 200 && server.readToEnd() == 0; ++i) {
            syncClient.wait(milliseconds(10));
        }
        REQUIRE(server.readToEnd() == 1);
        return server.resets() == 1;
    };
    const auto silent = RawScript{step(RawAction::ReadAll)};
    const auto closing =
        RawScript{read(), send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
                  step(RawAction::ReadAll)};
    CHECK(resets(silent, false));
    CHECK(resets(silent, true));
    CHECK_FALSE(resets(closing, false));
}

TEST_CASE("callAndWait returns the response")
{
    auto server = RawServer({{read(), send(okResponse)}});
    const auto outcome = callAndWait(server.address(), post("x"), {});
    CHECK(outcome.verdict == Verdict::Ran);
    CHECK(outcome.response.body == "ok");
}

TEST_CASE("a call whose response keeps arriving goes on past its timeout, up to its total time")
{
    const auto head = std::string("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n");
    const auto slow = SlowResponse{.pause = milliseconds(200), .total = milliseconds(600)};
    const auto timeout = milliseconds(200);
    SUBCASE("until the end of its total time")
    {
        auto server = RawServer(
            {{{RawAction::ReadRequest}, {RawAction::Send, head}, {RawAction::Trickle, "x"}}});
        const auto outcome =
            callAndWait(server.address(), {}, {.timeout = timeout, .slowResponse = slow});
        CHECK(outcome.error.code == ErrorCode::Timeout);
        CHECK(outcome.elapsed > timeout + slow.pause);
    }
    SUBCASE("until no part of it has arrived for too long")
    {
        auto server = RawServer(
            {{{RawAction::ReadRequest}, {RawAction::Send, head + "x"}, {RawAction::Hold}}});
        auto parts = 0;
        const auto outcome =
            callAndWait(server.address(), {},
                        {.timeout = timeout, .slowResponse = slow, .onProgress = [&] { ++parts; }});
        CHECK(outcome.error.code == ErrorCode::Timeout);
        CHECK(outcome.elapsed >= slow.pause);
        CHECK(outcome.elapsed < slow.total);
        CHECK(parts > 0);
    }
    SUBCASE("but ends at its timeout without any part of it")
    {
        auto server = RawServer({{{RawAction::ReadRequest}, {RawAction::Hold}}});
        const auto outcome =
            callAndWait(server.address(), {}, {.timeout = timeout, .slowResponse = slow});
        CHECK(outcome.error.code == ErrorCode::Timeout);
        CHECK(outcome.elapsed >= timeout);
        CHECK(outcome.elapsed < slow.total);
    }
}
