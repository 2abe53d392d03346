#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <cstdint>
#include <map>
#include <string>

/// @file
/// Distributed token buckets that limit each team's rate and burst across all VMs without a
/// round trip per request.
///
/// The limit holds for a team that sends several times its rate through all VMs at once, and a
/// team below its rate is not refused because its requests are spread unevenly. Each VM keeps its
/// own estimate of the team's single token bucket. It subtracts the requests that it admits, those
/// that other VMs report, and an extrapolation of what they admitted since their last report. While
/// the bucket is well filled, a VM admits without further checks. When few tokens are left, every
/// VM admits the same fraction of its requests: the rate divided by the demand that all VMs report;
/// otherwise every VM would spend the same remaining tokens. A fraction needs no tokens of a VM's
/// own, which in a large fleet would be less than one. Requests admitted in excess make the level
/// negative, which lowers the fraction. VMs that have not reported yet are assumed to have the same
/// demand, so that VMs which all start at the same time do not each admit the whole rate.
///
/// Only requests that run count against a rate. A caller whose request is refused for another
/// reason comes back, and each return would cost its team another token otherwise.

namespace figlanding {

/// A team's rate and burst, summed over all VMs.
struct TeamRate
{
    double perSecond = 0.0; ///< requests per second; 0: no limit
    double burst = 0.0; ///< requests

    auto operator==(const TeamRate &) const -> bool = default;
};

/// One VM's report on a team.
struct TeamUsage
{
    /// Requests since the start of the VM's process, without those that did not run.
    std::uint64_t admitted = 0;
    double demand = 0.0; ///< requests per second, admitted or refused
    double admittedRate = 0.0; ///< admitted requests per second

    auto operator==(const TeamUsage &) const -> bool = default;
};

/// Settings of TeamLimits.
struct TeamLimitOptions
{
    milliseconds window{1500}; ///< time constant of the moving averages
    milliseconds reportLifetime{5000}; ///< age at which a VM's last report is ignored
    milliseconds maxExtrapolation{1000}; ///< time after a report for which its rate is extrapolated
    double usableBurstFraction = 0.75; ///< the rest compensates for the delay of reports
    /// Fraction of the burst; at or above this level a VM admits without a check of its share.
    double freeAdmissionFraction = 0.3;
    /// Time in which a deviation of the level is to be corrected once few tokens are left.
    milliseconds correctionTime{1000};

    auto operator==(const TeamLimitOptions &) const -> bool = default;
};

/// One VM's estimates of the token buckets.
class TeamLimits
{
public:
    /// @param startedAt when this VM's process started; its first requests tell little of a demand
    explicit TeamLimits(const TeamLimitOptions &options, TimePoint startedAt = {});

    /// Counts a request of a team.
    /// @return whether the request is within the team's rate
    [[nodiscard]] auto admit(const TeamId &team, const TeamRate &rate, TimePoint now) -> bool;
    /// Returns the token of an admitted request that did not run. The team must have been passed to
    /// admit() before.
    auto refund(const TeamId &team) -> void;
    /// Processes another VM's report.
    /// @param incarnation of the VM's process; the counters restart with it
    auto report(const VmId &vm, const std::string &incarnation,
                const std::map<TeamId, TeamUsage> &usageByTeam, TimePoint now) -> void;
    /// Sets the number of serving VMs, including this one.
    auto setFleetSize(std::size_t vms) -> void;
    /// Returns this VM's report: the teams with demand, and those whose demand has ended since the
    /// last report.
    [[nodiscard]] auto takeUsage(TimePoint now) -> std::map<TeamId, TeamUsage>;
    /// Returns the time after which a refused request may be admitted.
    [[nodiscard]] auto retryAfter(const TeamId &team, const TeamRate &rate) const -> Duration;
    /// Returns the estimated number of tokens in a team's bucket; negative after excess admissions.
    [[nodiscard]] auto level(const TeamId &team) const -> double;

private:
    struct Bucket
    {
        double level = 0.0;
        double capacity = 0.0; ///< largest level
        /// Sum of the fractions of the requests that are to be admitted, less those that were. The
        /// start value makes the number of admitted requests the nearest whole number.
        double admissionCredit = 0.5;
        TeamUsage use;
        TimePoint updatedAt;
        TimePoint createdAt; ///< when this VM got its first request of the team
        bool reported = false; ///< the last report included demand of the team
    };
    struct Report
    {
        std::string incarnation;
        std::map<TeamId, TeamUsage> usageByTeam;
        TimePoint at;
    };

    auto refreshBucket(const TeamId &team, const TeamRate &rate, TimePoint now) -> Bucket &;
    [[nodiscard]] auto estimateUnreported(const TeamId &team, TimePoint now) const -> double;
    [[nodiscard]] auto averageCorrection(TimePoint now) const -> double;
    [[nodiscard]] auto estimateDemand(const Bucket &bucket, const TeamId &team, TimePoint now) const
        -> double;
    [[nodiscard]] auto admissionFraction(const Bucket &bucket, const TeamId &team,
                                         const TeamRate &rate, double left, TimePoint now) const
        -> double;

    TeamLimitOptions m_options;
    TimePoint m_startedAt;
    double m_fleetSize = 1.0;
    std::map<TeamId, Bucket> m_buckets;
    std::map<VmId, Report> m_reports;
};

} // namespace figlanding
