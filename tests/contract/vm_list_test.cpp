#include "daemon/vm_list_poller.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto firstEntry =
    std::string(R"({"vm":"a","zone":"z","peer_address":"10.0.0.1:80","state":"running"})");
const auto lastEntry =
    std::string(R"({"vm":"c","zone":"z","peer_address":"10.0.0.3:80","state":"leaving"})");

// Returns a list whose second of three entries is @p entry.
auto listWith(const std::string &entry) -> Settled<VmList>
{
    const auto text = R"({"vms":[)" + firstEntry + "," + entry + "," + lastEntry + "]}";
    return settle([&] { return parseVmList(text); });
}

auto hasFirstAndLast(const Settled<VmList> &list) -> bool
{
    const auto first = VmListEntry{
        .vm = VmId("a"), .zone = AvailabilityZoneId("z"), .peerAddress = {"10.0.0.1", 80}};
    const auto last = VmListEntry{.vm = VmId("c"),
                                  .zone = AvailabilityZoneId("z"),
                                  .peerAddress = {"10.0.0.3", 80},
                                  .leaving = true};
    return list && list.value().entries.front() == first && list.value().entries.back() == last;
}

} // namespace

// Guards against a fleet whose VMs do not find each other.
TEST_CASE("an entry that names no VM hides no other VM, and the list proves no absence")
{
    for (const auto &entry : std::vector<std::string>{
             "null", "7", "[]", "{}", R"({"vm":7,"zone":"z","peer_address":"10.0.0.2:80"})",
             R"({"zone":"z","peer_address":"10.0.0.2:80","state":"running"})"}) {
        CAPTURE(entry);
        const auto list = listWith(entry);
        CHECK(hasFirstAndLast(list));
        CHECK((list && list.value().entries.size() == 2));
        CHECK((list && !list.value().complete));
    }
}

// Guards against the removal of a live VM as one that the platform has removed.
TEST_CASE("an entry that names its VM lists it, whatever else it says")
{
    for (const auto &entry : std::vector<std::string>{
             R"({"vm":"b"})", R"({"vm":"b","zone":7,"peer_address":"10.0.0.2:80"})",
             R"({"vm":"b","zone":"z","peer_address":"nowhere","state":"running"})",
             R"({"vm":"b","zone":"z","peer_address":null,"state":[]})"}) {
        CAPTURE(entry);
        const auto list = listWith(entry);
        CHECK(hasFirstAndLast(list));
        REQUIRE((list && list.value().entries.size() == 3));
        CHECK(list.value().entries.at(1).vm == VmId("b"));
        CHECK_FALSE(list.value().entries.at(1).leaving);
        CHECK(list.value().complete);
    }
}

TEST_CASE("an entry whose name is no UTF-8 hides no other VM")
{
    CHECK(hasFirstAndLast(listWith(
        "{\"vm\":\"\xff\",\"zone\":\"\x80\",\"peer_address\":\"x\",\"state\":\"running\"}")));
}

TEST_CASE("a text that is no list of VMs is an error")
{
    for (const auto &text : std::vector<std::string>{"", "{", "[]", "{}", R"({"vms":7})"}) {
        CAPTURE(text);
        CHECK_FALSE(static_cast<bool>(settle([&] { return parseVmList(text); })));
    }
}
