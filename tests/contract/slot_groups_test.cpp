#include "gateway/slot_client.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>
#include <utility>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto lessons = ServiceId("lessons");

auto registryOf(int servers, std::uint32_t slots = 4) -> ServerRegistry
{
    auto registry = ServerRegistry{};
    for (auto i = 0; i < servers; ++i) {
        auto entry = ServerEntry{.id = BackendServerId("lessons-" + std::to_string(i)),
                                 .startedUnixMs = 1,
                                 .service = lessons};
        entry.slots = slots;
        registry.announce(entry, start);
    }
    return registry;
}

using Transit = std::deque<std::pair<VmId, FleetMessage>>;

auto request(std::uint64_t number, const std::string &owner = "") -> SlotRequest
{
    return {.id = {.vm = {}, .number = number},
            .service = lessons,
            .owner = BackendServerId(owner),
            .arrivedAt = start,
            .objectiveAt = start + milliseconds(300),
            .deadline = start + milliseconds(2000)};
}

// A VM with servers in groups of two. The one named "broker" allocates all slots.
struct Vm
{
    Vm(Transit &transit, const VmId &self, const VmId &other)
        : view(self, self == VmId("broker") ? 1000.0 : 0.001, {})
        , client({.self = self, .process = self.value(), .groupSize = 2}, view,
                 {.send =
                      [&transit, self](const VmId &to, const FleetPayload &payload) {
                          transit.emplace_back(to,
                                               FleetMessage{.from = self,
                                                            .incarnation = self.value(),
                                                            .payload = payload});
                      },
                  .onDecision =
                      [this](std::uint64_t number, const auto &outcome) {
                          const auto *grant = std::get_if<SlotGrant>(&outcome);
                          decisions[number] =
                              grant == nullptr ? "refused" : grant->server.server.value();
                      },
                  .onConflict = [](const TicketConflict &) {}})
    {
        auto member = FleetMember{.vm = other};
        member.lastMessageAt = start;
        member.capacity = other == VmId("broker") ? 1000.0 : 0.001;
        view.recordMessage(member);
    }

    FleetView view;
    std::map<std::uint64_t, std::string> decisions;
    SlotClient client;
};

auto deliver(Transit &transit, Vm &broker, Vm &caller, TimePoint now) -> void
{
    while (!transit.empty()) {
        const auto [to, message] = transit.front();
        transit.pop_front();
        (to == VmId("broker") ? broker : caller).client.onMessage(message, now);
    }
}

} // namespace

TEST_CASE("a VM that started after servers had left grants slots of every server to earlier VMs")
{
    constexpr auto servers = 4;
    auto transit = Transit{};
    auto caller = Vm(transit, VmId("caller"), VmId("broker"));
    caller.client.setServers(registryOf(4 * servers), {});
    caller.client.setServers(registryOf(servers), {});
    auto broker = Vm(transit, VmId("broker"), VmId("caller"));
    broker.client.setServers(registryOf(servers), {});
    if (broker.client.raiseGroupCounts(caller.client.groupCounts())) {
        broker.client.setServers(registryOf(servers), {});
    }
    for (auto i = 0; i < servers; ++i) {
        const auto owner = "lessons-" + std::to_string(i);
        const auto number = static_cast<std::uint64_t>(i);
        caller.client.acquire(request(number, owner), start);
        deliver(transit, broker, caller, start);
        CHECK(caller.decisions[number] == owner);
    }
}

TEST_CASE("requests that wait in a full group move to one with room, and no slot is lost")
{
    constexpr auto servers = 4;
    auto transit = Transit{};
    auto broker = Vm(transit, VmId("broker"), VmId("caller"));
    auto caller = Vm(transit, VmId("caller"), VmId("broker"));
    broker.client.setServers(registryOf(servers, 1), {});
    caller.client.setServers(registryOf(servers, 1), {});
    broker.client.tick(start - seconds(2)); // responsible since then
    for (std::uint64_t number = 0; number < servers; ++number) {
        caller.client.acquire(request(number), start);
    }
    for (auto now = start; now < start + seconds(1); now += milliseconds(25)) {
        deliver(transit, broker, caller, now);
        caller.client.tick(now);
    }
    CHECK(caller.client.groupChoiceCounts().movedWaiting > 0);
    CHECK(broker.client.granted() == servers);
    for (std::uint64_t number = 0; number < servers; ++number) {
        CHECK(caller.decisions.contains(number));
        caller.client.release(number, {.end = SlotEnd::Served, .elapsed = milliseconds(100)},
                              start + seconds(1));
    }
    deliver(transit, broker, caller, start + seconds(1));
    CHECK(broker.client.granted() + broker.client.waiting() == 0);
}

TEST_CASE("a slot that is granted while its request moves to another group is free again")
{
    auto transit = Transit{};
    auto broker = Vm(transit, VmId("broker"), VmId("caller"));
    auto caller = Vm(transit, VmId("caller"), VmId("broker"));
    broker.client.setServers(registryOf(4, 1), {});
    caller.client.setServers(registryOf(4, 1), {});
    caller.client.acquire(request(1), start);
    const auto [to, acquire] = transit.front();
    transit.clear();
    const auto group = std::get<SlotAcquire>(acquire.payload).service;
    const auto other = ServiceId(group == ServiceId("lessons#0") ? "lessons#1" : "lessons#0");
    caller.client.onGroupRooms({{other, {.freeSlots = 8, .requestsPerSecond = 20.0}}}, start);
    const auto queued =
        SlotResponse{.ticket = std::get<SlotAcquire>(acquire.payload).ticket,
                     .room = GroupRoom{.freeSlots = 0, .waiting = 8, .requestsPerSecond = 20.0}};
    caller.client.onMessage({.from = VmId("broker"), .payload = queued}, start);
    CHECK(caller.client.groupChoiceCounts().movedWaiting == 1);
    // The broker had the first request all the while, and now learns of the move.
    transit.emplace_front(to, acquire);
    deliver(transit, broker, caller, start);
    CHECK(caller.decisions.contains(1));
    CHECK(broker.client.granted() == 1);
    caller.client.release(1, {.end = SlotEnd::Served}, start);
    deliver(transit, broker, caller, start);
    CHECK(broker.client.granted() == 0);
}

TEST_CASE("a VM that stands in for the one responsible for a group tells no room of it")
{
    auto transit = Transit{};
    auto broker = Vm(transit, VmId("broker"), VmId("caller"));
    auto caller = Vm(transit, VmId("caller"), VmId("broker"));
    broker.client.setServers(registryOf(4), {});
    caller.client.setServers(registryOf(4), {});
    caller.client.acquire(request(1), start);
    deliver(transit, broker, caller, start);
    CHECK(caller.decisions.contains(1));
    CHECK(caller.client.groupReports().empty());
}
