#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"
#include "io/log.h"

#include <optional>
#include <string>
#include <vector>

/// @file
/// Settings of the router process on a platform whose store has keyed topics.

namespace figlanding {

/// Settings of the router on one VM.
struct GatewaySettings
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress callers; ///< listen address for requests of callers
    SocketAddress readiness; ///< listen address for the load balancer's readiness probes
    SocketAddress admin; ///< listen address for metrics
    SocketAddress fleet; ///< listen address for datagrams of other VMs
    SocketAddress store; ///< address of the store
    double cpuShare = 1.0; ///< CPU of this VM, in cores
    /// Interval at which servers renew their entries in the store.
    milliseconds announceInterval{1000};
    milliseconds propagation{2000}; ///< time within which every VM applies a new configuration
    milliseconds drain{2000}; ///< time after which a draining server gets no new requests
    /// From the termination signal to the forced end of the process.
    milliseconds gracePeriod{6000};
    double retryRatio = 0.2; ///< retries allowed per request of a service
    double retryReserve = 60.0; ///< retries allowed beyond the ratio, over all VMs
    /// Part of a service's requests that a version on trial may get; zero: no roll-outs.
    double trialShare = 0.0;
    milliseconds longestLease{10'000}; ///< longest lease that servers accept
    LogLevel logLevel = LogLevel::Info;

    auto operator==(const GatewaySettings &) const -> bool = default;
};

/// The parsed settings, or all faults that were found in them.
struct GatewaySettingsOutcome
{
    std::optional<GatewaySettings> settings;
    /// One line per fault: file, line, key, value and what was expected.
    std::vector<std::string> faults;
};

/// Parses settings from JSON with comments.
/// @param text content of the file
/// @param file name of the file, used in the texts of faults
/// @return the settings, or one fault for each invalid value
[[nodiscard]] auto parseGatewaySettings(std::string_view text, std::string_view file)
    -> GatewaySettingsOutcome;
/// Reads a settings file and parses it.
/// @return the settings, or the faults; a file that cannot be read is a fault too
[[nodiscard]] auto loadGatewaySettings(const std::string &file) -> GatewaySettingsOutcome;

} // namespace figlanding
