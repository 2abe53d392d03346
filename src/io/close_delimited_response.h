#pragma once

#include "figlanding/held_bytes.h"

#include <microhttpd.h>

#include <string>

/// @file
/// Responses of the HTTP server whose body ends with the connection.

namespace figlanding {

/// Creates a response without a length and without chunks. Its connection closes normally once the
/// whole body was written; if the connection or this process ends before, it is reset.
/// @param handle connection that the response will be queued for
/// @param share of the body; released when the response has ended
/// @return the response, or null if there is no memory for it
[[nodiscard]] auto makeCloseDelimitedResponse(MHD_Connection *handle, std::string body,
                                              HeldShare share) -> MHD_Response *;

} // namespace figlanding
