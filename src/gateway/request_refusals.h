#pragma once

#include "figlanding/clock.h"
#include "figlanding/refusal.h"
#include "figlanding/verdict.h"

/// @file
/// How the request path refuses an admitted request. The reason depends on the verdict on all its
/// attempts: only a request that did not run is given a time after which to come back.

namespace figlanding {

/// Refuses a request for which no slot is expected to become free in time.
[[nodiscard]] auto refusalWithoutSlot(Verdict verdict, Duration retryAfter) -> Refusal;
/// Refuses a request whose key moves to another owner, because the present one is leaving or has
/// restarted.
[[nodiscard]] auto refusalWhileKeyMoves(Verdict verdict) -> Refusal;
/// Refuses a request whose key belongs to a server that is gone, until the key has another owner.
/// @param goneFor time since this VM has known that the server is gone
[[nodiscard]] auto refusalWithoutOwner(Verdict verdict, Duration goneFor) -> Refusal;
/// Refuses a request after an attempt that failed and may not be repeated.
[[nodiscard]] auto refusalAfterFailure(Verdict verdict) -> Refusal;
/// Refuses a request whose deadline has passed.
[[nodiscard]] auto refusalAtDeadline(Verdict verdict) -> Refusal;
/// Refuses a request that cannot complete before this VM stops.
[[nodiscard]] auto refusalAtShutdown(Verdict verdict) -> Refusal;

} // namespace figlanding
