#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_view.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/slot_broker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// @file
/// Gets slots for this VM's requests, from the VM that hands out a group's slots, and hands out
/// the slots of the groups that this VM is responsible for.

namespace figlanding {

/// Settings of SlotClient.
struct SlotClientOptions
{
    VmId self;
    AvailabilityZoneId zone;
    SlotBrokerOptions broker;
    std::uint64_t randomSeed = 0;
    std::size_t groupSize = 24; ///< servers whose slots one VM hands out
    milliseconds repeatAfter{120}; ///< an ask without an answer is sent again
    milliseconds giveUpAfter{250}; ///< without any answer another VM is asked
    milliseconds muteFor{1500}; ///< a VM that gave no answer is not asked for this long
};

/// Effects of SlotClient.
struct SlotClientHandlers
{
    std::function<void(const VmId &, const FleetPayload &)> send;
    std::function<void(std::uint64_t ticket, const std::variant<SlotGrant, SlotRefusal> &)> decided;
};

/// Asks for slots and answers the asks of others.
class SlotClient
{
public:
    SlotClient(SlotClientOptions options, const FleetView &view, SlotClientHandlers handlers);

    /// Takes the present servers of all services.
    /// @param coldRates requests per second that a cold server of each service bears
    auto setServers(const ServerRegistry &registry, const std::map<ServiceId, double> &coldRates)
        -> void;
    /// Asks for a slot; the decision comes later, or before this returns.
    /// @param request its id's number names the ticket
    auto ask(SlotRequest request, TimePoint now) -> void;
    /// Ends a ticket, with or without a slot.
    auto finish(std::uint64_t ticket, const SlotResult &result, TimePoint now) -> void;
    /// Takes a message of another VM.
    auto onMessage(const VmId &from, const FleetPayload &payload, TimePoint now) -> void;
    /// Repeats what was not answered and lets the broker decide what has come due.
    auto tick(TimePoint now) -> void;
    [[nodiscard]] auto waiting() const -> std::size_t
    {
        return m_broker.waiting();
    }
    [[nodiscard]] auto granted() const -> std::size_t
    {
        return m_broker.running();
    }
    /// Returns the service times that this VM's broker knows.
    [[nodiscard]] auto serviceTimes() const -> std::map<BackendServerId, milliseconds>
    {
        return m_broker.serviceTimes();
    }

private:
    // A ticket of this VM.
    struct Ticket
    {
        SlotRequest request; ///< with the group in place of the service
        VmId home;
        bool granted = false;
        bool alone = false; ///< this VM decided without the home
        std::uint32_t homesAsked = 1;
        TimePoint heardAt; ///< last answer of the home, or when it was first asked
        TimePoint sentAt;
    };

    [[nodiscard]] auto groupOf(const ServiceId &service, const BackendServerId &server) const
        -> ServiceId;
    [[nodiscard]] auto pickGroup(const SlotRequest &request) -> ServiceId;
    auto sendAsk(std::uint64_t number, Ticket &ticket, TimePoint now) -> void;
    [[nodiscard]] auto homeOf(const ServiceId &group, TimePoint now) -> VmId;
    auto decideAlone(std::uint64_t number, Ticket &ticket, TimePoint now) -> void;
    auto deliver(SlotBroker &broker) -> void;
    auto settleTicket(std::uint64_t number, const std::variant<SlotGrant, SlotRefusal> &outcome)
        -> void;
    auto onAsk(const VmId &from, const SlotAcquire &ask, TimePoint now) -> void;
    auto onAnswer(const VmId &from, const SlotResponse &answer, TimePoint now) -> void;

    SlotClientOptions m_options;
    const FleetView &m_view;
    SlotClientHandlers m_handlers;
    SlotBroker m_broker;
    SlotBroker m_alone; ///< one slot a server, for when a group's home does not answer
    RandomEngine m_random;
    std::map<ServiceId, std::size_t> m_groupCounts;
    std::map<VmId, TimePoint> m_mutedUntil; ///< VMs that did not answer, perhaps one way only
    std::map<std::uint64_t, Ticket> m_tickets;
};

} // namespace figlanding
