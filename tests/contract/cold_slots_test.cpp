#include "gateway/slot_client.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto lessons = ServiceId("lessons");
constexpr auto messageTimeout = seconds(1);
constexpr auto tickInterval = milliseconds(25);

// A VM that other VMs ask for slots, beside one of large capacity that is responsible for all
// groups while it is alive.
class AskedVm
{
public:
    explicit AskedVm(milliseconds coldRemaining)
    {
        auto registry = ServerRegistry{};
        registry.announce({.id = BackendServerId("lessons-1"),
                           .startedUnixMs = 1,
                           .service = lessons,
                           .slots = 2,
                           .coldRemaining = coldRemaining},
                          start);
        m_client.setServers(registry, {{lessons, 6.0}});
    }
    auto hearResponsibleVm() -> void
    {
        m_view.recordMessage({.vm = VmId("large"), .lastMessageAt = m_now, .capacity = 1000.0});
    }
    auto run(Duration span) -> void
    {
        for (const auto end = m_now + span; m_now < end; m_now += tickInterval) {
            m_client.tick(m_now);
        }
    }
    // Returns whether another VM that asks for a slot is granted one.
    auto grants() -> bool
    {
        m_granted = false;
        m_client.onMessage({.from = VmId("asking"),
                            .incarnation = "p",
                            .payload = SlotAcquire{.ticket = ++m_tickets,
                                                   .service = ServiceId("lessons#0"),
                                                   .objectiveIn = milliseconds(300),
                                                   .deadlineIn = milliseconds(500)}},
                           m_now);
        m_client.onMessage({.from = VmId("asking"),
                            .incarnation = "p",
                            .payload = SlotRelease{.ticket = m_tickets}},
                           m_now);
        return m_granted;
    }

private:
    auto onSent(const FleetPayload &payload) -> void
    {
        const auto *response = std::get_if<SlotResponse>(&payload);
        m_granted = m_granted || (response != nullptr && response->state == SlotState::Granted);
    }

    TimePoint m_now = start;
    std::uint64_t m_tickets = 0;
    bool m_granted = false;
    FleetView m_view{VmId("self"), 1.0, {.messageTimeout = messageTimeout}};
    SlotClient m_client{
        {.self = VmId("self"), .process = "p"},
        m_view,
        {.send = [this](const VmId &, const FleetPayload &payload) { onSent(payload); },
         .onDecision = [](std::uint64_t, const auto &) {},
         .onConflict = [](const TicketConflict &) {}}};
};

} // namespace

TEST_CASE("a VM grants slots of cold servers only while no other one is responsible for them")
{
    auto vm = AskedVm(seconds(60));
    vm.hearResponsibleVm();
    vm.run(milliseconds(500));
    CHECK_FALSE(vm.grants());
    // The responsible VM is lost; its last grants are not over yet.
    vm.run(messageTimeout);
    CHECK_FALSE(vm.grants());
    vm.run(seconds(2));
    CHECK(vm.grants());
    vm.hearResponsibleVm();
    vm.run(tickInterval);
    CHECK_FALSE(vm.grants());
}

TEST_CASE("a VM that has just started grants no slots of cold servers until it knows the others")
{
    auto vm = AskedVm(seconds(60));
    vm.run(milliseconds(1900));
    CHECK_FALSE(vm.grants());
    vm.run(milliseconds(200));
    CHECK(vm.grants());
}

TEST_CASE("a VM that is not responsible grants slots of warm servers to those that ask it")
{
    auto vm = AskedVm(milliseconds(0));
    vm.hearResponsibleVm();
    vm.run(milliseconds(500));
    CHECK(vm.grants());
}
