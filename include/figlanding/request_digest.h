#pragma once

#include "figlanding/names.h"

#include <string>
#include <string_view>

/// @file
/// Digest that identifies equal requests, such as a request that a caller sends again.

namespace figlanding {

/// The fields by which requests are compared; requests that agree in all of them are equal.
struct RequestIdentity
{
    TeamId team; ///< empty on open routes
    std::string_view method;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Returns the XXH3 128-bit hash of @p identity as 32 hexadecimal digits. It is the same on
/// every machine. The hash is not collision-resistant against an attacker. Since the team is part
/// of the input, collisions that an attacker constructs are between requests of the attacker's own
/// team.
[[nodiscard]] auto requestDigest(const RequestIdentity &identity) -> std::string;

} // namespace figlanding
