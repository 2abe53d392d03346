#include "figlanding/gateway/team_limits.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

TeamLimits::TeamLimits(const TeamLimitOptions &options, TimePoint startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{ }

auto TeamLimits::setFleetSize(std::size_t vms) -> void
{
    m_fleetSize = static_cast<double>(std::max<std::size_t>(1, vms));
}

auto TeamLimits::refreshBucket(const TeamId &team, const TeamRate &rate, TimePoint now) -> Bucket &
{
    const auto capacity = std::max(1.0, rate.burst * m_options.usableBurstFraction);
    const auto [found, added] = m_buckets.try_emplace(team);
    auto &bucket = found->second;
    if (added) {
        // It is unknown what the other VMs have admitted recently. All VMs may have started at the
        // same time, so none may admit without regard to the others yet.
        bucket.level = 0.0;
        bucket.updatedAt = now;
        bucket.createdAt = now;
    }
    const auto elapsed = toSeconds(now - bucket.updatedAt);
    const auto decay = std::exp(-elapsed / toSeconds(m_options.window));
    bucket.use.demand *= decay;
    bucket.use.admittedRate *= decay;
    bucket.updatedAt = now;
    bucket.capacity = capacity;
    bucket.level = std::min(capacity, bucket.level + elapsed * rate.perSecond);
    return bucket;
}

// The moving averages of a new process start at none. Returns the factor that corrects them for the
// time that they have covered.
auto TeamLimits::averageCorrection(TimePoint now) const -> double
{
    constexpr auto minAge = Duration(milliseconds(20));
    const auto age = std::max(minAge, now - m_startedAt);
    return 1.0 / (1.0 - std::exp(-toSeconds(age) / toSeconds(m_options.window)));
}

// Returns the demand of all VMs. One that has not reported is assumed to have this VM's demand.
auto TeamLimits::estimateDemand(const Bucket &bucket, const TeamId &team, TimePoint now) const
    -> double
{
    const auto withoutPresent = bucket.use.demand - 1.0 / toSeconds(m_options.window);
    const auto earlier = std::max(0.0, withoutPresent) * averageCorrection(now);
    auto reported = 0.0;
    auto unreported = m_fleetSize - 1.0;
    for (const auto &[vm, report] : m_reports) {
        if (now - report.at >= m_options.reportLifetime) {
            continue;
        }
        unreported -= 1.0;
        const auto found = report.usageByTeam.find(team);
        reported += found == report.usageByTeam.end() ? 0.0 : found->second.demand;
    }
    return std::max(bucket.use.demand, earlier) + reported + earlier * std::max(0.0, unreported);
}

// Returns the fraction of the requests of all VMs that may be admitted if @p left tokens are left.
auto TeamLimits::admissionFraction(const Bucket &bucket, const TeamId &team, const TeamRate &rate,
                                   double left, TimePoint now) const -> double
{
    const auto allowed = rate.perSecond + left / toSeconds(m_options.correctionTime);
    return std::clamp(allowed / std::max(estimateDemand(bucket, team, now), 1.0), 0.0, 1.0);
}

auto TeamLimits::estimateUnreported(const TeamId &team, TimePoint now) const -> double
{
    auto sum = 0.0;
    for (const auto &[vm, report] : m_reports) {
        const auto found = report.usageByTeam.find(team);
        const auto age = now - report.at;
        if (found != report.usageByTeam.end() && age < m_options.reportLifetime) {
            const auto gap = std::min<Duration>(age, m_options.maxExtrapolation);
            sum += found->second.admittedRate * toSeconds(gap);
        }
    }
    return sum;
}

auto TeamLimits::admit(const TeamId &team, const TeamRate &rate, TimePoint now) -> bool
{
    if (rate.perSecond <= 0.0) {
        return true;
    }
    auto &bucket = refreshBucket(team, rate, now);
    const auto step = 1.0 / toSeconds(m_options.window);
    bucket.use.demand += step;
    const auto left = bucket.level - estimateUnreported(team, now);
    const auto free = left >= std::max(1.0, rate.burst * m_options.freeAdmissionFraction);
    if (!free) {
        bucket.admissionCredit += admissionFraction(bucket, team, rate, left, now);
        if (bucket.admissionCredit < 1.0) {
            return false;
        }
        bucket.admissionCredit -= 1.0;
    }
    bucket.level -= 1.0;
    bucket.use.admitted += 1;
    bucket.use.admittedRate += step;
    return true;
}

auto TeamLimits::refund(const TeamId &team) -> void
{
    auto &bucket = m_buckets.at(team);
    bucket.level = std::min(bucket.capacity, bucket.level + 1.0);
    bucket.use.admitted -= 1;
    bucket.use.admittedRate =
        std::max(0.0, bucket.use.admittedRate - 1.0 / toSeconds(m_options.window));
}

auto TeamLimits::report(const VmId &vm, const std::string &incarnation,
                        const std::map<TeamId, TeamUsage> &usageByTeam, TimePoint now) -> void
{
    auto &last = m_reports[vm];
    const auto sameRun = last.incarnation == incarnation;
    for (const auto &[team, use] : usageByTeam) {
        const auto known = last.usageByTeam.find(team);
        const auto before = sameRun && known != last.usageByTeam.end() ? known->second.admitted : 0;
        const auto bucket = m_buckets.find(team);
        if (bucket == m_buckets.end()) {
            continue;
        }
        // Negative after refunds.
        const auto more = static_cast<double>(static_cast<std::int64_t>(use.admitted - before));
        // The counter of a process that was not known before may include requests that the bucket
        // has recovered from.
        const auto unseen =
            std::min<Duration>(now - bucket->second.createdAt, m_options.maxExtrapolation);
        const auto recent = use.admittedRate * averageCorrection(now) * toSeconds(unseen);
        auto &level = bucket->second.level;
        level =
            std::min(bucket->second.capacity, level - (sameRun ? more : std::min(more, recent)));
    }
    if (!sameRun) {
        last.usageByTeam.clear();
    }
    for (const auto &[team, use] : usageByTeam) {
        last.usageByTeam[team] = use;
    }
    last.incarnation = incarnation;
    last.at = now;
}

auto TeamLimits::takeUsage(TimePoint now) -> std::map<TeamId, TeamUsage>
{
    constexpr auto negligible = 0.1; // requests per second
    auto result = std::map<TeamId, TeamUsage>{};
    for (auto &[team, bucket] : m_buckets) {
        auto use = bucket.use;
        const auto decay =
            std::exp(-toSeconds(now - bucket.updatedAt) / toSeconds(m_options.window));
        use.demand *= decay * averageCorrection(now);
        use.admittedRate *= decay;
        const auto active = use.demand > negligible;
        if (active || bucket.reported) {
            result.emplace(team, use);
        }
        bucket.reported = active;
    }
    return result;
}

auto TeamLimits::retryAfter(const TeamId &team, const TeamRate &rate) const -> Duration
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || rate.perSecond <= 0.0) {
        return Duration::zero();
    }
    const auto &bucket = found->second;
    const auto missing = std::max(0.0, 1.0 - bucket.level);
    // Refused callers queue up: one that is refused at this VM can be admitted only after those
    // that were refused before it.
    const auto excess = std::max(0.0, bucket.use.demand - bucket.use.admittedRate);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>((missing + excess) / rate.perSecond));
}

auto TeamLimits::level(const TeamId &team) const -> double
{
    const auto found = m_buckets.find(team);
    return found == m_buckets.end() ? 0.0 : found->second.level;
}

} // namespace figlanding
