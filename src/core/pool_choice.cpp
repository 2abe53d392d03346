#include "figlanding/pool_choice.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <numeric>

namespace figlanding {

namespace {

auto randomIndex(std::size_t count, RandomEngine &random) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

auto medianOf(std::vector<double> values) -> double
{
    if (values.empty()) {
        return 0.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

auto RoundRobinBalancer::choose(PoolCandidates candidates, RandomEngine & /*random*/,
                                TimePoint /*now*/) -> std::size_t
{
    return m_next++ % candidates.size();
}

void RoundRobinBalancer::onStart(const BackendServerId & /*server*/, TimePoint /*now*/)
{ }

void RoundRobinBalancer::onEnd(const BackendServerId & /*server*/,
                               const PoolRequestResult & /*end*/, TimePoint /*now*/)
{ }

auto LeastRequestsBalancer::inFlight(const BackendServerId &server) const -> std::uint32_t
{
    const auto found = m_inFlight.find(server);
    return found == m_inFlight.end() ? 0 : found->second;
}

auto LeastRequestsBalancer::choose(PoolCandidates candidates, RandomEngine &random,
                                   TimePoint /*now*/) -> std::size_t
{
    // Starting the scan at a random candidate breaks ties at random.
    const auto offset = randomIndex(candidates.size(), random);
    auto best = offset;
    for (auto step = std::size_t{1}; step < candidates.size(); ++step) {
        const auto index = (offset + step) % candidates.size();
        if (inFlight(candidates[index]) < inFlight(candidates[best])) {
            best = index;
        }
    }
    return best;
}

void LeastRequestsBalancer::onStart(const BackendServerId &server, TimePoint /*now*/)
{
    ++m_inFlight[server];
}

void LeastRequestsBalancer::onEnd(const BackendServerId &server, const PoolRequestResult & /*end*/,
                                  TimePoint /*now*/)
{
    const auto found = m_inFlight.find(server);
    if (found != m_inFlight.end() && --found->second == 0) {
        m_inFlight.erase(found);
    }
}

LatencyAwareBalancer::LatencyAwareBalancer(const LatencyAwareOptions &options)
    : m_options(options)
{ }

auto LatencyAwareBalancer::statsOf(const BackendServerId &server) -> ServerStats &
{
    return m_stats
        .try_emplace(server, ServerStats{.latency = DecayingAverage(m_options.timeConstant)})
        .first->second;
}

auto LatencyAwareBalancer::estimate(const ServerStats &stats, TimePoint now) const -> Estimate
{
    const auto oldestAge = stats.startedAt.empty()
        ? 0.0
        : toSeconds(now - *std::min_element(stats.startedAt.begin(), stats.startedAt.end()));
    const auto latency = std::max(stats.latency.decayedValue(now), oldestAge);
    const auto inFlightCount = static_cast<double>(stats.startedAt.size());
    return Estimate{.latency = latency, .score = latency * (inFlightCount + 1.0)};
}

auto LatencyAwareBalancer::estimates(PoolCandidates candidates, TimePoint now)
    -> std::vector<Estimate>
{
    auto result = std::vector<Estimate>{};
    auto known = std::vector<double>{};
    for (const auto &server : candidates) {
        const auto &stats = statsOf(server);
        result.push_back(estimate(stats, now));
        if (stats.latency.count() > 0) {
            known.push_back(result.back().latency);
        }
    }
    m_median = medianOf(std::move(known));
    for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
        const auto &stats = statsOf(candidates[index]);
        if (stats.latency.count() == 0) {
            result[index].latency = std::max(result[index].latency, m_median);
            result[index].score =
                result[index].latency * (static_cast<double>(stats.startedAt.size()) + 1.0);
        }
    }
    return result;
}

auto LatencyAwareBalancer::choose(PoolCandidates candidates, RandomEngine &random, TimePoint now)
    -> std::size_t
{
    const auto all = estimates(candidates, now);
    auto eligible = std::vector<std::size_t>{};
    for (auto index = std::size_t{0}; index < all.size(); ++index) {
        if (all[index].latency <= m_options.outlierFactor * m_median) {
            eligible.push_back(index);
        }
    }
    if (eligible.empty()) {
        eligible.resize(all.size());
        std::iota(eligible.begin(), eligible.end(), std::size_t{0});
    }
    const auto first = randomIndex(eligible.size(), random);
    if (eligible.size() == 1) {
        return eligible[first];
    }
    const auto second = (first + 1 + randomIndex(eligible.size() - 1, random)) % eligible.size();
    return all[eligible[second]].score < all[eligible[first]].score ? eligible[second]
                                                                    : eligible[first];
}

void LatencyAwareBalancer::onStart(const BackendServerId &server, TimePoint now)
{
    statsOf(server).startedAt.push_back(now);
}

void LatencyAwareBalancer::onEnd(const BackendServerId &server, const PoolRequestResult &end,
                                 TimePoint now)
{
    auto &stats = statsOf(server);
    const auto found = std::find(stats.startedAt.begin(), stats.startedAt.end(), end.startedAt);
    if (found != stats.startedAt.end()) {
        stats.startedAt.erase(found);
    }
    const auto measured = toSeconds(now - end.startedAt);
    stats.latency.addPeakSensitive(
        end.failed ? std::max(measured, m_options.failureFactor * m_median) : measured, now);
}

} // namespace figlanding
