#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// A call to the stand-in of the platform's store, read from its target as an HTTP server does.

namespace figlanding::standins {

/// How a server reads a plus sign in a query.
enum class PlusSign {
    Itself, ///< as RFC 3986 does
    Blank ///< as forms in HTML are read
};

/// Path and decoded parameters of a call.
struct StoreCall
{
    std::string path;
    std::map<std::string, std::string, std::less<>> parameters;

    /// Returns a parameter, or nothing if the call does not have it.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string>;
    /// Returns a parameter, or an empty text.
    [[nodiscard]] auto text(std::string_view name) const -> std::string;
    /// Returns a numeric parameter, or 0.
    [[nodiscard]] auto number(std::string_view name) const -> std::uint64_t;
};

/// Reads the target of a request line. A fragment is no part of the call; of parameters with equal
/// names the first counts.
/// @return nothing if the target has a byte that is not visible ASCII, or an invalid escape
[[nodiscard]] auto parseStoreCall(std::string_view target, PlusSign plusSign)
    -> std::optional<StoreCall>;

} // namespace figlanding::standins
