#pragma once

#include "figlanding/gateway/version_evidence.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

/// @file
/// Decides from responses whether a new version of a service is worse than the version in force.
///
/// A response is bad if it failed or took several times as long as the middle response of the
/// version in force on the same route. The two versions are compared on the same routes and in the
/// same time, so that a service that is loaded or impaired as a whole fails no version. One server
/// may be at fault where its version is not: it is left out, and a version is bad if others of its
/// servers are bad too.

namespace figlanding {

/// Settings of RolloutJudge.
struct RolloutJudgeOptions
{
    /// Responses that take longer than the middle one by this many classes of response times are
    /// bad: two to three times as long.
    std::size_t slowClasses = 3;
    /// Standard deviations by which bad responses have to exceed those of the version in force.
    double significance = 4.0;
    double tolerance = 0.04; ///< callers bear this fraction of further bad responses
    std::uint32_t minBad = 6; ///< fewer bad responses say nothing
    std::uint32_t minResponses = 60; ///< of the new version, for it to be good before time is short
    std::uint32_t minRouteResponses = 15; ///< the same, on each route that is in use
    double minRouteShare = 0.03; ///< a route with a smaller share of the responses needs none
    std::uint32_t minLateResponses = 20; ///< of the new version, for it to be good at all
    milliseconds window{1500}; ///< time after which recent evidence is set aside

    auto operator==(const RolloutJudgeOptions &) const -> bool = default;
};

/// What the evidence says of a version.
struct Judgement
{
    bool bad = false;
    bool enough = false; ///< enough responses on all routes to call the version good
    bool enoughWhenLate = false; ///< enough to call it good when no time is left
    std::set<BackendServerId>
        suspects; ///< servers of it that are bad, of a version that may not be
    std::uint32_t responses = 0; ///< of the new version
    std::string reason; ///< of a bad version: route, bad responses of both versions

    auto operator==(const Judgement &) const -> bool = default;
};

/// The responses that a judgement takes into account.
enum class EvidenceScope {
    All, ///< all that were reported, and those reported lately by themselves
    /// Those reported lately. While the share rises, the load of the servers changes, and earlier
    /// responses say nothing of later ones.
    Recent,
};

/// Collects the reports of all VMs on one roll-out.
class RolloutJudge
{
public:
    explicit RolloutJudge(const RolloutJudgeOptions &options);

    /// Adds the counts of a report.
    auto add(const EvidenceCounts &counts, TimePoint now) -> void;
    /// Judges the new version. It may turn bad after many good responses, so what was reported
    /// lately always counts by itself.
    [[nodiscard]] auto judge(EvidenceScope scope) const -> Judgement;

private:
    struct Finding;

    [[nodiscard]] auto judgeCounts(const EvidenceCounts &counts) const -> Judgement;
    [[nodiscard]] auto compare(const ResponseCounts &inForce, const ResponseCounts &tried) const
        -> Finding;
    auto setEnough(Judgement &judgement) const -> void;

    RolloutJudgeOptions m_options;
    EvidenceCounts m_all;
    EvidenceCounts m_recent; ///< of the present window
    EvidenceCounts m_previous; ///< of the window before it
    TimePoint m_windowSince;
};

} // namespace figlanding
