#pragma once

#include "figlanding/held_bytes.h"
#include "figlanding/process_limits.h"

#include <cstddef>

/// @file
/// Divides the memory and the file descriptors of a process between its callers and its own work.

namespace figlanding {

/// What a process may spend on callers and servers.
struct ProcessBudget
{
    HeldBytesOptions heldBytes;
    std::size_t callerConnections = 0;
    std::size_t serverConnections = 0;
    /// Connections at each of the ports for load balancers and operators.
    std::size_t operatorConnections = 0;

    auto operator==(const ProcessBudget &) const -> bool = default;
};

/// Most connections of callers that a process accepts, whatever its limits.
inline constexpr std::size_t maxCallerConnections = 3000;

/// Divides the limits of a process.
///
/// - Memory: the process keeps 32 MiB for its own state, or half of the memory if that is less; an
///   eighth of the rest is for small items.
/// - Descriptors: a quarter, at most 200, is for files and for connections to the store and to
///   other VMs, an eighth of it for each of the ports for load balancers and operators; of the
///   others, three quarters are for callers and one quarter for servers.
[[nodiscard]] auto divide(const ProcessLimits &limits) -> ProcessBudget;

} // namespace figlanding
