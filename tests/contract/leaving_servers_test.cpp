#include "gateway_deployment.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

constexpr auto vms = std::size_t{2};
constexpr auto leavingServer = std::size_t{2}; ///< "ledger-1"

// Sends requests to a VM, several at a time so that both servers get some.
auto sendReads(GatewayDeployment &deployment, std::size_t vm, const std::string &name) -> void
{
    constexpr auto requests = 8;
    for (auto i = 0; i < requests; ++i) {
        deployment.start(vm, deployment.request("GET", "/read/1", name + std::to_string(i)),
                         [](const HttpOutcome &) {});
    }
    deployment.runFor(milliseconds(300));
}

} // namespace

// Guards against a server that drains unseen by all VMs but the one that reads the store.
TEST_CASE("every VM learns that a server drains, also if the server told one of them before")
{
    for (auto told = std::size_t{0}; told < vms; ++told) {
        CAPTURE(told);
        // With these names, one VM reads the servers' topic and the other allocates their slots;
        // otherwise the one that knows would keep requests away from the server.
        auto deployment = GatewayDeployment(vms, milliseconds(6000), "entry-");
        for (std::size_t vm = 0; vm < vms; ++vm) {
            REQUIRE(deployment.serves(vm, "/read/1"));
        }
        auto &server = deployment.server(leavingServer);
        server.options().leaving = true;
        sendReads(deployment, told, "told");
        const auto before = server.arrivals().size();
        sendReads(deployment, told, "after");
        REQUIRE(server.arrivals().size() == before); // the VM has been told
        deployment.drain(leavingServer);
        deployment.runFor(milliseconds(1500)); // less than the time in which all VMs have to know
        const auto drained = server.arrivals().size();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            sendReads(deployment, vm, std::string("late").append(std::to_string(vm)));
        }
        CHECK(server.arrivals().size() == drained);
    }
}
