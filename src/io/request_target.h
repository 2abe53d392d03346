#pragma once

#include <string>
#include <vector>

/// @file
/// Builds the targets of requests.

namespace figlanding {

/// A parameter of a query.
struct QueryParameter
{
    std::string name; ///< sent as it is: must consist of unreserved characters
    std::string value; ///< any bytes

    auto operator==(const QueryParameter &) const -> bool = default;
};

/// Returns the target that consists of a path and a query. All bytes of a value but the unreserved
/// characters of RFC 3986 are percent-encoded, so that the value stands for itself, also for
/// servers that read '+' as a blank.
[[nodiscard]] auto requestTarget(std::string path, const std::vector<QueryParameter> &query)
    -> std::string;

} // namespace figlanding
