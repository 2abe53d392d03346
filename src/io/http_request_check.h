#pragma once

#include "figlanding/http_message.h"

#include <string>

/// @file
/// Validation of outgoing HTTP requests.

namespace figlanding {

/// Checks that the method, target and headers of a request can be written as HTTP/1.1.
/// @return the first invalid part, such as `header "x y"`, or an empty string if all are valid
[[nodiscard]] auto findRequestError(const HttpRequest &request) -> std::string;

} // namespace figlanding
