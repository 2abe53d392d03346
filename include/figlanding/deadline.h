#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Request deadlines. Between VMs and servers a deadline is sent as the remaining time in
/// milliseconds because the clocks of two hosts are not comparable.

namespace figlanding {

/// Longest deadline that a caller may request.
inline constexpr milliseconds maxDeadline{300'000};

/// Parses the value of the header "figlanding-deadline-ms".
/// @param text decimal number of milliseconds from 1 to maxDeadline
/// @return InvalidValue if @p text is anything else
[[nodiscard]] auto parseDeadline(std::string_view text) -> Result<milliseconds>;

/// Computes the deadline of a request.
/// @param requested deadline that the caller requested, if any
/// @param routeTimeout timeout of the route; a longer requested deadline is reduced to it
/// @param receivedAt time at which the request arrived
[[nodiscard]] auto requestDeadline(std::optional<milliseconds> requested, milliseconds routeTimeout,
                                   TimePoint receivedAt) -> TimePoint;

/// Settings of timeForNextHop().
struct HopOptions
{
    /// Subtracted for the transfer of the response, so that it arrives before this hop's deadline.
    milliseconds allowance{5};
    /// Maximum duration of one dispatch; set on exclusive routes.
    std::optional<milliseconds> cap;

    auto operator==(const HopOptions &) const -> bool = default;
};

/// Computes the timeout to send to the next hop.
/// @return nothing if less than one millisecond remains; the request must not be sent then
[[nodiscard]] auto timeForNextHop(TimePoint deadline, TimePoint now, const HopOptions &options)
    -> std::optional<milliseconds>;

} // namespace figlanding
