#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"

/// @file
/// Time limits shared by the VMs of one fleet.

namespace figlanding {

/// Time limits of heartbeats, views, leases and probes. All VMs use the same values.
struct Timing
{
    milliseconds viewLifetime{600}; ///< maximum age of the view a VM dispatches on
    milliseconds clockDriftAllowance{50}; ///< added to waits measured on two clocks
    milliseconds heartbeatInterval{150}; ///< between VMs; heartbeats also carry confirmations
    milliseconds suspicionTimeout{500}; ///< a VM silent for longer is suspected to have failed
    /// A server that checks fencing tokens stops by itself if its lease is not renewed for this
    /// long.
    milliseconds serverLease{800};
    milliseconds exclusiveDeadline{800}; ///< maximum duration of a dispatch on an exclusive route
    milliseconds probeInterval{200}; ///< interval of health probes and lease renewals

    auto operator==(const Timing &) const -> bool = default;
};

/// Maximum time from the loss of a server until its keys are served again.
inline constexpr milliseconds maxRecoveryTime{3000};

/// Time allowed in recoveryTime() for two log appends and for applying their records.
inline constexpr milliseconds logAllowance{200};

/// Returns how long the old owner of a key may still run requests after a majority has applied a
/// BeginMoves record, if the owner does not acknowledge the revocation.
[[nodiscard]] auto unacknowledgedWait(const Timing &timing) -> milliseconds;

/// Returns the maximum time from the loss of a server until its keys are served again, provided
/// that the log is available: the sum of failure detection, the heartbeats that report the failure
/// and the applied record, unacknowledgedWait(), and logAllowance.
[[nodiscard]] auto recoveryTime(const Timing &timing) -> milliseconds;

/// Checks that all limits except clockDriftAllowance are positive, that viewLifetime,
/// suspicionTimeout and serverLease each exceed two renewal intervals, and that recoveryTime()
/// does not exceed maxRecoveryTime.
/// @return InvalidValue with the field and the offending values
[[nodiscard]] auto checkTiming(const Timing &timing) -> Result<void>;

} // namespace figlanding
