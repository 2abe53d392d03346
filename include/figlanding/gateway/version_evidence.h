#pragma once

#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/slot_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

/// @file
/// What a VM sees of the responses of two versions of a service, and the reports that it sends of
/// it to the controller.

namespace figlanding {

/// Number of classes of response times; two classes for each doubling.
inline constexpr std::size_t responseTimeClasses = 36;
/// Returns the class of a response time.
[[nodiscard]] auto responseTimeClass(Duration elapsed) -> std::size_t;

/// Responses of servers: how many failed, and how long the others took.
struct ResponseCounts
{
    std::uint32_t failures = 0; ///< error responses, and requests that got no response
    std::array<std::uint32_t, responseTimeClasses> successes{}; ///< by class of response time

    [[nodiscard]] auto total() const -> std::uint32_t;
    auto operator+=(const ResponseCounts &other) -> ResponseCounts &;
    auto operator==(const ResponseCounts &) const -> bool = default;
};

/// The origin of responses: a route, and a server of the new version.
struct EvidenceSource
{
    RouteId route;
    BackendServerId server; ///< empty: all servers of the versions in force together

    auto operator<=>(const EvidenceSource &) const = default;
};

/// Responses by origin.
using EvidenceCounts = std::map<EvidenceSource, ResponseCounts>;

/// What a VM tells the controller of a roll-out, periodically.
struct RolloutReport
{
    ServiceId service;
    LogOffset order = 0; ///< of the record that the VM follows
    std::uint64_t revision = 0; ///< of that record
    /// Requests of the VM that wait for or run at servers that the roll-out replaces.
    std::uint32_t pendingAtOld = 0;
    EvidenceCounts counts; ///< since the last report

    auto operator==(const RolloutReport &) const -> bool = default;
};

/// Returns whether a response says nothing of its server's version: the server is cold, or was
/// announced too short a time ago to have settled.
[[nodiscard]] auto isSettling(const RegisteredServer &server, TimePoint now) -> bool;

/// Counts of one service, of this VM.
class VersionEvidence
{
public:
    /// Adds the result of a request. Results that say nothing of the server's version are ignored:
    /// of requests that were not run, or abandoned, and of servers that are settling.
    /// @param isNewVersion whether the server runs the version on trial
    auto add(const RouteId &route, const RegisteredServer &server, bool isNewVersion,
             const SlotResult &result, TimePoint now) -> void;
    /// Returns the counts since the last call, and resets them.
    [[nodiscard]] auto takeCounts() -> EvidenceCounts
    {
        return std::exchange(m_counts, {});
    }
    /// Returns whether this VM has seen nothing but failures of the new version for several
    /// responses.
    [[nodiscard]] auto onlyFailures() const -> bool;
    /// Forgets the failures that onlyFailures() counts.
    auto forgetFailures() -> void
    {
        m_failuresInARow = 0;
    }

private:
    EvidenceCounts m_counts;
    std::uint32_t m_failuresInARow = 0; ///< of the new version
};

} // namespace figlanding
