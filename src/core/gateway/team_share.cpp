#include "figlanding/gateway/team_share.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TeamShares::TeamShares(const TeamShareOptions &options)
    : m_options(options)
{ }

auto TeamShares::setFleetSize(std::size_t vms) -> void
{
    m_vms = std::max<std::size_t>(1, vms);
}

auto TeamShares::report(const VmId &vm, const std::map<TeamId, double> &demand, TimePoint now)
    -> void
{
    m_reports[vm] = {.demand = demand, .at = now};
}

auto TeamShares::share(const Bucket &bucket, const TeamId &team, const TeamRate &rate,
                       TimePoint now) const -> double
{
    auto total = bucket.demand;
    for (const auto &[vm, report] : m_reports) {
        const auto found = report.demand.find(team);
        if (found != report.demand.end() && now - report.at < m_options.reportLifetime) {
            total += found->second;
        }
    }
    const auto even = m_options.idleShare * rate.perSecond / static_cast<double>(m_vms);
    const auto sum = total + m_options.idleShare * rate.perSecond;
    return sum > 0.0 ? (bucket.demand + even) / sum : 1.0 / static_cast<double>(m_vms);
}

auto TeamShares::decay(Bucket &bucket, TimePoint now) const -> void
{
    const auto elapsed = toSeconds(now - bucket.updatedAt);
    bucket.demand *= std::exp(-elapsed / toSeconds(m_options.demandWindow));
    bucket.updatedAt = now;
}

auto TeamShares::update(Bucket &bucket, const TeamId &team, const TeamRate &rate, TimePoint now)
    -> double
{
    if (!bucket.started) {
        bucket = {.level = rate.burst / static_cast<double>(m_vms), .updatedAt = now, .started = true};
    }
    const auto elapsed = toSeconds(now - bucket.updatedAt);
    decay(bucket, now);
    const auto part = share(bucket, team, rate, now);
    // A share of the burst below one request would never admit anything.
    const auto capacity = std::max(1.0, rate.burst * part);
    bucket.level = std::min(capacity, bucket.level + elapsed * rate.perSecond * part);
    return part;
}

auto TeamShares::admit(const TeamId &team, const TeamRate &rate, TimePoint now) -> bool
{
    if (rate.perSecond <= 0.0) {
        return true;
    }
    auto &bucket = m_buckets[team];
    update(bucket, team, rate, now);
    bucket.demand += 1.0 / toSeconds(m_options.demandWindow);
    if (bucket.level < 1.0) {
        return false;
    }
    bucket.level -= 1.0;
    return true;
}

auto TeamShares::demand(TimePoint now) -> std::map<TeamId, double>
{
    constexpr auto negligible = 0.05; // requests per second
    auto result = std::map<TeamId, double>{};
    for (const auto &[team, bucket] : m_buckets) {
        auto current = bucket;
        decay(current, now);
        if (current.demand > negligible) {
            result.emplace(team, current.demand);
        }
    }
    return result;
}

auto TeamShares::retryAfter(const TeamId &team, const TeamRate &rate, TimePoint now) -> Duration
{
    auto &bucket = m_buckets[team];
    const auto part = update(bucket, team, rate, now);
    const auto missing = std::max(0.0, 1.0 - bucket.level);
    // Refused callers queue up behind each other: the time grows with the excess of the demand.
    const auto pressure = std::max(1.0, bucket.demand / std::max(0.1, rate.perSecond * part));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / (rate.perSecond * part) * pressure));
}

} // namespace figlanding
