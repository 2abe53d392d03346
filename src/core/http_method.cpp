#include "figlanding/http_method.h"

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

constexpr auto safeMethods = std::to_array<std::string_view>({"GET", "HEAD", "OPTIONS", "TRACE"});

} // namespace

auto isSafe(std::string_view method) -> bool
{
    return std::find(safeMethods.begin(), safeMethods.end(), method) != safeMethods.end();
}

auto isIdempotent(std::string_view method) -> bool
{
    return isSafe(method) || method == "PUT" || method == "DELETE";
}

} // namespace figlanding
