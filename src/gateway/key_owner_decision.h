#pragma once

#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/refusal.h"
#include "gateway/active_request.h"

#include <variant>

/// @file
/// Decides what becomes of a request by the state of the server that owns its key.

namespace figlanding {

/// The owner can be asked for a slot.
struct AskOwner
{ };

/// The key may soon have an owner that can be asked; the request waits until then.
struct AwaitOwner
{ };

/// What becomes of a request for a key.
using KeyOwnerDecision = std::variant<AskOwner, AwaitOwner, Refusal>;

/// Decides whether the owner of a request's key is asked for a slot.
///
/// An owner that is not registered yet is asked, because the VM that allocates its slots may know
/// it. While a key moves away from a server that has restarted, its requests wait for a while; if
/// the server is leaving or gone, they are refused at once with the time after which to come back.
/// @param registry the servers that this VM knows
/// @param owner owner of the key; empty if the key has none
/// @param longestWaitForMove longest time from the receipt of a request until it is refused because
/// the owner has restarted
[[nodiscard]] auto decideByKeyOwner(const ServerRegistry &registry, const ServerIncarnation &owner,
                                    const ActiveRequest &active, milliseconds longestWaitForMove,
                                    TimePoint now) -> KeyOwnerDecision;

} // namespace figlanding
