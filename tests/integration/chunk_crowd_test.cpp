#include "crowded_vm.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace figlanding::testing;

namespace {

constexpr std::size_t bodyBytes = std::size_t{5} * 1024 * 1024;
constexpr std::size_t callersOfEachKind = 24;
constexpr std::size_t callersThatFinish = 2; ///< of each kind
constexpr std::size_t pieceBytes = std::size_t{64} * 1024;

/// Returns a chunked body without its last chunk.
auto chunks(std::size_t chunkBytes) -> std::string
{
    auto text = std::ostringstream{};
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
        const auto size = std::min(chunkBytes, bodyBytes - sent);
        text << std::hex << size << "\r\n" << std::string(size, 'c') << "\r\n";
    }
    return text.str();
}

auto playCrowd(CrowdedVm &vm, std::size_t chunkBytes) -> std::vector<std::unique_ptr<CrowdCaller>>
{
    auto crowd = std::vector<std::unique_ptr<CrowdCaller>>{};
    for (std::size_t i = 0; i < callersOfEachKind; ++i) {
        crowd.push_back(std::make_unique<CrowdCaller>(vm.port()));
        crowd.back()->send(vm.header("POST", "/book/1") + "transfer-encoding: chunked\r\n\r\n");
    }
    sendInTurns(crowd, chunks(chunkBytes), pieceBytes);
    for (std::size_t i = 0; i < callersThatFinish; ++i) {
        crowd.at(i)->send("0\r\n\r\n");
    }
    vm.awaitReading();
    return crowd;
}

} // namespace

// Answers a crowd of chunked uploads that ended a process: most stop before their last chunk.
TEST_CASE("a crowd of bodies in large chunks leaves the process within its limits")
{
    auto vm = CrowdedVm();
    const auto crowd = playCrowd(vm, std::size_t{1024} * 1024);
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}

TEST_CASE("a crowd of bodies in very small chunks leaves the process within its limits")
{
    auto vm = CrowdedVm();
    const auto crowd = playCrowd(vm, 16);
    CHECK(vm.answersAnOrdinaryCaller());
    vm.checkLimits();
}
