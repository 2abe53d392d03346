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
/// The VMs that one VM hears, and which of them is responsible for what.

namespace figlanding {

/// A VM as another VM knows it.
struct FleetMember
{
    VmId vm;
    std::string incarnation; ///< random value that its process chose at its start
    SocketAddress address; ///< for messages between VMs
    TimePoint heardAt; ///< time of its last message; the epoch if it was never heard
    bool leaving = false;
    double capacity = 1.0; ///< share of a core; larger VMs take more duties

    auto operator==(const FleetMember &) const -> bool = default;
};

/// Settings of FleetView.
struct FleetViewOptions
{
    milliseconds silence{1100}; ///< a VM that was not heard for this long is not alive

    auto operator==(const FleetViewOptions &) const -> bool = default;
};

/// Knows members from the store and from their messages.
class FleetView
{
public:
    /// @param capacity share of a core that this VM has
    FleetView(VmId self, double capacity, const FleetViewOptions &options);

    /// Learns a member's address from the store.
    auto learn(const VmId &vm, const std::string &incarnation, const SocketAddress &address)
        -> void;
    /// Notes a message of a member.
    auto hear(const FleetMember &member) -> void;
    /// Returns the members other than this VM.
    [[nodiscard]] auto members() const -> const std::map<VmId, FleetMember> &
    {
        return m_members;
    }
    [[nodiscard]] auto find(const VmId &vm) const -> const FleetMember *;
    [[nodiscard]] auto isAlive(const FleetMember &member, TimePoint now) const -> bool;
    /// Returns the number of VMs alive, with this one.
    [[nodiscard]] auto aliveCount(TimePoint now) const -> std::size_t;
    /// Returns the VM responsible for @p subject: the one with the highest hash of both names
    /// (rendezvous hashing, weighted by capacity) among the VMs that are alive and stay.
    /// @param excluded VMs that are not considered
    [[nodiscard]] auto home(std::string_view subject, TimePoint now,
                            const std::set<VmId> &excluded = {}) const -> VmId;
    /// Returns how many living VMs stand before this one for a duty that one VM at a time does.
    [[nodiscard]] auto rankOf(std::string_view subject, TimePoint now) const -> std::size_t;
    /// Sets the time after which a VM that was not heard is not alive.
    auto setSilence(milliseconds silence) -> void
    {
        m_options.silence = silence;
    }
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
