#pragma once

#include "gateway_deployment.h"
#include "raw_server.h"

#include <string>
#include <vector>

/// @file
/// A service "archive" whose only server follows a script, for responses that reach callers through
/// a deployed VM.

namespace figlanding::standins {

/// The id of all requests to the service.
inline const auto archiveRequestId = std::string("cut");

/// Returns the scripts of a server that sends the same bytes on each connection.
/// @param end how it then ends the connection
[[nodiscard]] auto sendingOnEachConnection(const std::string &bytes, testing::RawAction end)
    -> std::vector<testing::RawScript>;

/// Returns the scripts of a server that ends each response in the same way.
/// @param framing fields that are added to the header
[[nodiscard]] auto respondingWith(const std::string &framing, const std::string &body,
                                  testing::RawAction end) -> std::vector<testing::RawScript>;

/// Starts a VM with the service, sends it a request once, and returns what the caller got.
/// @param method GET of a route whose requests may be repeated, or POST of one whose may not
[[nodiscard]] auto responseToCaller(const std::vector<testing::RawScript> &scripts,
                                    const std::string &method) -> HttpOutcome;

} // namespace figlanding::standins
