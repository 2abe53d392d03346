#pragma once

#include "figlanding/clock.h"

#include <cstddef>

/// @file
/// When a VM reads a topic of the store itself.
///
/// Answers the price and the rate limit of the store's calls: the VM of the first rank reads and
/// passes on what it reads, the others read only when nothing was passed on in time. A VM of rank
/// n waits n steps longer than the first one needs, so that the second one steps in within a step
/// of a loss, and a VM that hears nobody reads as if it were alone.

namespace figlanding {

/// Settings of RelaySchedule.
struct RelayScheduleOptions
{
    milliseconds period{500}; ///< between two reads of the VM that reads, with the store's wait
    milliseconds step{120}; ///< between the ranks

    auto operator==(const RelayScheduleOptions &) const -> bool = default;
};

/// The schedule of one topic on one VM.
class RelaySchedule
{
public:
    explicit RelaySchedule(const RelayScheduleOptions &options);

    /// Notes that another VM passed on all there was when it read.
    auto onRelayed(TimePoint readAt) -> void;
    /// Returns how long after @p now the VM should begin to read.
    /// @param rank number of living VMs that stand before this one
    /// @param pause of a VM that reads for itself, until its next read
    /// @param failed whether its last read failed; another VM then goes on reading
    [[nodiscard]] auto delay(std::size_t rank, Duration pause, bool failed, TimePoint now) const
        -> Duration;

private:
    [[nodiscard]] auto patience(std::size_t rank) const -> Duration;

    RelayScheduleOptions m_options;
    TimePoint m_relayedAt;
    bool m_relayed = false;
};

} // namespace figlanding
