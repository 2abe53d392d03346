#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/fleet_messages.h"

#include <nlohmann/json_fwd.hpp>

/// @file
/// Encodes and decodes the datagrams about slots.

namespace figlanding::fleet_codec {

[[nodiscard]] auto toJson(const SlotAcquire &message) -> nlohmann::json;
[[nodiscard]] auto toJson(const SlotResponse &message) -> nlohmann::json;
[[nodiscard]] auto toJson(const SlotRelease &message) -> nlohmann::json;

/// Encodes a group's room as the fields of one array.
[[nodiscard]] auto toJson(const GroupRoom &room) -> nlohmann::json;
/// Decodes a group's room.
/// @return InvalidValue if a number is not finite or negative
[[nodiscard]] auto decodeGroupRoom(const nlohmann::json &fields) -> Result<GroupRoom>;

/// @return InvalidValue if a duration is outside its bounds; throws if a field has another type
[[nodiscard]] auto decodeAcquire(const nlohmann::json &fields) -> Result<SlotAcquire>;
/// @copydoc decodeAcquire
[[nodiscard]] auto decodeResponse(const nlohmann::json &fields) -> Result<SlotResponse>;
/// @copydoc decodeAcquire
[[nodiscard]] auto decodeRelease(const nlohmann::json &fields) -> Result<SlotRelease>;

} // namespace figlanding::fleet_codec
