#include "crowded_vm.h"

#include <doctest/doctest.h>

#include <thread>

using namespace figlanding::testing;

namespace {

constexpr auto limits = CrowdedVmLimits{.memoryMb = 120, .descriptors = 256, .serverSlots = 64};
constexpr std::size_t callers = 150;
constexpr int receiveBufferBytes = 4096;
constexpr std::size_t pieceBytes = 64;
constexpr std::size_t rounds = 100;
constexpr figlanding::milliseconds pause{400};

auto askFor(CrowdedVm &vm, const std::string &target) -> std::unique_ptr<CrowdCaller>
{
    auto caller = std::make_unique<CrowdCaller>(vm.port(), receiveBufferBytes);
    caller->send(vm.header("GET", target) + "\r\n");
    return caller;
}

// Lets a crowd ask for long responses and read them a few bytes at a time. Who is turned away comes
// back.
auto readSlowly(CrowdedVm &vm, const std::string &target) -> void
{
    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    for (std::size_t i = 0; i < callers; ++i) {
        crowd.push_back(askFor(vm, target));
    }
    for (std::size_t round = 0; round < rounds; ++round) {
        for (auto &caller : crowd) {
            if (!caller->read(pieceBytes)) {
                caller = askFor(vm, target);
            }
        }
        std::this_thread::sleep_for(pause);
    }
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}

} // namespace

// Answers a crowd that a process did not survive: each reads, but too slowly ever to end.
TEST_CASE("a crowd that reads a few bytes at a time leaves the process within its limits")
{
    auto vm = CrowdedVm(limits);
    REQUIRE(vm.send("GET", "/read/large").response.body.size() == CrowdedVm::largeResponseBytes);
    readSlowly(vm, "/read/large");
}

TEST_CASE("a crowd that reads slowly what ends with its connection stays within the limits")
{
    auto vm = CrowdedVm(limits);
    REQUIRE(vm.send("GET", "/read/unframed").response.status == 200);
    readSlowly(vm, "/read/large/unframed");
}
