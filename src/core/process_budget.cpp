#include "figlanding/process_budget.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr std::size_t ownMemoryBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t ownDescriptors = 200;
constexpr std::size_t operatorPart = 8; ///< one of this many own descriptors, for each port
constexpr std::size_t minOperatorConnections = 2;
constexpr std::size_t largestSmallBytes = std::size_t{128} * 1024;

} // namespace

auto divide(const ProcessLimits &limits) -> ProcessBudget
{
    const auto held = limits.memoryBytes - std::min(ownMemoryBytes, limits.memoryBytes / 2);
    const auto own = std::min(ownDescriptors, limits.descriptors / 4);
    const auto sockets = limits.descriptors - own;
    const auto servers = std::max<std::size_t>(1, sockets / 4);
    return {.heldBytes = {.limit = held,
                          .reservedForSmall = held / 8,
                          .largestSmall = largestSmallBytes},
            .callerConnections = std::clamp<std::size_t>(sockets - std::min(servers, sockets), 1,
                                                         maxCallerConnections),
            .serverConnections = servers,
            .operatorConnections = std::max(own / operatorPart, minOperatorConnections)};
}

} // namespace figlanding
