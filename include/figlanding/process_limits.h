#pragma once

#include <cstddef>

/// @file
/// What the system lets a process use.

namespace figlanding {

/// Limits of a process.
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0; ///< open file descriptors

    auto operator==(const ProcessLimits &) const -> bool = default;
};

} // namespace figlanding
