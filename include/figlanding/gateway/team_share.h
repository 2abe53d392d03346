#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"

#include <map>

/// @file
/// A team's fleet-wide rate, divided among the VMs by demand.
///
/// Answers a team that sends several times its rate through all VMs at once. Each VM knows the
/// demand that the others last reported and takes the share of rate and burst that its own
/// demand has of the whole. The shares of VMs with the same reports add up to one, so no request
/// waits for an answer of another VM.

namespace figlanding {

/// A team's rate and burst for all VMs together.
struct TeamRate
{
    double perSecond = 0.0;
    double burst = 0.0;

    auto operator==(const TeamRate &) const -> bool = default;
};

/// Settings of TeamShares.
struct TeamShareOptions
{
    milliseconds demandWindow{1000}; ///< time constant of the demand's average
    milliseconds reportLifetime{5000}; ///< a silent VM keeps its share for this long
    double idleShare = 0.2; ///< part of the rate that is divided evenly, for VMs without demand

    auto operator==(const TeamShareOptions &) const -> bool = default;
};

/// The shares of one VM.
class TeamShares
{
public:
    explicit TeamShares(const TeamShareOptions &options);

    /// Counts a request of a team and decides whether it is within the VM's share.
    [[nodiscard]] auto admit(const TeamId &team, const TeamRate &rate, TimePoint now) -> bool;
    /// Takes another VM's demand, in requests per second.
    auto report(const VmId &vm, const std::map<TeamId, double> &demand, TimePoint now) -> void;
    /// Sets the number of VMs that serve, with this one.
    auto setFleetSize(std::size_t vms) -> void;
    /// Returns this VM's demand, in requests per second.
    [[nodiscard]] auto demand(TimePoint now) -> std::map<TeamId, double>;
    /// Returns how long until the share has room for one request.
    [[nodiscard]] auto retryAfter(const TeamId &team, const TeamRate &rate, TimePoint now) -> Duration;

private:
    struct Bucket
    {
        double level = 0.0; ///< requests
        double demand = 0.0; ///< requests per second
        TimePoint updatedAt;
        bool started = false;
    };
    struct Report
    {
        std::map<TeamId, double> demand;
        TimePoint at;
    };

    auto update(Bucket &bucket, const TeamId &team, const TeamRate &rate, TimePoint now) -> double;
    auto decay(Bucket &bucket, TimePoint now) const -> void;
    [[nodiscard]] auto share(const Bucket &bucket, const TeamId &team, const TeamRate &rate,
                             TimePoint now) const -> double;

    TeamShareOptions m_options;
    std::size_t m_vms = 1;
    std::map<TeamId, Bucket> m_buckets;
    std::map<VmId, Report> m_reports;
};

} // namespace figlanding
