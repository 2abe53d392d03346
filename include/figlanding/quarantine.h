#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"
#include "figlanding/record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Detects poison requests, which crash the servers that run them.
///
/// A request digest that was in flight when a server crashed becomes a suspect. If a suspect is
/// sent again after that crash and is in flight at another crash, of any server, its quarantine is
/// proposed. A response to a suspect sent after the crash clears it. Runs that started before the
/// suspect's last known crash are not counted; otherwise a zone failure would quarantine
/// every request that was in flight on several of its servers.

namespace figlanding {

/// Settings of a PoisonRequestDetector.
struct PoisonRequestDetectorOptions
{
    /// An unanswered run counts for a crash detected within this time.
    milliseconds unansweredRunWindow{2000};
    seconds suspectRetention{600}; ///< of a suspect after its last crash
    std::size_t maxSuspects = 1000; ///< beyond it, the suspect with the oldest crash is evicted
    std::uint32_t crashesToQuarantine = 2; ///< counted crashes before a quarantine is proposed
    seconds quarantine{3600}; ///< duration of a proposed quarantine

    auto operator==(const PoisonRequestDetectorOptions &) const -> bool = default;
};

/// A server crash, as the VM that detected it reports it to the other members.
struct CrashReport
{
    BackendServerId server;
    std::string bootId; ///< boot id of the process that crashed; empty if unknown
    std::vector<std::string> digests; ///< requests in flight at the crash

    auto operator==(const CrashReport &) const -> bool = default;
};

/// Result of PoisonRequestDetector::onCrash().
struct CrashFindings
{
    CrashReport report; ///< to be broadcast to all members
    std::vector<QuarantineChange> proposals; ///< to be appended to the log

    auto operator==(const CrashFindings &) const -> bool = default;
};

/// Correlates server crashes with the requests in flight. Each VM tracks its own requests and all
/// suspects, including those reported by other VMs.
class PoisonRequestDetector
{
public:
    /// @param author author of the proposed quarantine changes
    PoisonRequestDetector(const PoisonRequestDetectorOptions &options, std::string author);

    /// Records that a request was sent to a server.
    void onStart(const BackendServerId &server, const std::string &digest, TimePoint now);
    /// Records a complete response.
    /// @return whether this cleared a suspect; the other members must then call clearSuspect()
    auto onAnswer(const BackendServerId &server, const std::string &digest, TimePoint now) -> bool;
    /// Records that a request ended without a response, possibly because the server crashed.
    void onNoAnswer(const BackendServerId &server, const std::string &digest, TimePoint now);

    /// Records a crash of a server that this VM dispatches to.
    /// @param bootId of the process that crashed, empty if unknown
    /// @param unixNow wall-clock time, from which the end of proposed quarantines is computed
    /// @return a report for the other members and the proposed quarantines
    [[nodiscard]] auto onCrash(const BackendServerId &server, const std::string &bootId,
                               TimePoint now, milliseconds unixNow) -> CrashFindings;
    /// Adds the suspects of another VM's crash report.
    void onReport(const CrashReport &report, TimePoint now);
    /// Removes a suspect whose request was answered through another VM.
    void clearSuspect(const std::string &digest);

    /// Returns whether a request with this digest was in flight at a recent crash; such a request
    /// should be neither retried nor hedged.
    [[nodiscard]] auto isSuspect(const std::string &digest, TimePoint now) const -> bool;
    /// Returns the number of tracked suspects.
    [[nodiscard]] auto suspectCount() const -> std::size_t
    {
        return m_suspects.size();
    }

private:
    struct Run
    {
        std::string digest;
        TimePoint startedAt;
        std::optional<TimePoint> unansweredAt;
    };
    struct Suspect
    {
        TimePoint lastCrashAt;
        std::vector<std::string> crashes; ///< descriptions, such as "server (boot id ID)"
    };

    // Removes the server's runs and returns those that count for a crash at @p now.
    [[nodiscard]] auto extractRuns(const BackendServerId &server, TimePoint now)
        -> std::vector<Run>;
    [[nodiscard]] auto removeRun(const BackendServerId &server, const std::string &digest)
        -> std::optional<Run>;
    // Adds the crash to the digest's suspect, which is created if absent. If the suspect exists and
    // the run's start is unknown or not after its last crash, adds nothing and returns nullptr.
    auto recordCrash(const std::string &digest, const std::string &crash,
                     std::optional<TimePoint> startedAt, TimePoint now) -> const Suspect *;
    [[nodiscard]] auto proposalFor(const std::string &digest, const Suspect &suspect,
                                   milliseconds unixNow) const -> QuarantineChange;
    void expire(TimePoint now);

    PoisonRequestDetectorOptions m_options;
    std::string m_author;
    std::map<BackendServerId, std::vector<Run>> m_runs;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace figlanding
