#include "io/http_server.h"
#include "server_thread.h"
#include "standins/process.h"
#include "standins/raw_client.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using namespace figlanding::testing;

namespace {

constexpr milliseconds timeout{5000};
constexpr std::size_t longBodyBytes{600'000};
constexpr int unreadBytes{64 * 1024}; ///< that a slow caller's system takes
constexpr milliseconds pauseOfSlowCaller{3}; ///< after each 16 KiB
constexpr std::size_t limitBytes{2048}; ///< of headers and bodies, in the servers of this file

/// A server on its own thread. GET /long gets a long body, /unframed one that ends with its
/// connection; the response to either waits for go(). Other requests get a short body at once.
class LongBodyServer
{
public:
    explicit LongBodyServer(HttpServerOptions options = {})
        : m_server(withLimits(std::move(options)),
                   [this](EventLoop &, HttpServer &, HttpExchange exchange) {
                       handle(std::move(exchange));
                   })
    { }

    /// Lets the responses that wait go out.
    auto go() -> void
    {
        m_server.run([this](HttpServer &) { respondToAll(); });
    }
    auto drain() -> void
    {
        m_server.run([](HttpServer &server) { server.drain(); });
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_server.port();
    }
    [[nodiscard]] auto handled() const -> int
    {
        return m_server.handled();
    }
    [[nodiscard]] auto lingering() const -> std::size_t
    {
        return m_server.lingering();
    }

private:
    static auto withLimits(HttpServerOptions options) -> HttpServerOptions
    {
        options.maxHeaderBytes = limitBytes;
        options.maxBodyBytes = limitBytes;
        return options;
    }

    auto handle(HttpExchange exchange) -> void
    {
        const auto &target = exchange.request().target;
        if (target == "/long" || target == "/unframed") {
            m_waiting.push_back(std::move(exchange));
        } else {
            exchange.respond({.body = "done"});
        }
    }

    auto respondToAll() -> void
    {
        for (auto &exchange : std::exchange(m_waiting, {})) {
            const auto isUnframed = exchange.request().target == "/unframed";
            exchange.respond({.body = std::string(longBodyBytes, 'a'),
                              .bodyEnd = isUnframed ? BodyEnd::ConnectionEnd : BodyEnd::Length});
        }
    }

    std::vector<HttpExchange> m_waiting;
    ServerThread m_server;
};

auto get(const std::string &target, const std::string &fields = "") -> std::string
{
    return "GET " + target + " HTTP/1.1\r\nhost: a\r\n" + fields + "\r\n";
}

auto bodyBytes(const std::string &response) -> std::size_t
{
    const auto end = response.find("\r\n\r\n");
    return end == std::string::npos ? 0 : response.size() - end - 4;
}

} // namespace

// Guards against responses that are lost to the reset of a connection with unread input.
TEST_CASE("a response that ends its connection is whole although a request lies unread behind it")
{
    struct Row
    {
        std::string name;
        std::string request;
        bool drains;
    };
    const auto rows = std::vector<Row>{
        {"of a draining server", get("/long"), true},
        {"to a caller that closes", get("/long", "connection: close\r\n"), false},
        {"without a length", get("/unframed"), false},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        LongBodyServer server;
        auto callers = std::deque<RawClient>{};
        constexpr auto callerCount = 6;
        for (auto i = 0; i < callerCount; ++i) {
            auto &caller = callers.emplace_back(server.port());
            caller.limitUnread(unreadBytes);
            caller.send(row.request);
        }
        REQUIRE(waitUntil([&] { return server.handled() == callerCount; }, timeout));
        for (auto &caller : callers) {
            caller.send(get("/behind"));
        }
        if (row.drains) {
            server.drain();
        }
        server.go();
        for (auto &caller : callers) {
            CHECK(bodyBytes(caller.readSlowly(pauseOfSlowCaller, timeout)) == longBodyBytes);
            CHECK_FALSE(caller.resetByPeer());
        }
        CHECK(server.handled() == callerCount);
    }
}

// Guards against rejections that are lost to the reset of a connection with unread input.
TEST_CASE("a caller that sends on reads why its request was rejected")
{
    struct Row
    {
        std::string name;
        std::string head;
        std::string status;
    };
    const auto post = std::string("POST /echo HTTP/1.1\r\nhost: a\r\n");
    const auto length = std::string("content-length: 3000000\r\n");
    const auto rows = std::vector<Row>{
        {"body beyond the limit", post + length + "\r\n", "413"},
        {"header beyond the limit",
         post + length + "x: " + std::string(2 * limitBytes, 'a') + "\r\n\r\n", "431"},
        {"header beyond the memory", post + length + "x: " + std::string(60'000, 'a') + "\r\n\r\n",
         "431"},
        {"two lengths", post + length + length + "\r\n", "400"},
        {"unknown framing", post + "transfer-encoding: gzip\r\n\r\n", "501"},
        {"no host", "POST /echo HTTP/1.1\r\n" + length + "\r\n", "400"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        LongBodyServer server;
        RawClient caller(server.port());
        caller.send(row.head + std::string(3'000'000, 'b'));
        CHECK(caller.sentAll());
        CHECK(caller.readAll(timeout).starts_with("HTTP/1.1 " + row.status));
        CHECK_FALSE(caller.resetByPeer());
    }
}

TEST_CASE("a caller that sends on reads that there is no memory for its request")
{
    constexpr auto accountBytes = std::size_t{64} * 1024;
    constexpr auto oneConnection = std::size_t{20'000};
    auto account = HeldBytes({.limit = accountBytes});
    account.add(HeldKind::RequestBody, accountBytes - oneConnection);
    LongBodyServer server({.heldBytes = &account});
    RawClient caller(server.port());
    caller.send("POST /echo HTTP/1.1\r\nhost: a\r\nx: " + std::string(limitBytes - 100, 'a')
                + "\r\ncontent-length: 2000\r\n\r\n" + std::string(2000, 'b'));
    CHECK(caller.sentAll());
    CHECK(caller.readAll(timeout).starts_with("HTTP/1.1 503"));
    CHECK_FALSE(caller.resetByPeer());
}

TEST_CASE("callers that never end their connections keep no others out")
{
    constexpr auto limit = 3U;
    LongBodyServer server({.maxConnections = limit});
    auto crowd = std::deque<RawClient>{};
    for (auto i = 0; i < 20; ++i) {
        auto &caller = crowd.emplace_back(server.port());
        caller.send("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n");
        CHECK(caller.readAll(timeout).starts_with("HTTP/1.1 413"));
        CHECK(server.lingering() <= limit);
    }
    CHECK(waitUntil([&] { return server.lingering() > 0; }, timeout));
    CHECK(waitUntil([&] { return server.lingering() == 0; }, timeout)); // after a bounded time
}

TEST_CASE("a caller that sends without end is cut off")
{
    LongBodyServer server;
    RawClient caller(server.port());
    caller.send("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n");
    const auto part = std::string(1'000'000, 'b');
    for (auto i = 0; i < 100 && caller.sentAll(); ++i) {
        caller.send(part);
        caller.readAll(milliseconds(1));
    }
    CHECK_FALSE(caller.sentAll());
    CHECK(waitUntil([&] { return server.lingering() == 0; }, milliseconds(1000)));
    RawClient other(server.port());
    other.send(get("/short"));
    CHECK(other.readUntil("done", timeout).find("200 OK") != std::string::npos);
}

// Guards against requests that are read and not answered, as a caller cannot send those again.
TEST_CASE("a connection that was idle for too long is closed without reading from it")
{
    LongBodyServer server({.idleTimeout = seconds(1)});
    RawClient caller(server.port());
    caller.send(get("/short"));
    CHECK(caller.readUntil("done", timeout).find("200 OK") != std::string::npos);
    CHECK(caller.readAll(timeout).empty());
    REQUIRE(caller.closedByPeer());
    caller.send(get("/late"));
    CHECK(server.lingering() == 0);
    CHECK(server.handled() == 1);
}
