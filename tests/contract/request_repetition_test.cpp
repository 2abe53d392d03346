#include "io/http_client.h"
#include "raw_server.h"
#include "run_until.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

constexpr auto connectionCount = 1000;
constexpr auto callCount = 500; // each opens two connections at most
constexpr auto idCount = 60U;

// Returns a connection that answers up to 30 requests with its number and then ends.
auto answersWith(const std::string &number, std::mt19937 &random) -> RawScript
{
    auto script = RawScript();
    const auto responses = 1 + random() % 30;
    for (auto i = 0U; i < responses; ++i) {
        script.push_back({RawAction::ReadRequest, {}});
        script.push_back({RawAction::Send,
                          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(number.size())
                              + "\r\n\r\n" + number});
    }
    script.push_back({random() % 2 == 0 ? RawAction::Close : RawAction::Reset, {}});
    return script;
}

// Sends requests with few different ids at random times and cancels some.
class RandomCalls
{
public:
    RandomCalls(std::size_t maxConnections, std::uint32_t seed)
        : m_random(seed)
        , m_server(scripts())
        , m_client(m_loop, {.maxConnectionsPerHost = maxConnections})
    { }

    // Returns whether all calls ended in time.
    auto run() -> bool
    {
        for (auto i = 0; i < callCount; ++i) {
            const auto id = start();
            if (m_random() % 40 == 0) {
                m_client.cancel(id);
                --m_running;
            }
            if (m_random() % 5 == 0 && !awaitAtMost(static_cast<int>(m_random() % 6))) {
                return false;
            }
        }
        return awaitAtMost(0);
    }

    int repetitions = 0; // an id was answered twice on one connection
    int falselyNew = 0; // a connection that had answered before was reported as new
    int onKeptConnections = 0;

private:
    auto scripts() -> std::vector<RawScript>
    {
        auto result = std::vector<RawScript>();
        for (auto i = 0; i < connectionCount; ++i) {
            result.push_back(answersWith(std::to_string(i), m_random));
        }
        return result;
    }
    auto start() -> HttpClient::CallId
    {
        const auto id = "id" + std::to_string(m_random() % idCount);
        ++m_running;
        return m_client.call(m_server.address(),
                             {.method = "GET", .target = "/", .headers = {}, .body = {}},
                             {.timeout = milliseconds(3000),
                              .freshConnection = m_random() % 10 == 0,
                              .correlationHeader = std::pair(std::string("x-id"), id)},
                             [this, id](const HttpOutcome &outcome) { onOutcome(id, outcome); });
    }
    auto onOutcome(const std::string &id, const HttpOutcome &outcome) -> void
    {
        --m_running;
        if (outcome.verdict != Verdict::Ran) {
            return;
        }
        const auto &connection = outcome.response.body;
        const auto isFirst = m_connections.insert(connection).second;
        onKeptConnections += outcome.newConnection ? 0 : 1;
        falselyNew += outcome.newConnection && !isFirst ? 1 : 0;
        repetitions += m_answered.emplace(id, connection).second ? 0 : 1;
    }
    auto awaitAtMost(int running) -> bool
    {
        return runUntil(
            m_loop, [&] { return m_running <= running; }, seconds(10));
    }

    std::mt19937 m_random;
    RawServer m_server;
    EventLoop m_loop;
    HttpClient m_client;
    int m_running = 0;
    std::set<std::string> m_connections;
    std::set<std::pair<std::string, std::string>> m_answered;
};

} // namespace

TEST_CASE("no id is sent twice over one connection, whatever the order of calls and their ends")
{
    for (const auto maxConnections : {std::size_t{2}, std::size_t{120}}) {
        for (const auto seed : {1U, 2U, 3U}) {
            CAPTURE(maxConnections);
            CAPTURE(seed);
            auto calls = RandomCalls(maxConnections, seed);
            REQUIRE(calls.run());
            CHECK(calls.repetitions == 0);
            CHECK(calls.falselyNew == 0);
            CHECK(calls.onKeptConnections > 50);
        }
    }
}
