#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"
#include "figlanding/objects.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Membership of the VMs as seen by one VM, and the choice of the VM responsible for a subject.

namespace figlanding {

/// A VM as seen by another VM.
struct FleetMember
{
    VmId vm;
    std::string incarnation; ///< random value chosen by its process at startup
    SocketAddress address; ///< for messages between VMs
    TimePoint lastMessageAt; ///< time of its last message; the epoch if none was received
    bool leaving = false; ///< it is shutting down and is responsible for nothing
    double capacity = 1.0; ///< CPU capacity in cores; larger VMs are responsible for more

    auto operator==(const FleetMember &) const -> bool = default;
};

/// Settings of FleetView.
struct FleetViewOptions
{
    milliseconds messageTimeout{1100}; ///< a VM without messages for this long is considered dead

    auto operator==(const FleetViewOptions &) const -> bool = default;
};

/// Tracks members from the store's records and from their messages.
class FleetView
{
public:
    /// @param capacity CPU capacity of this VM, in cores
    FleetView(VmId self, double capacity, const FleetViewOptions &options);

    /// Sets a member's address, as read from the store. The incarnation is set only if it is not
    /// yet known.
    auto setAddress(const VmId &vm, const std::string &incarnation, const SocketAddress &address)
        -> void;
    /// Records that a message of a member was received.
    auto recordMessage(const FleetMember &member) -> void;
    /// Returns all known members except this VM.
    [[nodiscard]] auto members() const -> const std::map<VmId, FleetMember> &
    {
        return m_members;
    }
    /// Returns a member, or null if it is not known.
    [[nodiscard]] auto find(const VmId &vm) const -> const FleetMember *;
    /// Returns whether a message of the member was received within the message timeout.
    [[nodiscard]] auto isAlive(const FleetMember &member, TimePoint now) const -> bool;
    /// Returns the number of live VMs, including this one.
    [[nodiscard]] auto aliveCount(TimePoint now) const -> std::size_t;
    /// Returns the VM responsible for @p subject: the one with the highest weighted hash of both
    /// names (rendezvous hashing, weighted by capacity) among the VMs that are alive and not
    /// leaving.
    /// @param excluded other VMs that are not considered
    [[nodiscard]] auto responsibleVm(std::string_view subject, TimePoint now,
                                     const std::set<VmId> &excluded = {}) const -> VmId;
    /// Returns whether this VM is responsible for @p subject, as responsibleVm() with no VM
    /// excluded.
    [[nodiscard]] auto isResponsible(std::string_view subject, TimePoint now) const -> bool;
    /// Returns the number of live VMs that precede this one in the rendezvous order of @p subject:
    /// zero for the responsible VM.
    [[nodiscard]] auto rankOf(std::string_view subject, TimePoint now) const -> std::size_t;
    /// Sets the time without messages after which a VM is considered dead.
    auto setMessageTimeout(milliseconds messageTimeout) -> void
    {
        m_options.messageTimeout = messageTimeout;
    }
    /// Marks this VM as leaving: it is responsible for nothing while another VM is available.
    auto setLeaving() -> void
    {
        m_leaving = true;
    }

private:
    VmId m_self;
    double m_capacity;
    FleetViewOptions m_options;
    bool m_leaving = false;
    std::map<VmId, FleetMember> m_members;
};

} // namespace figlanding
