#include "crowded_vm.h"

#include <doctest/doctest.h>

using namespace figlanding::testing;

namespace {

constexpr std::size_t callers = 140;
constexpr int receiveBufferBytes = 4096;
constexpr std::size_t pieceBytes = 64;
constexpr std::size_t rounds = 50;
constexpr figlanding::milliseconds pause{400};

// Lets a crowd ask for long responses and read them a few bytes at a time.
auto readSlowly(CrowdedVm &vm, const std::string &target) -> void
{
    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    for (std::size_t i = 0; i < callers; ++i) {
        crowd.push_back(std::make_unique<CrowdCaller>(vm.port(), receiveBufferBytes));
        crowd.back()->send(vm.header("GET", target) + "\r\n");
    }
    readInTurns(crowd, pieceBytes, rounds, pause);
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}

} // namespace

// Answers a crowd that a process does not survive: each reads, but too slowly ever to end.
TEST_CASE("a crowd that reads a few bytes at a time leaves the process within its limits")
{
    auto vm = CrowdedVm({.memoryMb = 80, .descriptors = 256, .serverSlots = 64});
    REQUIRE(vm.send("GET", "/read/large").response.body.size() == CrowdedVm::largeResponseBytes);
    readSlowly(vm, "/read/large");
}

TEST_CASE("a crowd that reads slowly what ends with its connection stays within the limits")
{
    auto vm = CrowdedVm({.memoryMb = 80, .descriptors = 256, .serverSlots = 64});
    REQUIRE(vm.send("GET", "/read/unframed").response.status == 200);
    readSlowly(vm, "/read/large/unframed");
}
