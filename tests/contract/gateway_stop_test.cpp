#include "gateway_deployment.h"
#include "standins/raw_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

using namespace figlanding;
using namespace figlanding::standins;

TEST_CASE("a VM that shuts down refuses a request that waits for a slot as not run")
{
    auto deployment = GatewayDeployment(1, milliseconds(3600));
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().work = milliseconds(30'000);
    deployment.server(3).options().work = milliseconds(30'000);
    const auto slots = std::size_t{4};
    const auto atWork = deployment.startReports(0, slots);
    deployment.runFor(milliseconds(200));
    auto waiting = std::optional<HttpOutcome>();
    auto report = deployment.request("GET", "/report/1", "waiting");
    report.headers.set("x-deadline-ms", "9000");
    deployment.start(0, std::move(report),
                     [&](HttpOutcome outcome) { waiting = std::move(outcome); });
    deployment.runFor(milliseconds(200));
    REQUIRE_FALSE(waiting);
    deployment.vm(0)->leave();
    // The loop ends when the VM stops.
    deployment.runUntil([&] { return waiting.has_value(); });
    deployment.vm(0).reset();
    deployment.runUntil([&] { return waiting.has_value(); });
    REQUIRE(waiting);
    CHECK(statusOf(waiting) == 503);
    CHECK(waiting->response.headers.find("retry-after"));
    for (const auto index : {2U, 3U}) {
        CHECK_FALSE(deployment.server(index).runs().contains("waiting"));
    }
}

TEST_CASE("a VM that shuts down answers every request at a server before it stops")
{
    auto deployment = GatewayDeployment(1, milliseconds(3600));
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().work = milliseconds(1500);
    deployment.server(3).options().work = milliseconds(30'000);
    const auto outcomes = deployment.startReports(0, 4);
    deployment.runFor(milliseconds(200));
    deployment.vm(0)->leave();
    const auto all = [&] {
        return std::all_of(outcomes->begin(), outcomes->end(),
                           [](const auto &outcome) { return outcome.has_value(); });
    };
    deployment.runUntil(all);
    deployment.vm(0).reset();
    deployment.runUntil(all);
    auto statuses = std::vector<int>{};
    for (const auto &outcome : *outcomes) {
        statuses.push_back(statusOf(outcome));
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 2);
    // 502: the outcome at the slow server is unknown.
    CHECK(std::count(statuses.begin(), statuses.end(), 502) == 2);
}

TEST_CASE("a VM that stops answers a request that arrives at the moment of its stop")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.vm(0)->leave();
    deployment.runFor(milliseconds(2200));
    // The request arrives while the VM is held up, and the VM may stop as soon as it goes on.
    std::this_thread::sleep_for(milliseconds(300));
    auto caller = RawClient(deployment.callers(0).port);
    caller.send("GET /read/1 HTTP/1.1\r\nhost: x.example\r\nx-request-id: last\r\n"
                "x-credential: key\r\nx-deadline-ms: 1000\r\n\r\n");
    deployment.runUntil([] { return false; }, milliseconds(2000)); // the VM ends the loop
    deployment.vm(0).reset();
    CHECK(caller.readAll(milliseconds(500)).starts_with("HTTP/1.1 200"));
}

// Guards against downloads that a planned stop cuts off, as a request lies unread behind them.
TEST_CASE("a VM that stops ends after a slow caller with a request behind its download has it")
{
    constexpr auto downloadBytes = std::size_t{600'000};
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    for (const auto index : {2U, 3U}) {
        deployment.server(index).options().work = milliseconds(2700);
        deployment.server(index).options().largeResponseBytes = downloadBytes;
    }
    const auto head = [](const std::string &target, const std::string &id) {
        return "GET " + target + " HTTP/1.1\r\nhost: x.example\r\nx-request-id: " + id
            + "\r\nx-credential: key\r\nx-deadline-ms: 5000\r\n\r\n";
    };
    auto caller = RawClient(deployment.callers(0).port);
    caller.limitUnread(64 * 1024);
    caller.send(head("/report/large", "download"));
    deployment.runFor(milliseconds(200));
    deployment.vm(0)->leave();
    caller.send(head("/read/1", "behind"));
    auto response = std::string{};
    auto reading =
        std::thread([&] { response = caller.readSlowly(milliseconds(20), milliseconds(5000)); });
    CHECK_FALSE(deployment.runUntil([] { return false; })); // the VM ends the loop
    deployment.vm(0).reset();
    reading.join();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.size() > downloadBytes);
    CHECK_FALSE(caller.resetByPeer());
}

TEST_CASE("a VM that the load balancer has removed refuses requests that it may not complete")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    const auto allAnswered = [](const auto &outcomes) {
        return std::all_of(outcomes->begin(), outcomes->end(),
                           [](const auto &outcome) { return outcome.has_value(); });
    };
    const auto connections = deployment.startReports(0, 4);
    REQUIRE(deployment.runUntil([&] { return allAnswered(connections); }));
    deployment.server(2).options().work = milliseconds(4000);
    deployment.server(3).options().work = milliseconds(4000);
    const auto pending = deployment.startReports(0, 1);
    deployment.runFor(milliseconds(200));
    deployment.server(2).options().work = milliseconds(20);
    deployment.server(3).options().work = milliseconds(20);
    deployment.vm(0)->leave();
    deployment.runFor(milliseconds(2600));
    auto report = deployment.request("GET", "/report/1", "late");
    report.headers.set("x-deadline-ms", "9000");
    const auto late = deployment.send(0, std::move(report));
    CHECK(statusOf(late) == 503);
    CHECK(late.response.headers.find("retry-after"));
    CHECK(statusOf(deployment.send(0, deployment.request("GET", "/read/1", "short"))) == 200);
    CHECK(deployment.runUntil([&] { return allAnswered(pending); }));
    CHECK(statusOf(pending->front()) == 200);
}
