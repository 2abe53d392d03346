#include "figlanding/pool_choice.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <numeric>

namespace figlanding {

namespace {

auto draw(std::size_t count, RandomEngine &random) -> std::size_t
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

auto RoundRobinChoice::choose(PoolCandidates candidates, RandomEngine & /*random*/,
                              TimePoint /*now*/) -> std::size_t
{
    return m_next++ % candidates.size();
}

void RoundRobinChoice::onStart(const BackendServerId & /*server*/, TimePoint /*now*/)
{ }

void RoundRobinChoice::onEnd(const BackendServerId & /*server*/, const PoolEnd & /*end*/,
                             TimePoint /*now*/)
{ }

auto LeastRequestsChoice::inFlight(const BackendServerId &server) const -> std::uint32_t
{
    const auto found = m_inFlight.find(server);
    return found == m_inFlight.end() ? 0 : found->second;
}

auto LeastRequestsChoice::choose(PoolCandidates candidates, RandomEngine &random, TimePoint /*now*/)
    -> std::size_t
{
    // Starting at a random candidate draws among equals.
    const auto offset = draw(candidates.size(), random);
    auto best = offset;
    for (auto step = std::size_t{1}; step < candidates.size(); ++step) {
        const auto index = (offset + step) % candidates.size();
        if (inFlight(candidates[index]) < inFlight(candidates[best])) {
            best = index;
        }
    }
    return best;
}

void LeastRequestsChoice::onStart(const BackendServerId &server, TimePoint /*now*/)
{
    ++m_inFlight[server];
}

void LeastRequestsChoice::onEnd(const BackendServerId &server, const PoolEnd & /*end*/,
                                TimePoint /*now*/)
{
    const auto found = m_inFlight.find(server);
    if (found != m_inFlight.end() && --found->second == 0) {
        m_inFlight.erase(found);
    }
}

LatencyAwareChoice::LatencyAwareChoice(const LatencyAwareOptions &options)
    : m_options(options)
{ }

auto LatencyAwareChoice::recordOf(const BackendServerId &server) -> ServerRecord &
{
    return m_records
        .try_emplace(server, ServerRecord{.latency = DecayingAverage(m_options.timeConstant)})
        .first->second;
}

auto LatencyAwareChoice::estimate(const ServerRecord &record, TimePoint now) const -> Estimate
{
    const auto oldest = record.startedAt.empty()
        ? 0.0
        : toSeconds(now - *std::min_element(record.startedAt.begin(), record.startedAt.end()));
    const auto latency = std::max(record.latency.decayedValue(now), oldest);
    const auto before = static_cast<double>(record.startedAt.size());
    return Estimate{.latency = latency, .score = latency * (before + 1.0)};
}

auto LatencyAwareChoice::estimates(PoolCandidates candidates, TimePoint now)
    -> std::vector<Estimate>
{
    auto result = std::vector<Estimate>{};
    auto known = std::vector<double>{};
    for (const auto &server : candidates) {
        const auto &record = recordOf(server);
        result.push_back(estimate(record, now));
        if (record.latency.count() > 0) {
            known.push_back(result.back().latency);
        }
    }
    m_median = medianOf(std::move(known));
    for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
        const auto &record = recordOf(candidates[index]);
        if (record.latency.count() == 0) {
            result[index].latency = std::max(result[index].latency, m_median);
            result[index].score =
                result[index].latency * (static_cast<double>(record.startedAt.size()) + 1.0);
        }
    }
    return result;
}

auto LatencyAwareChoice::choose(PoolCandidates candidates, RandomEngine &random, TimePoint now)
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
    const auto first = draw(eligible.size(), random);
    if (eligible.size() == 1) {
        return eligible[first];
    }
    const auto second = (first + 1 + draw(eligible.size() - 1, random)) % eligible.size();
    return all[eligible[second]].score < all[eligible[first]].score ? eligible[second]
                                                                    : eligible[first];
}

void LatencyAwareChoice::onStart(const BackendServerId &server, TimePoint now)
{
    recordOf(server).startedAt.push_back(now);
}

void LatencyAwareChoice::onEnd(const BackendServerId &server, const PoolEnd &end, TimePoint now)
{
    auto &record = recordOf(server);
    const auto found = std::find(record.startedAt.begin(), record.startedAt.end(), end.startedAt);
    if (found != record.startedAt.end()) {
        record.startedAt.erase(found);
    }
    const auto measured = toSeconds(now - end.startedAt);
    record.latency.addPeakSensitive(
        end.failed ? std::max(measured, m_options.failureFactor * m_median) : measured, now);
}

} // namespace figlanding
