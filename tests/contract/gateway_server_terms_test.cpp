#include "gateway_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;
using namespace figlanding::standins;

TEST_CASE("a server gets no more requests from all VMs than the limit that it states")
{
    constexpr auto limit = 6.0;
    auto deployment = GatewayDeployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    auto &server = deployment.server(2);
    server.options().limit = "6.0";
    deployment.server(3).options().limit = "6.0";
    auto served = 0;
    const auto sendFor = [&](milliseconds span) {
        for (auto i = 0; i < span / milliseconds(20); ++i) {
            const auto id = std::to_string(i) + "-" + std::to_string(span.count());
            for (std::size_t vm = 0; vm < 3; ++vm) {
                deployment.start(vm, deployment.request("GET", "/read/1", id + std::to_string(vm)),
                                 [&](const HttpOutcome &outcome) {
                                     served += outcome.response.status == 200 ? 1 : 0;
                                 });
            }
            deployment.runFor(milliseconds(20));
        }
    };
    sendFor(milliseconds(1000)); // every VM has passed on a response with the limit
    const auto before = server.arrivals().size();
    served = 0;
    constexpr auto window = seconds(4);
    sendFor(window);
    const auto arrivals = static_cast<double>(server.arrivals().size() - before);
    CHECK(arrivals <= 1.5 * limit * window.count() + 5.0);
    CHECK(served >= 30); // of 48 that both servers accept
    server.options().limit.clear();
    deployment.server(3).options().limit.clear();
    deployment.runFor(milliseconds(2500)); // requests that wait are served
    served = 0;
    sendFor(milliseconds(1000));
    CHECK(served > 60); // the limit has ended
    deployment.runFor(milliseconds(2500));
}

TEST_CASE("a server that says that it is leaving gets no more requests while the store is down")
{
    auto deployment = GatewayDeployment(2);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    deployment.store().setFaults({.down = true});
    auto &server = deployment.server(2);
    server.options().leaving = true;
    auto number = 0;
    const auto send = [&] {
        for (std::size_t vm = 0; vm < 2; ++vm) {
            const auto id = std::string("l").append(std::to_string(number++));
            deployment.start(vm, deployment.request("GET", "/read/1", id),
                             [](const HttpOutcome &) {});
        }
        deployment.runFor(milliseconds(20));
        return false;
    };
    deployment.eventually(send, milliseconds(1500));
    const auto before = server.arrivals().size();
    const auto otherBefore = deployment.server(3).arrivals().size();
    deployment.eventually(send, milliseconds(1500));
    CHECK(server.arrivals().size() == before);
    CHECK(deployment.server(3).arrivals().size() > otherBefore);
    deployment.runFor(milliseconds(500));
}

TEST_CASE("a key whose owner says that it is leaving is refused at once while the store is down")
{
    // One of the VMs allocates the owner's slots and does not learn that the owner is leaving.
    for (const auto vm : {std::size_t{0}, std::size_t{1}}) {
        auto deployment = GatewayDeployment(2);
        REQUIRE(deployment.serves(0, "/keyed/1"));
        REQUIRE(deployment.serves(1, "/keyed/1"));
        deployment.store().setFaults({.down = true});
        auto &owner = deployment.server(deployment.server(0).holds(40'000) ? 0 : 1);
        owner.options().leaving = true;
        const auto send = [&](const std::string &id) {
            return deployment.send(vm, deployment.request("GET", "/keyed/1", id));
        };
        CHECK(send("a").response.status == 200);
        const auto before = owner.arrivals().size();
        const auto outcome = send("b");
        CHECK(outcome.response.status == 503);
        CHECK(outcome.response.headers.find("retry-after"));
        CHECK(outcome.elapsed < milliseconds(500));
        CHECK(owner.arrivals().size() == before);
    }
}

TEST_CASE("a server that turns a request away for a time gets none from that VM until it is over")
{
    constexpr auto keyedServers = std::size_t{0};
    constexpr auto openServers = std::size_t{2};
    for (const auto first : {keyedServers, openServers}) {
        const auto *target = first == keyedServers ? "/keyed/1" : "/read/1";
        CAPTURE(target);
        auto deployment = GatewayDeployment(1);
        REQUIRE(deployment.serves(0, target));
        for (const auto index : {first, first + 1}) {
            deployment.server(index).options().sheds = true;
            deployment.server(index).options().retryAfter = "2.0";
        }
        const auto arrivals = [&] {
            return deployment.server(first).arrivals().size()
                + deployment.server(first + 1).arrivals().size();
        };
        auto number = 0;
        auto longest = Duration::zero();
        const auto send = [&] {
            auto request = deployment.request("GET", target, std::to_string(number++));
            const auto outcome = deployment.send(0, std::move(request));
            // The first rejection comes without an id on a kept connection, so it proves nothing.
            CHECK(outcome.response.status == (number == 1 ? 502 : 503));
            longest = std::max(longest, outcome.elapsed);
            return false;
        };
        deployment.eventually(send, milliseconds(500));
        const auto before = arrivals();
        CHECK(before >= 1);
        deployment.eventually(send, milliseconds(1200));
        CHECK(arrivals() - before <= 2);
        CHECK(longest < milliseconds(500)); // refused at once: another VM may send the request
        for (const auto index : {first, first + 1}) {
            deployment.server(index).options().sheds = false;
        }
        CHECK(deployment.serves(0, target));
    }
}
