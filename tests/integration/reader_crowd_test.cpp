#include "crowded_vm.h"

#include <doctest/doctest.h>

using namespace figlanding::testing;

namespace {

constexpr std::size_t callers = 32;
constexpr int receiveBufferBytes = 4096;

} // namespace

// Answers a crowd that ended a process: each asks for a long response and does not read it.
TEST_CASE("a crowd of callers that do not read leaves the process within its limits")
{
    auto vm = CrowdedVm();
    const auto inCalm = vm.send("GET", "/read/large");
    REQUIRE(inCalm.response.body.size() == CrowdedVm::largeResponseBytes);

    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    for (std::size_t i = 0; i < callers; ++i) {
        crowd.push_back(std::make_unique<CrowdCaller>(vm.port(), receiveBufferBytes));
        crowd.back()->send(vm.header("GET", "/read/large") + "\r\n");
    }
    // The requests of the crowd came first, so the server has answered most of them by then.
    CHECK(vm.answersAnOrdinaryCaller());
    CHECK(vm.send("GET", "/read/large").verdict != figlanding::Verdict::NotRun);
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}
