#include "figlanding/gateway/key_plan_summary.h"

#include "core/gateway/candidate_loads.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

auto waitsOf(const CandidateLoads &candidateLoads) -> PlacementWaits
{
    auto result = PlacementWaits{};
    auto total = 0.0;
    for (const auto &row : candidateLoads.rows()) {
        const auto wait = candidateLoads.waitMs(row);
        result.meanMs += wait * row.load;
        result.longestMs = std::max(result.longestMs, wait);
        total += row.load;
    }
    result.meanMs /= total > 0.0 ? total : 1.0;
    return result;
}

} // namespace

auto summarise(const OwnershipTable &table, std::span<const PlannedMove> moves,
               std::span<const OwnerCandidate> candidates, std::span<const float> loads,
               const KeyPlanOptions &options) -> KeyPlanSummary
{
    const auto present = CandidateLoads(table, candidates, loads, options);
    auto result = KeyPlanSummary{.servers = candidates.size(),
                                 .ranges = table.ranges.size(),
                                 .moves = moves.size(),
                                 .before = waitsOf(present)};
    for (const auto &row : present.rows()) {
        result.requests += row.load;
    }
    auto planned = table;
    for (const auto &move : moves) {
        result.keys += move.keys.size();
        planned = withMove(std::move(planned), move);
    }
    result.after = moves.empty() ? result.before
                                 : waitsOf(CandidateLoads(planned, candidates, loads, options));
    return result;
}

} // namespace figlanding
