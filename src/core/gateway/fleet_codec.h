#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/fleet_messages.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

/// @file
/// What the codecs of the datagrams between VMs share.

namespace figlanding::fleet_codec {

/// First element of an encoded payload.
enum class Kind : int {
    Heartbeat = 1,
    Acquire = 2,
    Response = 3,
    Release = 4,
    Topic = 5,
    Work = 6,
    ShortenedTopic = 7,
    Leases = 8,
    Rollout = 9
};

/// Rounds to single precision, because CBOR encodes a number in four bytes instead of eight if that
/// is lossless.
[[nodiscard]] auto toFloatPrecision(double value) -> double;

/// Values that a decoded duration may have, both ends included.
struct DurationBounds
{
    milliseconds min{};
    milliseconds max{};
};

inline constexpr auto requestTimeBounds = DurationBounds{.max = maxRequestTime};
inline constexpr auto requestTimeLeftBounds =
    DurationBounds{.min = -maxRequestTime, .max = maxRequestTime};

/// Decodes a duration.
/// @param name of the message's field, for the log
/// @return InvalidValue if the field is no integer within the bounds
[[nodiscard]] auto decodeDuration(const nlohmann::json &field, std::string_view name,
                                  const DurationBounds &bounds) -> Result<milliseconds>;

} // namespace figlanding::fleet_codec
