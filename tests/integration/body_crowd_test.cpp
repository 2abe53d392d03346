#include "crowded_vm.h"

#include <doctest/doctest.h>

using namespace figlanding::testing;

namespace {

constexpr std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t pieceBytes = std::size_t{64} * 1024;
constexpr std::size_t callersOfEachKind = 16;
constexpr std::size_t callersThatFinish = 2; ///< of each kind
constexpr std::size_t smallBodyBytes = 1000;
constexpr std::size_t callersWithSmallBody = 160; ///< more than the process may have descriptors

} // namespace

// Answers a crowd of uploads that ended a process: each has its length, most stop one byte short.
TEST_CASE("a crowd of large bodies with a length leaves the process within its limits")
{
    auto vm = CrowdedVm();
    const auto body = std::string(bodyBytes, 'b');
    REQUIRE(vm.send("POST", "/book/1", body).response.status == 200);

    auto whole = std::vector<std::unique_ptr<CrowdCaller>>{};
    auto inPieces = std::vector<std::unique_ptr<CrowdCaller>>{};
    const auto framing = "content-length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    for (std::size_t i = 0; i < callersOfEachKind; ++i) {
        whole.push_back(std::make_unique<CrowdCaller>(vm.port()));
        inPieces.push_back(std::make_unique<CrowdCaller>(vm.port()));
        const auto size = i < callersThatFinish ? bodyBytes : bodyBytes - 1;
        whole.back()->send(vm.header("POST", "/book/1") + framing + body.substr(0, size));
        inPieces.back()->send(vm.header("POST", "/book/1") + framing);
    }
    sendInTurns(inPieces, std::string_view(body).substr(1), pieceBytes);
    for (std::size_t i = 0; i < callersThatFinish; ++i) {
        inPieces.at(i)->send("b");
    }
    vm.awaitReading();
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}

TEST_CASE("a crowd of stalled small bodies leaves the process within its descriptors")
{
    auto vm = CrowdedVm();
    auto callers = std::vector<std::unique_ptr<CrowdCaller>>{};
    const auto framing = "content-length: " + std::to_string(smallBodyBytes) + "\r\n\r\n";
    for (std::size_t i = 0; i < callersWithSmallBody; ++i) {
        callers.push_back(std::make_unique<CrowdCaller>(vm.port()));
        callers.back()->send(vm.header("POST", "/book/1") + framing
                             + std::string(smallBodyBytes - 1, 'b'));
    }
    vm.checkLimits();
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}
