#pragma once

#include "figlanding/gateway/rollout.h"
#include "figlanding/gateway/server_registry.h"

#include <set>

/// @file
/// What becomes of the servers of an ordered version before the order has a record.

namespace figlanding {

/// Returns whether a service has servers of the version @p version.
[[nodiscard]] auto hasServersOf(const ServerRegistry &registry, const ServiceId &service,
                                const ServerVersion &version) -> bool;
/// Returns whether a service has servers that may serve it instead of those of @p version: of
/// another version that is not withheld.
[[nodiscard]] auto hasServersBeside(const ServerRegistry &registry, const ServiceId &service,
                                    const ServerVersion &version,
                                    const std::set<ServerVersion> &withheld) -> bool;

/// What a VM knows of a service's newest order.
struct OrderKnowledge
{
    const RolloutOrder &order;
    const RolloutRecord *record = nullptr; ///< newest record of the service; null if there is none
    bool isNew = false; ///< the order was given while this VM ran
    bool recordsRead = true; ///< the fleet's topic was read
};

/// Returns whether the servers of the ordered version get nothing until the order has a record. An
/// order that was there when this VM started may have been carried out long ago, so it says nothing
/// before the fleet's records are read; nor may the version in force be withheld.
[[nodiscard]] auto isWithheldUntilRecord(const OrderKnowledge &known,
                                         const ServerRegistry &registry) -> bool;

} // namespace figlanding
