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

auto registryOf(int servers) -> ServerRegistry
{
    auto registry = ServerRegistry{};
    for (auto i = 0; i < servers; ++i) {
        auto entry = ServerEntry{.id = BackendServerId("lessons-" + std::to_string(i)),
                                 .startedUnixMs = 1,
                                 .service = lessons};
        entry.slots = 4;
        registry.announce(entry, start);
    }
    return registry;
}

using Transit = std::deque<std::pair<VmId, FleetMessage>>;

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
        caller.client.acquire({.id = {.vm = {}, .number = number},
                               .service = lessons,
                               .owner = BackendServerId(owner),
                               .arrivedAt = start,
                               .objectiveAt = start + milliseconds(300),
                               .deadline = start + milliseconds(2000)},
                              start);
        while (!transit.empty()) {
            const auto [to, message] = transit.front();
            transit.pop_front();
            (to == VmId("broker") ? broker : caller).client.onMessage(message, start);
        }
        CHECK(caller.decisions[number] == owner);
    }
}
