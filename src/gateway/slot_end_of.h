#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/gateway/slot_broker.h"
#include "io/http_client.h"

/// @file
/// Classifies the end of a request at a server for the broker of its slot.

namespace figlanding {

/// Returns how a request ended that got no complete response.
[[nodiscard]] auto slotEndOf(const HttpOutcome &outcome) -> SlotEnd;
/// Returns how a request ended that got a complete response.
[[nodiscard]] auto slotEndOf(ResponseKind kind) -> SlotEnd;

} // namespace figlanding
