#pragma once

#include "figlanding/process_budget.h"

/// @file
/// Limits that the system sets for this process.

namespace figlanding {

/// Returns the memory of the machine and the limit for open file descriptors.
[[nodiscard]] auto systemLimits() -> ProcessLimits;
/// Returns limits in which each value that is 0 is replaced by that of the system.
[[nodiscard]] auto knownLimits(ProcessLimits limits) -> ProcessLimits;
/// Lets the allocator return large blocks to the system as soon as they are freed, so that the
/// memory of the process follows what it holds. Call it once, before any thread is started.
auto returnLargeBlocksAtOnce() -> void;

} // namespace figlanding
