#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"
#include "io/log.h"

#include <optional>
#include <string>
#include <vector>

/// @file
/// Settings of the daemon on a platform with a store of keyed topics.

namespace figlanding {

/// Settings of one VM.
struct GatewaySettings
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress callers; ///< listens for callers
    SocketAddress readiness; ///< listens for the balancer's questions
    SocketAddress admin; ///< listens for metrics
    SocketAddress fleet; ///< datagrams of other VMs
    SocketAddress store;
    double cpuShare = 1.0; ///< share of a core that this VM has
    milliseconds announceInterval{1000}; ///< of the servers, in the store
    milliseconds propagation{2000}; ///< a new configuration is in force everywhere by then
    milliseconds drain{2000}; ///< a leaving server gets no new work after this
    milliseconds gracePeriod{6000}; ///< between the signal to stop and the end of the process
    double retryRatio = 0.2; ///< extra arrivals at a service for each of its requests
    double retryReserve = 60.0; ///< extra arrivals beyond the ratio, of all VMs together
    milliseconds longestLease{10'000}; ///< that servers take
    LogLevel logLevel = LogLevel::Info;

    auto operator==(const GatewaySettings &) const -> bool = default;
};

/// Settings, or everything that is wrong with them.
struct GatewaySettingsOutcome
{
    std::optional<GatewaySettings> settings;
    std::vector<std::string> faults; ///< one line each, with file, line, key, value, expectation
};

/// Parses JSON with comments.
/// @param file name of the file, for the faults
[[nodiscard]] auto parseGatewaySettings(std::string_view text, std::string_view file)
    -> GatewaySettingsOutcome;
/// Reads a file and parses it.
[[nodiscard]] auto loadGatewaySettings(const std::string &file) -> GatewaySettingsOutcome;

} // namespace figlanding
