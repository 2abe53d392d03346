#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/names.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// @file
/// Repeats releases of slots until the responsible VM confirms them.
///
/// A datagram is lost when a link is full. A release that is lost keeps one of the few slots of a
/// server unused until the broker reclaims it, long after the request has ended.

namespace figlanding {

/// Settings of UnconfirmedReleases.
struct UnconfirmedReleasesOptions
{
    milliseconds firstRepeatAfter{60}; ///< doubled with each further repetition
    /// Bounds the messages to a VM that has stopped, or that is of an earlier release and confirms
    /// nothing.
    std::uint32_t maxRepeats = 5;

    auto operator==(const UnconfirmedReleasesOptions &) const -> bool = default;
};

/// A release and the VM that it is for.
struct AddressedRelease
{
    VmId to;
    SlotRelease release;
    ServiceId group; ///< in which the ticket asked for any server; empty if for a key's owner

    auto operator==(const AddressedRelease &) const -> bool = default;
};

/// The releases of one VM that are not confirmed.
class UnconfirmedReleases
{
public:
    explicit UnconfirmedReleases(const UnconfirmedReleasesOptions &options);

    /// Adds a release that was sent at @p now.
    auto add(const AddressedRelease &sent, TimePoint now) -> void;
    /// Removes a release that @p from has received.
    /// @return its group; empty if it has none or was removed before
    auto confirm(const VmId &from, std::uint64_t ticket) -> ServiceId;
    /// Returns the releases that are to be sent again at @p now.
    [[nodiscard]] auto takeDue(TimePoint now) -> std::vector<AddressedRelease>;
    /// Returns the number of unconfirmed releases.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_releases.size();
    }

private:
    struct Entry
    {
        SlotRelease release;
        ServiceId group;
        TimePoint repeatAt;
        std::uint32_t repeats = 0;
    };

    UnconfirmedReleasesOptions m_options;
    /// By ticket and VM: after a failover a ticket is released at two VMs.
    std::map<std::pair<std::uint64_t, VmId>, Entry> m_releases;
};

} // namespace figlanding
