#pragma once

#include "figlanding/clock.h"

#include <cstddef>
#include <cstdint>

/// @file
/// Schedules when a VM reads a topic of the store, and when it relays what it read to other VMs.
///
/// Reads of the store cost money and are rate-limited. The VM of rank 0 therefore reads a topic and
/// relays its records; the others read only if no relay arrives in time. The relay timeout grows
/// with the rank, so that rank 1 takes over within one step of the loss of rank 0. A VM that
/// receives no relays reads as if it were the only one. A VM that reads only to close a gap in its
/// own view relays nothing: with a hundred VMs that would be ten thousand datagrams. The same holds
/// for a VM that has just started: it has not heard of the others yet, so that it seems to have
/// rank 0, and many VMs may start at the same time.

namespace figlanding {

/// Settings of RelaySchedule.
struct RelayScheduleOptions
{
    /// Interval between reads of rank 0, including the store's long-poll wait.
    milliseconds period{500};
    milliseconds step{120}; ///< increase of the relay timeout between ranks
    /// Time without a part of a response, after which a read of existing records is replaced. The
    /// store answers these within a few milliseconds, so the connection is probably dead. Doubled
    /// with each further replacement: over a full link the repeated responses delay each other.
    milliseconds readTimeout{400};
    /// After its start a VM relays nothing for this time. VMs that start with it have sent their
    /// first heartbeats by then.
    milliseconds silenceAfterStart{500};
    /// Minimum time between reads until then, because every VM that starts reads for itself.
    milliseconds pauseAfterStart{200};
    milliseconds initialRetryDelay{250}; ///< after a failed read; doubled with each further failure
    /// Bounds the staleness of the view once the store is available again.
    milliseconds maxRetryDelay{1000};

    auto operator==(const RelayScheduleOptions &) const -> bool = default;
};

/// Read and relay schedule of one topic on one VM.
class RelaySchedule
{
public:
    explicit RelaySchedule(const RelayScheduleOptions &options);

    /// Records that this VM starts to follow the topic. Its relay timeout begins then.
    auto onStart(TimePoint now) -> void;
    /// Records that another VM relayed all records up to the end of the topic.
    auto onRelayReceived(TimePoint now) -> void;
    /// Returns the time from @p now until the VM should start its next read.
    /// @param rank number of live VMs that precede this one
    /// @param pause delay until the next read if the VM reads by itself
    /// @param failed whether the VM's last read failed; it then waits longer, so that another takes
    /// over
    [[nodiscard]] auto delay(std::size_t rank, Duration pause, bool failed, TimePoint now) const
        -> Duration;

    /// Returns whether this VM should relay what it reads: it did not start just now, and it has
    /// rank 0, or no relay arrived within its relay timeout.
    [[nodiscard]] auto shouldRelay(std::size_t rank, TimePoint now) const -> bool;
    /// Returns whether a read of existing records is to be replaced.
    /// @param silentSince when it was sent, or when the last part of a response arrived
    /// @param replaced number of reads that were replaced since the last response
    [[nodiscard]] auto hasTimedOut(TimePoint silentSince, std::uint32_t replaced,
                                   TimePoint now) const -> bool;
    /// Returns the delay after a failed read: an exponential backoff, because requests that the
    /// store rejects cost as much as successful ones.
    /// @param failures number of consecutive failures
    [[nodiscard]] auto pauseAfterFailure(std::uint32_t failures) const -> Duration;

private:
    [[nodiscard]] auto isSilent(TimePoint now) const -> bool;
    [[nodiscard]] auto relayTimeout(std::size_t rank) const -> Duration;

    RelayScheduleOptions m_options;
    TimePoint m_startedAt;
    TimePoint m_relayedAt;
    bool m_relayed = false;
};

} // namespace figlanding
