#include "core/gateway/fleet_codec.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>

namespace figlanding::fleet_codec {

using nlohmann::json;

auto toFloatPrecision(double value) -> double
{
    return static_cast<double>(static_cast<float>(value));
}

auto decodeDuration(const json &field, std::string_view name, const DurationBounds &bounds)
    -> Result<milliseconds>
{
    // A conversion of a larger number is undefined or changes its sign.
    const auto fits = field.is_number_unsigned()
        ? field.get<std::uint64_t>() <= std::numeric_limits<std::int64_t>::max()
        : field.is_number_integer();
    const auto value = milliseconds(fits ? field.get<std::int64_t>() : 0);
    if (!fits || value < bounds.min || value > bounds.max) {
        return fail(ErrorCode::InvalidValue,
                    std::string(name).append(" out of range: ").append(field.dump()));
    }
    return value;
}

} // namespace figlanding::fleet_codec
