#pragma once

#include "figlanding/error.h"
#include "figlanding/quarantine.h"

#include <string>
#include <string_view>

/// @file
/// JSON encoding of the crash reports that VMs exchange.

namespace figlanding {

/// Request path of crash reports on peer connections.
inline constexpr std::string_view crashReportPath = "/peer/crash";

/// Encodes a report. Invalid UTF-8 in its strings is replaced.
[[nodiscard]] auto encodeCrashReport(const CrashReport &report) -> std::string;
/// Decodes a report. Never throws, whatever the input.
/// @return ProtocolViolation if a field is missing or has the wrong type
[[nodiscard]] auto decodeCrashReport(std::string_view text) -> Result<CrashReport>;

} // namespace figlanding
