#include "figlanding/deadline.h"

#include <algorithm>
#include <charconv>

namespace figlanding {

auto parseDeadline(std::string_view text) -> Result<milliseconds>
{
    auto value = milliseconds::rep{0};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 1 || value > maxDeadline.count()) {
        return fail(ErrorCode::InvalidValue,
                    "deadline \"" + std::string(text.substr(0, 32))
                        + "\" is not a number from 1 to " + std::to_string(maxDeadline.count()));
    }
    return milliseconds(value);
}

auto requestDeadline(std::optional<milliseconds> requested, milliseconds routeTimeout,
                     TimePoint receivedAt) -> TimePoint
{
    return receivedAt + std::min(requested.value_or(routeTimeout), routeTimeout);
}

auto timeForNextHop(TimePoint deadline, TimePoint now, const HopOptions &options)
    -> std::optional<milliseconds>
{
    const auto remaining = std::chrono::floor<milliseconds>(deadline - now) - options.allowance;
    const auto time = std::min(remaining, options.cap.value_or(remaining));
    return time < milliseconds(1) ? std::nullopt : std::optional(time);
}

} // namespace figlanding
