#include "gateway_deployment.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::standins;

TEST_CASE("every VM of three serves requests with and without a key, and a key has one owner")
{
    auto deployment = GatewayDeployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        CHECK(deployment.serves(vm, "/keyed/1"));
        CHECK(deployment.serves(vm, "/read/1"));
    }
    const auto owners =
        int{deployment.server(0).holds(40'000)} + int{deployment.server(1).holds(40'000)};
    CHECK(owners == 1);
}

TEST_CASE("unknown routes and API keys are refused, rate limits hold, API keys are not forwarded")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    CHECK(deployment.send(0, deployment.request("GET", "/none/1", "a")).response.status == 404);
    CHECK(deployment.send(0, deployment.request("GET", "/read/1", "b", "no")).response.status
          == 401);
    auto limited = 0;
    for (auto i = 0; i < 10; ++i) {
        const auto id = std::string("c").append(std::to_string(i));
        const auto outcome = deployment.send(0, deployment.request("GET", "/read/1", id, "low"));
        if (outcome.response.status == 429) {
            ++limited;
            CHECK(outcome.response.headers.find("retry-after"));
        }
    }
    CHECK(limited >= 6);
    for (const auto index : {2U, 3U}) {
        CHECK_FALSE(deployment.server(index).lastHeaders().find("x-credential"));
    }
}

TEST_CASE("a non-idempotent request runs at most once when servers fail or return wrong responses")
{
    auto deployment = GatewayDeployment(2);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().fails = true;
    deployment.server(3).options().returnsWrongRequestId = true;
    for (auto i = 0; i < 8; ++i) {
        const auto id = std::string("book").append(std::to_string(i));
        const auto outcome = deployment.send(0, deployment.request("POST", "/book/1", id));
        const auto runs = [&](std::size_t index) {
            const auto &all = deployment.server(index).runs();
            return all.contains(id) ? all.at(id) : 0;
        };
        CHECK(runs(2) + runs(3) == 1);
        // 500: the server failed the request; 502: the outcome is unknown. A 503 would promise that
        // the request did not run.
        const auto status = outcome.response.status;
        CHECK((status == 500 || status == 502));
    }
}

// Guards against a booking that a caller sends again because it is told that it has not run.
TEST_CASE("a status that promises that a request has not run is not passed on when it may have")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    for (const auto status : {408, 429, 503}) {
        CAPTURE(status);
        for (const auto index : {2U, 3U}) {
            deployment.server(index).options().fails = true;
            deployment.server(index).options().failureStatus = status;
        }
        const auto id = std::to_string(status);
        const auto outcome = deployment.send(0, deployment.request("POST", "/book/1", id));
        CHECK(outcome.response.status == 502);
        CHECK_FALSE(outcome.response.headers.find("x-upstream-signature"));
        CHECK_FALSE(outcome.response.headers.find("retry-after"));
        CHECK(deployment.server(2).runs().count(id) + deployment.server(3).runs().count(id) == 1);
    }
    // The server's own status is passed on where it promises nothing.
    deployment.server(2).options().failureStatus = deployment.server(3).options().failureStatus =
        500;
    const auto outcome = deployment.send(0, deployment.request("POST", "/book/1", "plain"));
    CHECK(outcome.response.status == 500);
    CHECK(outcome.response.headers.find("x-upstream-signature") == "digest");
}

TEST_CASE("an idempotent request is retried at another server after a failure")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().sheds = true;
    auto served = 0;
    for (auto i = 0; i < 10; ++i) {
        const auto id = std::string("r").append(std::to_string(i));
        served +=
            deployment.send(0, deployment.request("GET", "/read/1", id)).response.status == 200;
    }
    CHECK(served >= 9);
}

TEST_CASE("server errors are retried within the retry budget, not once for each request")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().fails = true;
    deployment.server(3).options().fails = true;
    constexpr auto total = 40;
    for (auto i = 0; i < total; ++i) {
        const auto id = std::string("f").append(std::to_string(i));
        CHECK(deployment.send(0, deployment.request("GET", "/read/1", id)).response.status == 500);
    }
    const auto runs =
        deployment.server(2).arrivals().size() + deployment.server(3).arrivals().size();
    constexpr auto retries = 12; // a fifth of the requests and what earlier ones left
    CHECK(runs >= total);
    CHECK(runs <= total + retries);
}

TEST_CASE("concurrent requests of all VMs never exceed the slots of a server")
{
    auto deployment = GatewayDeployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    deployment.runFor(milliseconds(600)); // the VMs exchange heartbeats
    auto answered = 0;
    constexpr auto total = 60;
    for (auto i = 0; i < total; ++i) {
        const auto id = std::string("n").append(std::to_string(i));
        deployment.start(static_cast<std::size_t>(i % 3), deployment.request("GET", "/read/1", id),
                         [&](const HttpOutcome &) { ++answered; });
    }
    CHECK(deployment.runUntil([&] { return answered == total; }));
    CHECK(deployment.server(2).peakConcurrency() <= 2);
    CHECK(deployment.server(3).peakConcurrency() <= 2);
}

TEST_CASE("keys move from a draining server to another one and stay served")
{
    auto deployment = GatewayDeployment(2);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    const auto owner = deployment.server(0).holds(40'000) ? std::size_t{0} : std::size_t{1};
    deployment.drain(owner);
    CHECK(deployment.runUntil([&] { return deployment.server(1 - owner).holds(40'000); },
                              milliseconds(2000)));
    CHECK_FALSE(deployment.server(owner).holds(40'000));
    CHECK(deployment.serves(1, "/keyed/1"));
}

TEST_CASE("requests are served during a store outage, and new configuration applies after it")
{
    auto deployment = GatewayDeployment(2);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    deployment.store().setFaults({.down = true});
    deployment.runFor(milliseconds(3000));
    CHECK(deployment.serves(0, "/keyed/2"));
    CHECK(deployment.serves(1, "/read/2"));
    deployment.store().setFaults({});
    auto changed = std::string(configuration);
    changed.replace(changed.find("r1"), 2, "r2");
    changed.replace(changed.find("/read/"), 6, "/late/");
    deployment.store().put("keyed.op", "config", changed);
    CHECK(deployment.eventually(
        [&] {
            return deployment.send(0, deployment.request("GET", "/late/1", "x")).response.status
                == 200;
        },
        milliseconds(3000)));
}

TEST_CASE("another VM becomes the key controller after the controller stops")
{
    auto deployment = GatewayDeployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/keyed/1"));
    }
    // The store makes the first member of the group the controller.
    deployment.vm(0).reset();
    deployment.vm(1).reset();
    const auto lease = milliseconds(7000);
    deployment.runFor(lease);
    CHECK(deployment.serves(2, "/keyed/1"));
}
