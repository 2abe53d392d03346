#include "figlanding/gateway/time_text.h"

#include <charconv>
#include <cmath>

namespace figlanding {

auto parseDuration(std::string_view text) -> Result<milliseconds>
{
    constexpr auto msPerSecond = 1000.0;
    constexpr auto longestMs = 1e12;
    auto value = 0.0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const auto unit = std::string_view(stop, static_cast<std::size_t>(end - stop));
    const auto factor = unit == "s" ? msPerSecond : 1.0;
    const auto known = unit == "s" || unit == "ms";
    if (error != std::errc{} || !known || !(value >= 0.0) || value * factor > longestMs) {
        return fail(ErrorCode::InvalidSyntax,
                    std::string(text).append(" is not a duration such as 1500ms or 2.5s"));
    }
    return milliseconds(std::llround(value * factor));
}

auto toDurationText(milliseconds duration) -> std::string
{
    return std::to_string(duration.count()) + "ms";
}

} // namespace figlanding
