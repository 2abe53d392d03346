#pragma once

#include <compare>
#include <string_view>

/// @file
/// Whether a request may have run on a backend server.

namespace figlanding {

/// What is known about the execution of a request, in the order that combine() relies on.
enum class Verdict {
    NotRun, ///< No backend server has run the request or will run it.
    MayHaveRun, ///< The request was sent and its outcome is unknown.
    Ran, ///< A backend server ran the request and its complete response arrived.
};

/// Returns the wire name: "not-run", "may-have-run" or "ran".
[[nodiscard]] auto toText(Verdict verdict) -> std::string_view;

/// Combines the verdicts of two attempts at the same request.
/// @return the later one in the order NotRun, MayHaveRun, Ran
[[nodiscard]] auto combine(Verdict first, Verdict second) -> Verdict;

} // namespace figlanding
