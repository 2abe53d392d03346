#pragma once

#include "figlanding/clock.h"
#include "figlanding/http_message.h"
#include "figlanding/names.h"
#include "figlanding/refusal.h"
#include "figlanding/verdict.h"

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// The record of a completed request, for the log and the metrics.

namespace figlanding {

/// A response in which a server said that it did not run a request, and what supports it.
struct ServerRejection
{
    int status = 0;
    bool identified = false; ///< has the id of the request
    bool firstOnConnection = false; ///< nothing of an earlier response can precede it

    auto operator==(const ServerRejection &) const -> bool = default;
};

/// Returns the status and what supports it, such as "503 with-id kept-connection".
[[nodiscard]] auto toText(const ServerRejection &rejection) -> std::string;

/// The outcome of a request and the facts that led to it.
struct RequestRecord
{
    std::string requestId;
    RouteId route;
    TeamId team;
    ServiceId service;
    BackendServerId server; ///< last server that it was sent to, or the owner of its key
    std::uint64_t configVersion = 0;
    int status = 0; ///< HTTP status of the response; 0 if the caller disconnected first
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> refusal; ///< empty if a server responded
    std::optional<ServerRejection> rejection; ///< the last one of a server
    std::optional<BodyEnd> bodyEnd; ///< of the server's response that was passed on
    Duration elapsed{}; ///< from receipt to completion
    Duration waited{}; ///< from receipt to the last send to a server
    std::uint32_t attempts = 0; ///< number of the last send to a server; 0 if never sent
    std::uint32_t repeats = 0; ///< sends to a server that has had the request on an open connection
    std::string detail; ///< cause of a refusal or of the last failed attempt
};

} // namespace figlanding
