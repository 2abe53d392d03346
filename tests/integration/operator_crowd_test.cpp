#include "crowded_vm.h"

#include <doctest/doctest.h>

using namespace figlanding::testing;

namespace {

constexpr std::size_t bodyBytes = std::size_t{1024} * 1024;
constexpr std::size_t pieceBytes = std::size_t{64} * 1024;
constexpr std::size_t callers = 100; ///< their bodies exceed the memory of the process
constexpr std::size_t silentCallers = 160; ///< more than the process may have descriptors

// Sends bodies that stop one byte short.
auto sendBodies(CrowdedVm &vm, std::uint16_t port, const std::string &target)
    -> std::vector<std::unique_ptr<CrowdCaller>>
{
    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    const auto framing = "content-length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    for (std::size_t i = 0; i < callers; ++i) {
        crowd.push_back(std::make_unique<CrowdCaller>(port));
        crowd.back()->send(vm.header("POST", target) + framing);
    }
    sendInTurns(crowd, std::string(bodyBytes - 1, 'b'), pieceBytes);
    return crowd;
}

} // namespace

// Answers a crowd that a process does not survive: bodies at the port for operators.
TEST_CASE("a crowd of bodies at the admin port leaves the process within its limits")
{
    auto vm = CrowdedVm();
    REQUIRE(vm.answersAt(vm.adminPort(), "/metrics"));
    const auto crowd = sendBodies(vm, vm.adminPort(), "/metrics");
    CHECK(vm.answersAnOrdinaryCaller());
    CHECK(vm.answersAt(vm.adminPort(), "/metrics"));
    vm.checkLimits();
}

// Answers a crowd that a process does not survive: bodies at the port for load balancers.
TEST_CASE("a crowd of bodies at the readiness port leaves the process within its limits")
{
    auto vm = CrowdedVm();
    REQUIRE(vm.answersAt(vm.readinessPort(), "/api/readyz"));
    const auto crowd = sendBodies(vm, vm.readinessPort(), "/api/readyz");
    CHECK(vm.answersAnOrdinaryCaller());
    CHECK(vm.answersAt(vm.readinessPort(), "/api/readyz"));
    vm.checkLimits();
}

TEST_CASE("a crowd of silent connections at the admin and readiness ports leaves room for callers")
{
    auto vm = CrowdedVm();
    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    for (std::size_t i = 0; i < silentCallers; ++i) {
        crowd.push_back(std::make_unique<CrowdCaller>(vm.adminPort()));
        crowd.push_back(std::make_unique<CrowdCaller>(vm.readinessPort()));
    }
    CHECK(vm.answersAnOrdinaryCaller());
    CHECK(vm.answersAt(vm.readinessPort(), "/api/readyz"));
    vm.checkLimits();
}
