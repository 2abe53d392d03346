#pragma once

#include "figlanding/clock.h"

#include <cstddef>
#include <cstdint>

/// @file
/// When a VM reads a topic of the store itself, and when it passes on what it read.
///
/// Answers the price and the rate limit of the store's calls: the VM of the first rank reads and
/// passes on what it reads, the others read only when nothing was passed on in time. A VM of rank
/// n waits n steps longer than the first one needs, so that the second one steps in within a step
/// of a loss, and a VM that hears nobody reads as if it were alone. A VM that reads to fill a gap
/// of its own passes nothing on: with a hundred VMs that would be ten thousand datagrams.

namespace figlanding {

/// Settings of RelaySchedule.
struct RelayScheduleOptions
{
    milliseconds period{500}; ///< between two reads of the VM that reads, with the store's wait
    milliseconds step{120}; ///< between the ranks
    /// A read of records that are there is answered within some ms; its connection has gone silent
    /// after this time.
    milliseconds silentAfter{400};
    milliseconds firstRetry{250}; ///< after one failed read; doubled with each further one
    milliseconds longestRetry{1000}; ///< a view may be late by this when the store is back

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

    /// Returns whether others wait for what this VM reads: it has the first rank, or nothing was
    /// passed on in time.
    [[nodiscard]] auto passesOn(std::size_t rank, TimePoint now) const -> bool;
    /// Returns whether a read that was sent at @p sentAt and should have an answer by now is lost.
    [[nodiscard]] auto isSilent(TimePoint sentAt, TimePoint now) const -> bool;
    /// Returns the pause after a read that failed, which grows with the failures in a row: calls
    /// that the store refuses cost as much as others.
    [[nodiscard]] auto pauseAfterFailure(std::uint32_t failures) const -> Duration;

private:
    [[nodiscard]] auto patience(std::size_t rank) const -> Duration;

    RelayScheduleOptions m_options;
    TimePoint m_relayedAt;
    bool m_relayed = false;
};

} // namespace figlanding
