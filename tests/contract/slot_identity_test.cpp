#include "gateway/slot_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
const auto lessons = ServiceId("lessons");
const auto archive = ServiceId("archive");
const auto brokerVm = VmId("broker");
const auto callerVm = VmId("caller");

auto registryOf(std::uint32_t lessonSlots) -> ServerRegistry
{
    auto registry = ServerRegistry{};
    const auto add = [&](const char *id, const ServiceId &service, std::uint32_t slots) {
        auto entry = ServerEntry{.id = BackendServerId(id), .startedUnixMs = 1, .service = service};
        entry.slots = slots;
        registry.announce(entry, start);
    };
    add("lessons-1", lessons, lessonSlots);
    add("lessons-2", lessons, lessonSlots);
    add("archive-1", archive, 4);
    return registry;
}

auto request(std::uint64_t number, const ServiceId &service, const char *owner = "") -> SlotRequest
{
    return {.id = {.vm = {}, .number = number},
            .service = service,
            .owner = BackendServerId(owner),
            .arrivedAt = start,
            .objectiveAt = start + milliseconds(300),
            .deadline = start + milliseconds(2000)};
}

// Two VMs, of which "broker" allocates all slots. Messages are delivered on demand.
class TwoVms
{
public:
    explicit TwoVms(std::uint32_t lessonSlots)
        : m_registry(registryOf(lessonSlots))
        , m_broker(*this, brokerVm, "b1", callerVm)
        , m_caller(std::make_unique<Process>(*this, callerVm, "c1", brokerVm))
    { }

    auto broker() -> SlotClient &
    {
        return m_broker.client;
    }
    auto caller() -> SlotClient &
    {
        return m_caller->client;
    }
    // Kills the process of the caller and starts the next one. Messages stay in transit.
    auto restartCaller(const std::string &process) -> void
    {
        m_caller = std::make_unique<Process>(*this, callerVm, process, brokerVm);
    }
    auto deliver() -> void
    {
        while (!m_transit.empty()) {
            const auto [to, message] = m_transit.front();
            m_transit.pop_front();
            deliverTo(to, message);
        }
    }
    // Takes the messages in transit out of it.
    auto hold() -> std::deque<std::pair<VmId, FleetMessage>>
    {
        return std::exchange(m_transit, {});
    }
    auto resume(const std::deque<std::pair<VmId, FleetMessage>> &held) -> void
    {
        m_transit.insert(m_transit.end(), held.begin(), held.end());
        deliver();
    }
    // Returns the server granted to a request of the caller's present process, "refused" or
    // "undecided".
    auto decision(std::uint64_t number) -> std::string
    {
        const auto found = m_caller->decisions.find(number);
        return found == m_caller->decisions.end() ? "undecided" : found->second;
    }

private:
    struct Process
    {
        Process(TwoVms &vms, const VmId &self, const std::string &process, const VmId &other)
            : view(self, self == brokerVm ? 1000.0 : 0.001, {})
            , client({.self = self, .process = process}, view,
                     {.send =
                          [&vms, self, process](const VmId &to, const FleetPayload &payload) {
                              vms.m_transit.emplace_back(to,
                                                         FleetMessage{.from = self,
                                                                      .incarnation = process,
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
            view.recordMessage({.vm = other,
                                .lastMessageAt = start,
                                .capacity = other == brokerVm ? 1000.0 : 0.001});
            client.setServers(vms.m_registry, {});
        }

        FleetView view;
        std::map<std::uint64_t, std::string> decisions;
        SlotClient client;
    };

    auto deliverTo(const VmId &to, const FleetMessage &message) -> void
    {
        auto &receiver = to == brokerVm ? m_broker : *m_caller;
        receiver.client.onMessage(message, start);
    }

    ServerRegistry m_registry;
    std::deque<std::pair<VmId, FleetMessage>> m_transit;
    Process m_broker;
    std::unique_ptr<Process> m_caller;
};

} // namespace

TEST_CASE("a VM that starts anew is not given the slot of its earlier process")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "lessons-1");
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    vms.deliver();
    CHECK(vms.decision(1) == "archive-1");
    CHECK(vms.broker().granted() == 2);
}

TEST_CASE("a slot response to an earlier process decides nothing in the next one")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    const auto acquire = vms.hold();
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    const auto next = vms.hold();
    vms.resume(acquire);
    CHECK(vms.decision(1) == "undecided");
    vms.resume(next);
    CHECK(vms.decision(1) == "archive-1");
}

TEST_CASE("a release of an earlier process does not end a slot of the next one")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    vms.caller().release(1, {.end = SlotEnd::Served}, start);
    const auto late = vms.hold();
    vms.resume(late);
    REQUIRE(vms.broker().granted() == 0);
    vms.restartCaller("c2");
    vms.caller().acquire(request(1, archive), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "archive-1");
    vms.resume(late);
    CHECK(vms.broker().granted() == 1);
}

TEST_CASE("queued requests of an earlier process get no slot once the next one is seen")
{
    auto vms = TwoVms(1);
    vms.broker().acquire(request(1, lessons, "lessons-1"), start);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.broker().waiting() == 1);
    vms.restartCaller("c2");
    vms.caller().acquire(request(9, archive), start);
    vms.deliver();
    CHECK(vms.broker().waiting() == 0);
    CHECK(vms.decision(9) == "archive-1");
    vms.broker().release(1, {.end = SlotEnd::Served}, start);
    vms.deliver();
    CHECK(vms.broker().granted() == 1);
    CHECK(vms.decision(1) == "undecided");
}

TEST_CASE("a late release of an attempt does not end the slot of the request's next attempt")
{
    auto vms = TwoVms(4);
    vms.caller().acquire(request(1, lessons, "lessons-1"), start);
    vms.deliver();
    REQUIRE(vms.decision(1) == "lessons-1");
    vms.caller().release(1, {.end = SlotEnd::Declined}, start);
    const auto late = vms.hold();
    vms.caller().acquire(request(1, lessons, "lessons-2"), start);
    vms.deliver();
    CHECK(vms.decision(1) == "lessons-2");
    vms.resume(late);
    CHECK(vms.broker().granted() == 1);
}
