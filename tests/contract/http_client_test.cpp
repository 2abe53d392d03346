#include "io/http_client.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

// Limit of calls that end by an event; none of them may reach it.
constexpr milliseconds longTimeout{10'000};
constexpr milliseconds shortestIdleTime{30};
const auto okResponse = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

auto read() -> RawStep
{
    return {.action = RawAction::ReadRequest, .text = {}};
}

auto send(std::string text) -> RawStep
{
    return {.action = RawAction::Send, .text = std::move(text)};
}

auto step(RawAction action) -> RawStep
{
    return {.action = action, .text = {}};
}

auto post(std::string body) -> HttpRequest
{
    return {.method = "POST", .target = "/book?x=1", .headers = {}, .body = std::move(body)};
}

// Sends requests through one HttpClient and blocks until each call ends.
class SyncClient
{
public:
    explicit SyncClient(HttpClientOptions options = {.maxBodyBytes = 1000})
        : m_options(std::move(options))
    { }
    auto call(const SocketAddress &address, HttpRequest request,
              const HttpCallOptions &options = {}) -> HttpOutcome
    {
        auto result = HttpOutcome{};
        m_client.call(address, std::move(request), options, [&](HttpOutcome outcome) {
            result = std::move(outcome);
            m_loop.stop();
        });
        m_loop.run();
        return result;
    }
    // Runs the loop for @p delay, so that late input can arrive.
    auto wait(milliseconds delay) -> void
    {
        auto timer = Timer(m_loop, [this] { m_loop.stop(); });
        timer.startOnce(delay);
        m_loop.run();
    }
    auto client() -> HttpClient &
    {
        return m_client;
    }

private:
    HttpClientOptions m_options;
    EventLoop m_loop;
    HttpClient m_client{m_loop, m_options};
};

// Returns the descriptor of this process that is connected to the server, or -1.
auto socketTo(const SocketAddress &server) -> int
{
    constexpr auto maxDescriptor = 1024;
    for (auto fd = 0; fd < maxDescriptor; ++fd) {
        auto peer = sockaddr_in{};
        auto size = socklen_t{sizeof peer};
        if (::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && peer.sin_family == AF_INET && ntohs(peer.sin_port) == server.port) {
            return fd;
        }
    }
    return -1;
}

// Returns whether the socket has unread input, an end of input or an error.
auto hasInput(int fd) -> bool
{
    auto item = pollfd{.fd = fd, .events = POLLIN, .revents = 0};
    return ::poll(&item, 1, 0) > 0;
}

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

TEST_CASE("faults on a reused connection")
{
    struct Row
    {
        std::string name;
        RawScript first; ///< on the first connection, once the client has the first response
        bool inputWhileIdle; ///< whether the client's socket becomes readable before the next call
        Verdict verdict;
        bool newConnection;
        std::size_t requests; ///< complete requests that the server read
    };
    const auto rows = std::vector<Row>{
        {"is used again",
         {read(), send(okResponse), step(RawAction::Hold)},
         false,
         Verdict::Ran,
         false,
         2},
        {"closed while idle", {step(RawAction::Close)}, true, Verdict::Ran, true, 2},
        {"reset while idle", {step(RawAction::Reset)}, true, Verdict::Ran, true, 2},
        {"input while idle",
         {send(okResponse), step(RawAction::Hold)},
         true,
         Verdict::Ran,
         true,
         2},
        {"closed after the second request",
         {read(), step(RawAction::Close)},
         false,
         Verdict::MayHaveRun,
         false,
         2},
        {"reset after the second request",
         {read(), step(RawAction::Reset)},
         false,
         Verdict::MayHaveRun,
         false,
         2},
    };
    for (const auto *method : {"GET", "POST", "DELETE"}) {
        for (const auto &row : rows) {
            CAPTURE(method);
            CAPTURE(row.name);
            auto script = RawScript{read(), send(okResponse), step(RawAction::Await)};
            script.insert(script.end(), row.first.begin(), row.first.end());
            auto server = RawServer({script, {read(), send(okResponse), step(RawAction::Hold)}});
            auto syncClient = SyncClient();
            const auto request = HttpRequest{.method = method};
            const auto options =
                HttpCallOptions{.timeout = longTimeout, .connectTimeout = longTimeout};
            REQUIRE(syncClient.call(server.address(), request, options).verdict == Verdict::Ran);
            const auto fd = socketTo(server.address());
            REQUIRE(fd >= 0);
            CHECK_FALSE(hasInput(fd));
            server.proceed();
            syncClient.wait(shortestIdleTime);
            for (auto i = 0; i < 10'000 && row.inputWhileIdle && !hasInput(fd); ++i) {
                syncClient.wait(milliseconds(1));
            }
            CHECK(hasInput(fd) == row.inputWhileIdle);
            const auto outcome = syncClient.call(server.address(), request, options);
            CHECK(outcome.verdict == row.verdict);
            CHECK(outcome.newConnection == row.newConnection);
            CHECK(server.requests().size() == row.requests);
        }
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

TEST_CASE("input on an idle connection is reported, its end is not")
{
    const auto rows = std::vector<std::pair<RawStep, std::size_t>>{{send("late"), 1},
                                                                   {step(RawAction::Close), 0}};
    for (const auto &[late, reports] : rows) {
        auto server = RawServer(
            {{read(), send(okResponse), step(RawAction::Await), late, step(RawAction::Hold)},
             {read(), send(okResponse), step(RawAction::Hold)}});
        auto reported = std::vector<SocketAddress>{};
        auto syncClient = SyncClient(
            {.onUnexpectedInput = [&](const SocketAddress &from) { reported.push_back(from); }});
        REQUIRE(syncClient.call(server.address(), post("b")).verdict == Verdict::Ran);
        const auto fd = socketTo(server.address());
        server.proceed();
        for (auto i = 0; i < 10'000 && !hasInput(fd); ++i) {
            syncClient.wait(milliseconds(1));
        }
        REQUIRE(syncClient.call(server.address(), post("b")).verdict == Verdict::Ran);
        CHECK(reported == std::vector<SocketAddress>(reports, server.address()));
    }
}

TEST_CASE("idle age limit and forced new connections")
{
    struct Row
    {
        std::string name;
        HttpCallOptions options;
        bool newConnection;
    };
    const auto rows = std::vector<Row>{
        {"young enough", {.maxIdleAge = milliseconds(5000)}, false},
        {"too old", {.maxIdleAge = milliseconds(20)}, true},
        {"fresh", {.freshConnection = true}, true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto script =
            RawScript{read(), send(okResponse), read(), send(okResponse), step(RawAction::Hold)};
        auto server = RawServer({script, script});
        auto syncClient = SyncClient();
        REQUIRE(syncClient.call(server.address(), post("x")).verdict == Verdict::Ran);
        syncClient.wait(milliseconds(40));
        const auto outcome = syncClient.call(server.address(), post("x"), row.options);
        CHECK(outcome.verdict == Verdict::Ran);
        CHECK(outcome.newConnection == row.newConnection);
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
