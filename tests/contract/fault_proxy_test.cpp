#include "standin_fixture.h"
#include "standins/raw_client.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

constexpr milliseconds limit{5000};
constexpr milliseconds stallTime{150}; ///< time without a response that shows a stalled connection
const auto healthRequest = std::string("GET /figlanding/health HTTP/1.1\r\nhost: a\r\n\r\n");
const auto healthEnd = std::string("slots\":2}");

/// A backend server stand-in behind a fault proxy.
struct ProxiedServer
{
    ProxiedServer()
        : proxy("fault-proxy", {"--target", std::to_string(server.port())})
        , admin(proxy.printedPort("admin"))
    { }

    auto setFaults(const nlohmann::json &faults) const -> void
    {
        const auto outcome =
            callAndWait({"127.0.0.1", admin},
                        {.method = "POST", .target = "/standin/fault", .body = faults.dump()}, {});
        REQUIRE(outcome.response.status == 200);
    }

    StandinProcess server{"backend-server-standin", {}};
    StandinProcess proxy;
    std::uint16_t admin;
};

auto isHealthResponse(const std::string &bytes) -> bool
{
    return bytes.find(healthEnd) != std::string::npos;
}

auto requestHealth(RawClient &client, milliseconds wait) -> std::string
{
    client.send(healthRequest);
    return client.readUntil(healthEnd, wait);
}

} // namespace

TEST_CASE("a proxy forwards both directions")
{
    ProxiedServer proxied;
    RawClient client(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(client, limit)));
    CHECK(isHealthResponse(requestHealth(client, limit)));
    const auto large =
        proxied.proxy.call({.target = "/a", .headers = {{"standin-body-bytes", "3000000"}}});
    CHECK(large.verdict == Verdict::Ran);
    CHECK(large.response.body.size() > 3000000);
}

TEST_CASE("frozen connections stay stalled after the fault ends while new ones work")
{
    ProxiedServer proxied;
    RawClient frozen(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(frozen, limit)));
    proxied.setFaults({{"freeze", true}});
    CHECK(requestHealth(frozen, stallTime).empty());
    CHECK_FALSE(frozen.closedByPeer());
    RawClient fresh(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(fresh, limit)));
    proxied.setFaults(nlohmann::json::object());
    CHECK(frozen.readAll(stallTime).empty());
    CHECK_FALSE(frozen.closedByPeer());
}

TEST_CASE("a partition stalls established connections and closes new ones until it ends")
{
    ProxiedServer proxied;
    RawClient client(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(client, limit)));
    proxied.setFaults({{"partition", true}});
    CHECK(requestHealth(client, stallTime).empty());
    RawClient refused(proxied.proxy.port());
    CHECK(requestHealth(refused, limit).empty());
    CHECK(refused.closedByPeer());
    proxied.setFaults(nlohmann::json::object());
    CHECK(isHealthResponse(client.readUntil(healthEnd, limit)));
}

TEST_CASE("bytes held up by a partition are lost if their sender resets the connection")
{
    ProxiedServer proxied;
    RawClient client(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(client, limit)));
    proxied.setFaults({{"partition", true}});
    client.send("GET /held HTTP/1.1\r\nhost: a\r\n\r\n");
    auto delivered = false;
    SUBCASE("reset")
    {
        client.reset();
    }
    SUBCASE("normal close")
    {
        client.close();
        delivered = true;
    }
    proxied.setFaults(nlohmann::json::object());
    RawClient later(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(later, limit)));
    const auto history = proxied.server.get("/standin/history").response.body;
    CHECK((history.find("/held") != std::string::npos) == delivered);
}

TEST_CASE("established connections are closed on demand")
{
    ProxiedServer proxied;
    RawClient client(proxied.proxy.port());
    CHECK(isHealthResponse(requestHealth(client, limit)));
    proxied.setFaults({{"cut", true}});
    CHECK(client.readAll(limit).empty());
    CHECK(client.closedByPeer());
}

TEST_CASE("responses are dropped after the request ran, truncated and duplicated")
{
    ProxiedServer proxied;
    proxied.setFaults({{"drop_answers", 1}});
    const auto dropped = proxied.proxy.call({.method = "POST", .target = "/a"});
    CHECK(dropped.verdict == Verdict::MayHaveRun);
    CHECK(proxied.server.get("/standin/history").response.body.find("\"end\"")
          != std::string::npos);

    for (const auto bytes : {1, 20, 100, 150}) {
        CAPTURE(bytes);
        proxied.setFaults({{"cut_after_bytes", bytes}});
        RawClient cut(proxied.proxy.port());
        cut.send(healthRequest);
        CHECK(cut.readAll(limit).size() == static_cast<std::size_t>(bytes));
        CHECK(cut.closedByPeer());
        CHECK(proxied.proxy.get("/figlanding/health").verdict == Verdict::MayHaveRun);
    }

    proxied.setFaults({{"double_answers", 1}});
    RawClient doubled(proxied.proxy.port());
    const auto first = requestHealth(doubled, limit) + doubled.readUntil(healthEnd, stallTime);
    CHECK(first.find("HTTP/1.1", 1) != std::string::npos);
}

TEST_CASE("responses are delayed and throttled")
{
    ProxiedServer proxied;
    proxied.setFaults({{"delay_ms", 60}});
    const auto delayed = proxied.proxy.get("/figlanding/health");
    CHECK(delayed.verdict == Verdict::Ran);
    CHECK(delayed.elapsed >= milliseconds(120));
    proxied.setFaults({{"throttle_bytes_per_second", 2000}});
    const auto throttled =
        proxied.proxy.call({.target = "/a", .headers = {{"standin-body-bytes", "400"}}});
    CHECK(throttled.verdict == Verdict::Ran);
    CHECK(throttled.elapsed >= milliseconds(150));
}

TEST_CASE("a proxy whose target refuses connections closes new connections")
{
    StandinProcess proxy("fault-proxy", {"--target", std::to_string(freePort())});
    RawClient client(proxy.port());
    client.send(healthRequest);
    CHECK(client.readAll(limit).empty());
    CHECK(client.closedByPeer());
}
