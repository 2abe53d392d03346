#pragma once

#include "figlanding/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// Tells the rejections of a server apart and decides how long the server rests after them.
///
/// A full server is asked again when one of its slots is expected to be free. One that sheds load
/// although it has a free slot goes on serving, because a rest would take the capacity of the
/// requests away that it accepts; the share of its rejections lowers its rank among the servers of
/// its service. A server that rejects request after request counts as full whatever it reports.

namespace figlanding {

struct SlotResult;

/// What a rejection says of the server.
enum class RejectionKind {
    Full, ///< the running requests that it reports fill its slots
    Shedding, ///< it reports a free slot
    Leaving, ///< it shuts down
    Cold, ///< it has just started, and reports a free slot
    Unreported, ///< it does not report its load
};

/// Returns the name of a kind, such as "shedding".
[[nodiscard]] auto toText(RejectionKind kind) -> std::string_view;

/// Returns the kind of the rejection that a result reports.
/// @param cold whether the server is known to be cold
[[nodiscard]] auto rejectionKindOf(const SlotResult &result, bool cold) -> RejectionKind;

/// Returns the time until one of a server's slots is expected to be free.
/// @param serviceTime average time of a request at the server
/// @param slots of the server, at least 1
/// @param waiting requests that wait for these slots at the server
[[nodiscard]] auto timeToFreeSlot(Duration serviceTime, std::uint32_t slots, std::uint32_t waiting)
    -> Duration;

/// Settings of DeclineRest.
struct DeclineRestOptions
{
    milliseconds shortestRest{5}; ///< of a server that counts as full
    milliseconds longestRest{960};
    /// A server with this many rejections in succession counts as full, even if it reports a free
    /// slot.
    std::uint32_t believedRejections = 6;

    auto operator==(const DeclineRestOptions &) const -> bool = default;
};

/// A rejection, as the VM that granted the slot knows it.
struct SlotRejection
{
    RejectionKind kind = RejectionKind::Unreported;
    Duration timeToFreeSlot{}; ///< see timeToFreeSlot()
    TimePoint grantedAt; ///< when the rejected request was granted its slot

    auto operator==(const SlotRejection &) const -> bool = default;
};

/// The rejections of one server and the rest that follows from them.
class DeclineRest
{
public:
    /// Records a rejection.
    /// @return the time from @p now for which the server gets no request; zero for none. A server
    /// that is leaving gets none at all, see isLeaving().
    auto onRejection(const SlotRejection &rejection, const DeclineRestOptions &options,
                     TimePoint now) -> Duration;
    /// Records that the server ran a request. A rest ends if it reports nobody who waits for the
    /// slot that the request had.
    auto onRun(bool slotIsFree, TimePoint now) -> void;

    /// Returns the end of the rest, which may have passed.
    [[nodiscard]] auto until() const -> TimePoint
    {
        return m_until;
    }
    /// Returns whether the server said that it shuts down. Final for its incarnation.
    [[nodiscard]] auto isLeaving() const -> bool
    {
        return m_leaving;
    }
    /// Returns the share of recent requests that were rejected, in [0, 1).
    [[nodiscard]] auto rejectedShare(TimePoint now) const -> double;

private:
    // Adds a request that ended to the shares.
    auto addEnd(bool rejected, TimePoint now) -> void;

    TimePoint m_until;
    bool m_leaving = false;
    std::uint32_t m_rejections = 0; ///< in succession, those of requests sent together once
    std::uint32_t m_rests = 0; ///< that those rejections led to
    TimePoint m_countedAt; ///< when the last one of them counted
    double m_rejected = 0.0; ///< decaying numbers of requests
    double m_ended = 0.0;
    TimePoint m_decayedAt;
};

} // namespace figlanding
