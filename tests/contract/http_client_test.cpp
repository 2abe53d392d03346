#include "io/http_client.h"
#include "raw_server.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

const auto goodAnswer = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

auto read() -> RawStep
{
    return {.action = RawAction::ReadRequest, .text = {}};
}

auto send(std::string text) -> RawStep
{
    return {.action = RawAction::Send, .text = std::move(text)};
}

auto act(RawAction action) -> RawStep
{
    return {.action = action, .text = {}};
}

auto post(std::string body) -> HttpRequest
{
    return {.method = "POST", .target = "/book?x=1", .headers = {}, .body = std::move(body)};
}

// Sends requests one after another through one client.
class Caller
{
public:
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
    // Lets the loop run for a while, so that late input can arrive.
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
    EventLoop m_loop;
    HttpClient m_client{m_loop, HttpClientOptions{.maxBodyBytes = 1000}};
};

struct FaultCase
{
    std::string name;
    RawScript script;
    Verdict verdict;
    ErrorCode code;
};

// Faults on a new connection, for a POST.
auto faultCases() -> std::vector<FaultCase>
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto may = Verdict::MayHaveRun;
    const auto protocol = ErrorCode::ProtocolViolation;
    const auto failed = ErrorCode::ConnectionFailed;
    return {
        {"closed after a part of the request", {act(RawAction::ReadSome)}, may, failed},
        {"closed after the request", {read(), act(RawAction::Close)}, may, failed},
        {"reset after the request", {read(), act(RawAction::Reset)}, may, failed},
        {"half a status line", {read(), send("HTTP/1.1 20")}, may, failed},
        {"half the headers", {read(), send("HTTP/1.1 200 OK\r\nContent-Le")}, may, protocol},
        {"short body",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")},
         may,
         protocol},
        {"over-long body", {read(), send(goodAnswer + "excess")}, may, protocol},
        {"no length", {read(), send("HTTP/1.1 200 OK\r\n\r\nok")}, may, protocol},
        {"two lengths",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")},
         may,
         protocol},
        {"length and chunks",
         {read(),
          send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2\r\nok\r\n0\r\n\r\n")},
         may,
         protocol},
        {"chunks cut short", {read(), send(chunked + "2\r\nok\r\n")}, may, protocol},
        {"chunk size that is no number", {read(), send(chunked + "zz\r\nok\r\n")}, may, failed},
        {"body above the limit",
         {read(), send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'))},
         may,
         ErrorCode::LimitExceeded},
        {"never answered", {read(), act(RawAction::Hold)}, may, ErrorCode::Timeout},
        {"not HTTP", {read(), send("SSH-2.0-x\r\n")}, may, protocol},
    };
}

} // namespace

TEST_CASE("faults on a new connection")
{
    for (const auto &row : faultCases()) {
        CAPTURE(row.name);
        auto server = RawServer({row.script});
        auto caller = Caller();
        const auto outcome =
            caller.call(server.address(), post("b"), {.timeout = milliseconds(150)});
        CHECK(outcome.verdict == row.verdict);
        CHECK(message(outcome.error.code) == message(row.code));
        CHECK(caller.client().pending() == 0);
    }
}

TEST_CASE("a whole answer")
{
    const auto text = std::string("HTTP/1.1 103 Hints\r\nX-Early: 1\r\n\r\nHTTP/1.1 503 Busy\r\n"
                                  "X-One: a\r\nx-two:  b \r\nX-One: c\r\nContent-Length: 4\r\n\r\n")
        + std::string("a\0b\n", 4);
    auto server = RawServer({{read(), send(text), act(RawAction::Hold)}});
    auto caller = Caller();
    auto request = post("body");
    request.headers = {{"x-empty", ""}, {"content-length", "99"}, {"host", "rooms"}};
    const auto outcome = caller.call(server.address(), request);
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

TEST_CASE("chunked answer and answers without a body")
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n");
    const auto empty = std::string("HTTP/1.1 204 None\r\n\r\n");
    const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
    auto server =
        RawServer({{read(), send(chunked), read(), send(empty), read(), send(head), read()}});
    auto caller = Caller();
    const auto first = caller.call(server.address(), post("x"));
    CHECK(first.verdict == Verdict::Ran);
    CHECK(first.response.body == "ok");
    CHECK_FALSE(first.response.headers.find("x-trailer"));
    const auto second = caller.call(server.address(), {.method = "DELETE"});
    CHECK(second.verdict == Verdict::Ran);
    CHECK_FALSE(second.newConnection);
    const auto third = caller.call(server.address(), {.method = "HEAD"});
    CHECK(third.verdict == Verdict::Ran);
    CHECK(third.response.body.empty());
}

TEST_CASE("requests that never leave")
{
    auto caller = Caller();
    auto refused = SocketAddress{};
    {
        auto server = RawServer({});
        refused = server.address();
    }
    CHECK(caller.call(refused, post("x")).verdict == Verdict::NotRun);

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
        const auto outcome = caller.call(refused, request);
        CHECK(outcome.verdict == Verdict::NotRun);
        CHECK(outcome.error.code == ErrorCode::InvalidValue);
    }
}

TEST_CASE("a reused connection")
{
    struct Row
    {
        std::string name;
        RawScript first; ///< after the first answer, on the first connection
        Verdict verdict;
        bool newConnection;
        std::size_t requests; ///< whole requests that the server read
    };
    const auto rows = std::vector<Row>{
        {"is used again", {read(), send(goodAnswer), act(RawAction::Hold)}, Verdict::Ran, false, 2},
        {"closed while idle", {act(RawAction::Close)}, Verdict::Ran, true, 2},
        {"reset while idle", {act(RawAction::Reset)}, Verdict::Ran, true, 2},
        {"input while idle",
         {act(RawAction::Pause), send(goodAnswer), act(RawAction::Hold)},
         Verdict::Ran,
         true,
         2},
        {"closed after the second request",
         {read(), act(RawAction::Close)},
         Verdict::MayHaveRun,
         false,
         2},
        {"reset after the second request",
         {read(), act(RawAction::Reset)},
         Verdict::MayHaveRun,
         false,
         2},
    };
    for (const auto *method : {"GET", "POST", "DELETE"}) {
        for (const auto &row : rows) {
            CAPTURE(method);
            CAPTURE(row.name);
            auto script = RawScript{read(), send(goodAnswer)};
            script.insert(script.end(), row.first.begin(), row.first.end());
            auto server = RawServer({script, {read(), send(goodAnswer), act(RawAction::Hold)}});
            auto caller = Caller();
            const auto request = HttpRequest{.method = method};
            REQUIRE(caller.call(server.address(), request).verdict == Verdict::Ran);
            caller.wait(milliseconds(30));
            const auto outcome = caller.call(server.address(), request);
            CHECK(outcome.verdict == row.verdict);
            CHECK(outcome.newConnection == row.newConnection);
            CHECK(server.requests().size() == row.requests);
        }
    }
}

TEST_CASE("idle age and fresh connections")
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
            RawScript{read(), send(goodAnswer), read(), send(goodAnswer), act(RawAction::Hold)};
        auto server = RawServer({script, script});
        auto caller = Caller();
        REQUIRE(caller.call(server.address(), post("x")).verdict == Verdict::Ran);
        caller.wait(milliseconds(40));
        const auto outcome = caller.call(server.address(), post("x"), row.options);
        CHECK(outcome.verdict == Verdict::Ran);
        CHECK(outcome.newConnection == row.newConnection);
    }
}

TEST_CASE("a cancelled call never calls back")
{
    auto server = RawServer({{read(), act(RawAction::Hold)}});
    auto caller = Caller();
    auto called = false;
    auto &client = caller.client();
    const auto id = client.call(server.address(), post("x"), {.timeout = milliseconds(50)},
                                [&](const HttpOutcome &) { called = true; });
    caller.wait(milliseconds(20));
    client.cancel(id);
    CHECK(client.pending() == 0);
    caller.wait(milliseconds(80));
    CHECK_FALSE(called);
}

TEST_CASE("one call and a wait")
{
    auto server = RawServer({{read(), send(goodAnswer)}});
    const auto outcome = callAndWait(server.address(), post("x"), {});
    CHECK(outcome.verdict == Verdict::Ran);
    CHECK(outcome.response.body == "ok");
}
