#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"
#include "figlanding/timing.h"
#include "io/log.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Settings of the daemon, read from a JSON file with comments. docs/CONFIGURATION.md describes
/// the keys.

namespace figlanding {

/// Addresses on which the daemon listens.
struct ListenSettings
{
    SocketAddress callers; ///< requests to be routed
    SocketAddress peers; ///< published to other VMs, which connect to it; not 0.0.0.0 or ::
    SocketAddress admin; ///< administration and metrics

    auto operator==(const ListenSettings &) const -> bool = default;
};

/// Settings of the client of the platform's log service.
struct LogServiceSettings
{
    SocketAddress address;
    /// Whether the log service promises linearizable reads of the tail, which return every
    /// acknowledged append. If so, a read alone is enough to make a view fresh.
    bool readsAreFresh = false;
    milliseconds pollWait{150}; ///< long poll: longest time that a read waits for a record
    milliseconds timeout{1000}; ///< time limit of a response, in addition to pollWait

    auto operator==(const LogServiceSettings &) const -> bool = default;
};

/// Settings of the client of the platform's list of VMs.
struct VmListSettings
{
    SocketAddress address;
    milliseconds pollInterval{1000};

    auto operator==(const VmListSettings &) const -> bool = default;
};

/// Limits on the resources that callers may use.
struct LimitSettings
{
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    std::uint32_t maxConnections = 4096;
    std::uint32_t maxQueuePerServer = 256; ///< requests queued for a slot of one backend server

    auto operator==(const LimitSettings &) const -> bool = default;
};

/// All settings of one daemon.
struct DaemonSettings
{
    VmId vm;
    AvailabilityZoneId zone;
    ListenSettings listen;
    /// Queried for the cluster state if the log is unavailable.
    std::vector<SocketAddress> seedPeers;
    LogServiceSettings log;
    VmListSettings vmList;
    std::string peerSecretHex; ///< shared key with which VMs authenticate each other; never logged
    Timing timing;
    LimitSettings limits;
    LogLevel logLevel = LogLevel::Info;
    milliseconds drainTimeout{30000}; ///< time limit of running requests after SIGTERM

    auto operator==(const DaemonSettings &) const -> bool = default;
};

/// Result of reading settings: either the settings or all of their faults.
struct SettingsOutcome
{
    std::optional<DaemonSettings> settings; ///< empty if there are faults
    std::vector<std::string> faults; ///< one line each: file, line, key, value, expectation
};

/// Parses and validates settings.
/// @param text JSON with comments
/// @param file file name for the fault messages
[[nodiscard]] auto parseDaemonSettings(std::string_view text, std::string_view file)
    -> SettingsOutcome;

/// Reads a settings file and parses it. A file that cannot be read is reported as a fault.
[[nodiscard]] auto loadDaemonSettings(const std::string &file) -> SettingsOutcome;

/// Reads a whole file.
/// @return its content, or IoFailure with the file name and the text of errno
[[nodiscard]] auto readTextFile(const std::string &file) -> Result<std::string>;

} // namespace figlanding
