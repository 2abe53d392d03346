#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <string>

/// @file
/// A team's rate and burst, kept by all VMs together without asking each other.
///
/// Answers a team that sends several times its rate through all VMs at once, and one that stays
/// below its rate but is spread unevenly. Each VM keeps its own estimate of the team's one bucket:
/// it takes out what it admits itself, what the others report that they admitted, and what they
/// are likely to have admitted since. While the bucket is well filled, a VM admits freely. Near
/// its end a VM admits only the part of the rate that its share of the demand is, since all VMs
/// would otherwise spend the same rest. What is admitted too much meanwhile is a debt that later
/// requests wait for.

namespace figlanding {

/// A team's rate and burst for all VMs together.
struct TeamRate
{
    double perSecond = 0.0;
    double burst = 0.0;

    auto operator==(const TeamRate &) const -> bool = default;
};

/// What one VM says of a team.
struct TeamUse
{
    std::uint64_t admitted = 0; ///< requests since the start of its process
    double demand = 0.0; ///< requests per second, admitted or not
    double admittedRate = 0.0; ///< requests per second

    auto operator==(const TeamUse &) const -> bool = default;
};

/// Settings of TeamLimits.
struct TeamLimitOptions
{
    milliseconds window{1500}; ///< time constant of the rates
    milliseconds reportLifetime{5000}; ///< a silent VM counts as admitting on for this long
    milliseconds longestGap{1000}; ///< ... but for no more than this since its report
    double usableBurst = 0.75; ///< the rest makes up for the delay of reports
    double freePart = 0.3; ///< of the burst; above it a VM admits freely
    double evenPart = 0.2; ///< of the rate; divided evenly, for VMs without demand so far

    auto operator==(const TeamLimitOptions &) const -> bool = default;
};

/// The estimates of one VM.
class TeamLimits
{
public:
    explicit TeamLimits(const TeamLimitOptions &options);

    /// Counts a request of a team and decides whether it is within the team's rate.
    [[nodiscard]] auto admit(const TeamId &team, const TeamRate &rate, TimePoint now) -> bool;
    /// Takes another VM's report.
    auto report(const VmId &vm, const std::string &incarnation,
                const std::map<TeamId, TeamUse> &uses, TimePoint now) -> void;
    /// Sets the number of VMs that serve, with this one.
    auto setFleetSize(std::size_t vms) -> void;
    /// Returns this VM's report: the teams that sent requests since the last one, and those that
    /// have just stopped.
    [[nodiscard]] auto takeUses(TimePoint now) -> std::map<TeamId, TeamUse>;
    /// Returns after which time a refused request may be admitted.
    [[nodiscard]] auto retryAfter(const TeamId &team, const TeamRate &rate) const -> Duration;
    /// Returns the estimated content of a team's bucket, in requests; negative for a debt.
    [[nodiscard]] auto level(const TeamId &team) const -> double;

private:
    struct Bucket
    {
        double level = 0.0;
        double ownPart = 0.0; ///< content of the share that is used near the end
        TeamUse use;
        TimePoint updatedAt;
        bool reported = false; ///< the others know of demand
    };
    struct Report
    {
        std::string incarnation;
        std::map<TeamId, TeamUse> uses;
        TimePoint at;
    };

    auto bucketOf(const TeamId &team, const TeamRate &rate, TimePoint now) -> Bucket &;
    [[nodiscard]] auto unreported(const TeamId &team, TimePoint now) const -> double;
    [[nodiscard]] auto share(const Bucket &bucket, const TeamId &team, const TeamRate &rate,
                             TimePoint now) const -> double;

    TeamLimitOptions m_options;
    double m_vms = 1.0;
    std::map<TeamId, Bucket> m_buckets;
    std::map<VmId, Report> m_reports;
};

} // namespace figlanding
