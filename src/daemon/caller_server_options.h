#pragma once

#include "io/http_server.h"
#include "io/settings.h"

/// @file
/// Options of the server to which callers of a VM connect.

namespace figlanding {

/// Returns the options that the settings state.
/// @param heldBytes account of this process; must outlive the server
[[nodiscard]] auto callerServerOptions(const DaemonSettings &settings, HeldBytes &heldBytes)
    -> HttpServerOptions;

} // namespace figlanding
