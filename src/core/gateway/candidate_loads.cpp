#include "core/gateway/candidate_loads.h"

#include "figlanding/gateway/steady_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figlanding {

namespace {

constexpr double unitServiceMs = 150.0; ///< service time of a server whose slots count once
constexpr double countVariance = 0.5; ///< of exponentially decaying counts, divided by their mean
/// Mean utilisations for which targets are planned. With less load, the best placement would leave
/// slow servers without keys, and load may rise; with more, no wait is short.
constexpr double minPlannedUtilisation = 0.5;
constexpr double maxPlannedUtilisation = 0.85;
/// Part of a proportional share that each server keeps: without requests, nothing would correct an
/// estimate of its speed that is too low.
constexpr double minShare = 0.7;
/// No request waits longer, whatever the load: its caller gives up.
constexpr double longestWaitMs = 10'000.0;
constexpr int levelSteps = 20; ///< of the bisection for the common marginal response time

} // namespace

CandidateLoads::CandidateLoads(const OwnershipTable &table,
                               std::span<const OwnerCandidate> candidates,
                               std::span<const float> loads, const KeyPlanOptions &options)
    : m_loads(loads)
    , m_options(options)
{
    if (!loads.empty()) {
        m_sums.reserve(shardKeyCount + 1);
        m_variances.reserve(shardKeyCount + 1);
        m_sums.push_back(0.0);
        m_variances.push_back(0.0);
        for (const auto load : loads) {
            const auto variance = load >= hotKeyLoad ? countVariance : options.loadVariance;
            m_sums.push_back(m_sums.back() + load);
            m_variances.push_back(m_variances.back() + load * variance);
        }
    }
    auto rowOf = std::map<ServerIncarnation, std::size_t>{};
    for (const auto &candidate : candidates) {
        rowOf.emplace(candidate.incarnation, m_rows.size());
        m_rows.push_back({.candidate = &candidate});
        m_models.try_emplace(candidate.slots, candidate.slots, options.serviceTimeVariation);
    }
    for (const auto &range : table.ranges) {
        if (const auto found = rowOf.find(range.owner); found != rowOf.end()) {
            auto &row = m_rows[found->second];
            row.load += loadOf(range.keys);
            row.variance += varianceOf(range.keys);
            row.keys += range.keys.size();
        }
    }
}

auto CandidateLoads::loadOf(const KeyRange &keys) const -> double
{
    const auto known = m_sums.empty() ? 0.0 : m_sums[keys.to + 1] - m_sums[keys.from];
    return known + m_options.baseLoadPerKey * keys.size();
}

auto CandidateLoads::varianceOf(const KeyRange &keys) const -> double
{
    return m_variances.empty() ? 0.0 : m_variances[keys.to + 1] - m_variances[keys.from];
}

auto CandidateLoads::find(const ServerIncarnation &incarnation) -> CandidateRow *
{
    const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const CandidateRow &row) {
        return row.candidate->incarnation == incarnation;
    });
    return found == m_rows.end() ? nullptr : &*found;
}

auto CandidateLoads::move(const KeyRange &keys, CandidateRow &from, CandidateRow &to) -> void
{
    const auto load = loadOf(keys);
    const auto variance = varianceOf(keys);
    from.load -= load;
    to.load += load;
    from.variance -= variance;
    to.variance += variance;
    from.keys -= keys.size();
    to.keys += keys.size();
}

// Finds the marginal response time at which the loads of all servers add up to the total.
auto CandidateLoads::setTargets(double additional) -> void
{
    const auto allCold = std::all_of(m_rows.begin(), m_rows.end(),
                                     [](const CandidateRow &row) { return row.candidate->cold; });
    const auto counts = [&](const CandidateRow &row) {
        return !row.cannotShedLoad && (allCold || !row.candidate->cold);
    };
    auto total = additional;
    auto capacity = 0.0;
    auto longestMs = 0.0;
    for (const auto &row : m_rows) {
        total += row.cannotShedLoad ? 0.0 : row.load;
        capacity += counts(row) ? fullLoad(row) : 0.0;
        longestMs = std::max(longestMs, marginalMs(row, 2.0 * fullLoad(row)));
    }
    if (capacity <= 0.0) {
        return;
    }
    const auto utilisation =
        std::clamp(total / capacity, minPlannedUtilisation, maxPlannedUtilisation);
    auto low = 0.0;
    auto high = longestMs;
    for (auto step = 0; step < levelSteps; ++step) {
        const auto level = (low + high) / 2.0;
        auto sum = 0.0;
        for (const auto &row : m_rows) {
            sum += counts(row) ? loadAt(row, level, utilisation) : 0.0;
        }
        (sum < utilisation * capacity ? low : high) = level;
    }
    const auto scale = total / (utilisation * capacity);
    for (auto &row : m_rows) {
        row.target = counts(row) ? loadAt(row, high, utilisation) * scale : 0.0;
    }
}

auto CandidateLoads::cheapest() -> CandidateRow &
{
    const auto cost = [this](const CandidateRow &row) {
        return std::pair(row.candidate->cold, marginalMs(row, row.load));
    };
    return *std::min_element(m_rows.begin(), m_rows.end(),
                             [&](const CandidateRow &left, const CandidateRow &right) {
                                 return cost(left) < cost(right);
                             });
}

auto CandidateLoads::dearest() -> CandidateRow *
{
    auto *result = static_cast<CandidateRow *>(nullptr);
    auto highest = 0.0;
    for (auto &row : m_rows) {
        const auto ms = marginalMs(row, row.load);
        if (!row.cannotShedLoad && !row.isSettled && (result == nullptr || ms > highest)) {
            result = &row;
            highest = ms;
        }
    }
    return result;
}

auto CandidateLoads::fairKeys() const -> double
{
    auto capacity = 0.0;
    for (const auto &row : m_rows) {
        capacity += row.candidate->cold ? 0.0 : row.candidate->capacity;
    }
    return capacity > 0.0 ? shardKeyCount / capacity : 0.0;
}

auto CandidateLoads::marginalMs(const CandidateRow &row, double load) const -> double
{
    return serviceMs(row) * modelOf(row).marginalResponse(load / fullLoad(row));
}

auto CandidateLoads::waitMs(const CandidateRow &row) const -> double
{
    const auto wait = serviceMs(row) * modelOf(row).wait(row.load / fullLoad(row));
    return std::min(wait, longestWaitMs);
}

auto CandidateLoads::savedMs(const CandidateRow &from, const CandidateRow &to, double load) const
    -> double
{
    const auto fewer = queuedAt(from, from.load) - queuedAt(from, from.load - load);
    const auto more = queuedAt(to, to.load + load) - queuedAt(to, to.load);
    // By Little's law, a mean number of requests is their rate times their mean response time.
    return (fewer - more) * unitServiceMs * m_options.saturatedLoad / load;
}

// Returns the load at which the slots of a server are always busy.
auto CandidateLoads::fullLoad(const CandidateRow &row) const -> double
{
    return row.candidate->capacity * m_options.saturatedLoad;
}

auto CandidateLoads::serviceMs(const CandidateRow &row) -> double
{
    return unitServiceMs * row.candidate->slots / row.candidate->capacity;
}

auto CandidateLoads::modelOf(const CandidateRow &row) const -> const ResponseModel &
{
    return m_models.at(row.candidate->slots);
}

// Returns the mean number of requests at a server, waiting ones included.
auto CandidateLoads::queuedAt(const CandidateRow &row, double load) const -> double
{
    return row.candidate->slots * modelOf(row).requestsPerSlot(load / fullLoad(row));
}

// Returns the load at which a further request costs @p marginalMs, but no less than the minimum
// share of a server at the mean utilisation @p utilisation.
auto CandidateLoads::loadAt(const CandidateRow &row, double marginalMs, double utilisation) const
    -> double
{
    const auto best = modelOf(row).utilisationAt(marginalMs / serviceMs(row));
    return fullLoad(row) * std::max(best, minShare * utilisation);
}

} // namespace figlanding
