#pragma once

#include "figlanding/clock.h"

#include <optional>

/// @file
/// Outages of the store, as the reader of one topic knows of them.

namespace figlanding {

/// The current and the last outage.
///
/// An outage begins with a failed read of this VM. It ends when the store is known to have answered
/// a later read, of this VM or of another one that relays what it read: a VM to which relays come
/// seldom reads by itself, so that its own reads may show the end long after it.
class StoreOutage
{
public:
    /// Notes a failed read of this VM.
    /// @return whether an outage begins
    [[nodiscard]] auto onFailure(TimePoint now) -> bool;
    /// Notes that the store answered a read.
    /// @param answeredAt when it did so at the earliest; an answer that may be older than the last
    /// failed read shows nothing
    /// @return whether an outage ends
    [[nodiscard]] auto onAnswer(TimePoint answeredAt, TimePoint now) -> bool;
    /// Returns when this VM learned of the end of the last outage; nothing if there was none.
    /// Failures that end within 0.8 s are not an outage.
    [[nodiscard]] auto lastEnd() const -> std::optional<TimePoint>
    {
        return m_lastEnd;
    }

private:
    std::optional<TimePoint> m_since; ///< first failed read; empty without an outage
    TimePoint m_lastFailureAt;
    std::optional<TimePoint> m_lastEnd;
};

} // namespace figlanding
