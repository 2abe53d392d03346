#include "gateway/slot_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto lessons = ServiceId("lessons");

auto registryWithOneSlot() -> ServerRegistry
{
    auto registry = ServerRegistry{};
    auto entry =
        ServerEntry{.id = BackendServerId("lessons-1"), .startedUnixMs = 1, .service = lessons};
    entry.slots = 1;
    registry.announce(entry, start);
    return registry;
}

auto request(std::uint64_t number) -> SlotRequest
{
    return {.id = {.vm = {}, .number = number},
            .service = lessons,
            .owner = BackendServerId("lessons-1"),
            .arrivedAt = start,
            .objectiveAt = start + milliseconds(300),
            .deadline = start + milliseconds(2000)};
}

// A VM whose messages to other VMs are recorded.
class OneVm
{
public:
    OneVm()
    {
        client.setServers(registryWithOneSlot(), {});
    }

    // Lets another VM join, which is responsible for all groups if its capacity is the largest.
    auto join(const char *vm, double capacity) -> void
    {
        auto member = FleetMember{.vm = VmId(vm)};
        member.lastMessageAt = start;
        member.capacity = capacity;
        m_view.recordMessage(member);
    }
    auto respond(const char *vm, const SlotResponse &response, TimePoint now) -> void
    {
        client.onMessage({.from = VmId(vm), .incarnation = vm, .payload = response}, now);
    }
    // Returns the tickets that a VM was asked for, or the released ones.
    template <typename Message>
    [[nodiscard]] auto sentTo(const char *vm) const -> std::vector<std::uint64_t>
    {
        auto tickets = std::vector<std::uint64_t>{};
        for (const auto &[to, payload] : m_sent) {
            const auto *message = std::get_if<Message>(&payload);
            if (to == VmId(vm) && message != nullptr) {
                tickets.push_back(message->ticket);
            }
        }
        return tickets;
    }

    std::map<std::uint64_t, std::string> decisions;

private:
    FleetView m_view{VmId("self"), 1.0, {.messageTimeout = seconds(10)}};
    std::vector<std::pair<VmId, FleetPayload>> m_sent;

public:
    SlotClient client{
        {.self = VmId("self"), .process = "p"},
        m_view,
        {.send = [this](const VmId &to,
                        const FleetPayload &payload) { m_sent.emplace_back(to, payload); },
         .onDecision =
             [this](std::uint64_t number, const auto &outcome) {
                 const auto *grant = std::get_if<SlotGrant>(&outcome);
                 decisions[number] = grant == nullptr ? "refused" : grant->server.server.value();
             },
         .onConflict = [](const TicketConflict &) {}}};
};

auto grantOf(std::uint64_t ticket) -> SlotResponse
{
    auto response = SlotResponse{.ticket = ticket, .process = "p"};
    response.state = SlotState::Granted;
    response.server = {.server = BackendServerId("lessons-1"), .startedUnixMs = 1};
    return response;
}

} // namespace

TEST_CASE("a request that moves to another VM does not keep its place in this VM's own queue")
{
    auto vm = OneVm();
    vm.client.acquire(request(1), start);
    vm.client.acquire(request(2), start);
    REQUIRE(vm.decisions[1] == "lessons-1");
    REQUIRE(vm.client.waiting() == 1);
    vm.join("other", 1e6);
    vm.client.tick(start + milliseconds(130));
    REQUIRE(vm.sentTo<SlotAcquire>("other").size() == 1);
    CHECK(vm.client.waiting() == 0);
    vm.client.release(1, {.end = SlotEnd::Served}, start + milliseconds(140));
    CHECK(vm.client.granted() == 0);
    vm.respond("other", grantOf(vm.sentTo<SlotAcquire>("other").front()),
               start + milliseconds(150));
    CHECK(vm.decisions[2] == "lessons-1");
    vm.client.release(2, {.end = SlotEnd::Served}, start + milliseconds(160));
    CHECK(vm.client.granted() == 0);
    CHECK(vm.sentTo<SlotRelease>("other") == vm.sentTo<SlotAcquire>("other"));
}

TEST_CASE("a request that is granted a slot of this VM does not also move to another VM")
{
    auto vm = OneVm();
    auto expiring = request(1);
    expiring.deadline = start + milliseconds(100);
    vm.client.acquire(expiring, start);
    vm.client.acquire(request(2), start);
    vm.client.acquire(request(3), start);
    REQUIRE(vm.client.waiting() == 2);
    vm.join("other", 1e6);
    // The slot of request 1 is reclaimed in the tick in which the others move.
    vm.client.tick(start + milliseconds(610));
    CHECK(vm.decisions[2] == "lessons-1");
    CHECK(vm.sentTo<SlotAcquire>("other").size() == 1);
    CHECK(vm.client.waiting() == 0);
    CHECK(vm.client.granted() == 1);
}

TEST_CASE("a slot granted after the request was decided without its VM is released there")
{
    auto vm = OneVm();
    vm.join("first", 1e9);
    vm.join("second", 1e6);
    vm.client.acquire(request(1), start);
    for (auto at = milliseconds(0); at < milliseconds(900); at += milliseconds(25)) {
        vm.client.tick(start + at);
    }
    REQUIRE(vm.decisions[1] == "lessons-1");
    const auto asked = vm.sentTo<SlotAcquire>("second");
    REQUIRE(!asked.empty());
    const auto released = vm.sentTo<SlotRelease>("second").size();
    vm.respond("second", grantOf(asked.front()), start + milliseconds(900));
    CHECK(vm.sentTo<SlotRelease>("second").size() == released + 1);
}
