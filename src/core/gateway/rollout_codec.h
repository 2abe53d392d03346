#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/version_evidence.h"

#include <nlohmann/json_fwd.hpp>

/// @file
/// Codec of the reports on roll-outs.

namespace figlanding::fleet_codec {

/// Encodes a report as the fields of a datagram.
[[nodiscard]] auto toJson(const RolloutReport &message) -> nlohmann::json;
/// Decodes the fields of a datagram.
/// @return InvalidValue if a class of response times is unknown; throws json::exception if a field
/// is missing or of another type
[[nodiscard]] auto decodeRolloutReport(const nlohmann::json &fields) -> Result<RolloutReport>;

} // namespace figlanding::fleet_codec
