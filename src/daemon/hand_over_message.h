#pragma once

#include "figlanding/admission.h"
#include "figlanding/error.h"
#include "figlanding/names.h"

#include <string>
#include <string_view>

/// @file
/// JSON encoding of the message that hands a server over to its new dispatching VM.

namespace figlanding {

/// Request path of hand-over messages on peer connections.
inline constexpr std::string_view admissionHandOverPath = "/peer/admission-hand-over";

/// The admission state that is handed over, with its server.
struct ServerHandOver
{
    BackendServerId server;
    AdmissionHandOver handOver;

    auto operator==(const ServerHandOver &) const -> bool = default;
};

/// Encodes a hand-over. The clocks of two VMs differ, so the latest end of the running requests is
/// sent as the time that remains at @p now.
[[nodiscard]] auto encodeHandOver(const ServerHandOver &message, TimePoint now) -> std::string;
/// Decodes a hand-over that was received at @p now. Never throws, whatever the input.
/// @return ProtocolViolation if a field is missing, has the wrong type or exceeds its limit
[[nodiscard]] auto decodeHandOver(std::string_view text, TimePoint now) -> Result<ServerHandOver>;

} // namespace figlanding
