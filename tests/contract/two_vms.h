#pragma once

#include "gateway/slot_client.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>

/// @file
/// Two VMs that exchange slot messages, for tests of SlotClient.

namespace figlanding::twovms {

inline const auto start = TimePoint{} + seconds(100);
inline const auto lessons = ServiceId("lessons");
inline const auto archive = ServiceId("archive");
inline const auto brokerVm = VmId("broker");
inline const auto callerVm = VmId("caller");

inline auto registryOf(std::uint32_t lessonSlots) -> ServerRegistry
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

inline auto request(std::uint64_t number, const ServiceId &service, const char *owner = "")
    -> SlotRequest
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
        deliver(std::numeric_limits<std::size_t>::max());
    }
    // Delivers at most @p count messages and loses the others.
    auto deliver(std::size_t count) -> void
    {
        for (; !m_transit.empty() && count > 0; --count) {
            const auto [to, message] = m_transit.front();
            m_transit.pop_front();
            deliverTo(to, message);
        }
        m_transit.clear();
    }
    // Takes the messages in transit out of it.
    auto hold() -> std::deque<std::pair<VmId, FleetMessage>>
    {
        return std::exchange(m_transit, {});
    }
    auto resume(const std::deque<std::pair<VmId, FleetMessage>> &held,
                std::size_t count = std::numeric_limits<std::size_t>::max()) -> void
    {
        m_transit.insert(m_transit.end(), held.begin(), held.end());
        deliver(count);
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

} // namespace figlanding::twovms
