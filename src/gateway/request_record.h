#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"
#include "figlanding/refusal.h"
#include "figlanding/verdict.h"

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// How one request ended, for the log and the metrics.

namespace figlanding {

/// The end of a request with what decided it.
struct RequestRecord
{
    std::string requestId;
    RouteId route;
    TeamId team;
    ServiceId service;
    BackendServerId server; ///< last one that it was sent to, or that owns its key
    std::uint64_t configVersion = 0;
    int status = 0; ///< 0 if the caller left
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> refusal;
    Duration elapsed{};
    Duration waited{}; ///< until it was last sent
    std::uint32_t attempts = 0;
    std::string detail;
};

} // namespace figlanding
