#include "core/gateway/candidate_loads.h"
#include "figlanding/gateway/key_ownership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

// Planning of moves between servers. The table itself is in key_ownership.cpp.

namespace figlanding {

namespace {

// Returns the shortest prefix of @p keys whose load reaches @p wanted, or all keys if none does.
auto prefixWithLoad(const CandidateLoads &candidateLoads, const KeyRange &keys, double wanted)
    -> KeyRange
{
    auto sum = 0.0;
    for (auto key = keys.from; key <= keys.to; ++key) {
        sum += candidateLoads.loadOf(key);
        if (sum >= wanted) {
            return {keys.from, key};
        }
    }
    return keys;
}

// Returns the shortest run of keys within @p keys whose load reaches @p wanted, if there is one.
auto shortestRunIn(const CandidateLoads &candidateLoads, const KeyRange &keys, double wanted)
    -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    auto sum = 0.0;
    auto from = keys.from;
    for (auto key = keys.from; key <= keys.to; ++key) {
        sum += candidateLoads.loadOf(key);
        while (from < key && sum - candidateLoads.loadOf(from) >= wanted) {
            sum -= candidateLoads.loadOf(from);
            ++from;
        }
        if (sum >= wanted && (!best || key - from < best->to - best->from)) {
            best = KeyRange{from, key};
        }
    }
    return best;
}

// Returns the shortest run of keys within a range of @p owner whose load reaches @p wanted.
auto shortestRun(const OwnershipTable &table, const CandidateLoads &candidateLoads,
                 const ServerIncarnation &owner, double wanted) -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    for (const auto &range : table.ranges) {
        if (range.owner != owner || candidateLoads.loadOf(range.keys) < wanted) {
            continue;
        }
        const auto run = shortestRunIn(candidateLoads, range.keys, wanted);
        if (run && (!best || run->size() < best->size())) {
            best = run;
        }
    }
    return best;
}

// Returns the run of keys of @p owner with the highest load up to @p maxLoad. Runs are extended
// greedily from the start of each range; a key that would exceed the limit ends a run.
auto heaviestRunWithin(const OwnershipTable &table, const CandidateLoads &candidateLoads,
                       const ServerIncarnation &owner, double maxLoad) -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    auto bestLoad = 0.0;
    const auto consider = [&](const KeyRange &keys, double load) {
        if (load > bestLoad) {
            best = keys;
            bestLoad = load;
        }
    };
    for (const auto &range : table.ranges) {
        if (range.owner != owner) {
            continue;
        }
        auto from = range.keys.from;
        auto sum = 0.0;
        for (auto key = range.keys.from; key <= range.keys.to; ++key) {
            const auto load = candidateLoads.loadOf(key);
            if (sum + load > maxLoad) {
                if (key > from) {
                    consider({from, key - 1}, sum);
                }
                from = key + 1;
                sum = 0.0;
                continue;
            }
            sum += load;
        }
        if (from <= range.keys.to) {
            consider({from, range.keys.to}, sum);
        }
    }
    return best;
}

// Returns the range of @p owner whose load is closest to @p wanted.
auto closestRange(const OwnershipTable &table, const CandidateLoads &candidateLoads,
                  const ServerIncarnation &owner, double wanted) -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    auto bestDistance = 0.0;
    for (const auto &range : table.ranges) {
        const auto distance = std::abs(candidateLoads.loadOf(range.keys) - wanted);
        if (range.owner == owner && (!best || distance < bestDistance)) {
            best = range.keys;
            bestDistance = distance;
        }
    }
    return best;
}

// Returns whether a server lacks both load and keys: it has just joined.
auto isIdle(const CandidateLoads &candidateLoads, const CandidateRow &row,
            const KeyPlanOptions &options) -> bool
{
    const auto keyShare = candidateLoads.fairKeys() * row.candidate->capacity;
    return row.load < row.target * options.idleShare && row.keys < keyShare * options.idleShare;
}

// Returns whether the load of a server exceeds its target by more than @p significance standard
// deviations, so that chance is unlikely to explain it.
auto isOverloaded(const CandidateRow &row, const KeyPlanOptions &options, double significance)
    -> bool
{
    const auto variance = row.variance * std::min(1.0, row.target / row.load);
    return row.load > row.target * options.tolerance
        && row.load - row.target > significance * std::sqrt(variance);
}

// Returns whether the requests for @p part save enough time at their new owner.
auto pays(const CandidateLoads &candidateLoads, const CandidateRow &from, const CandidateRow &to,
          const KeyRange &part, const KeyPlanOptions &options) -> bool
{
    return candidateLoads.savedMs(from, to, candidateLoads.loadOf(part)) >= options.minSavedMs;
}

// Returns the keys of one server that another one should get, if there are any that it can serve.
auto partToMove(const OwnershipTable &table, const CandidateLoads &candidateLoads,
                const CandidateRow &from, const CandidateRow &to, const KeyPlanOptions &options,
                RangeSplits splits) -> std::optional<KeyRange>
{
    const auto wanted = std::min(from.load - from.target, to.target - to.load);
    const auto acceptable =
        std::max(options.saturatedLoad * to.candidate->capacity, to.target * options.tolerance);
    const auto fits = [&](const std::optional<KeyRange> &part) {
        const auto load = part ? to.load + candidateLoads.loadOf(*part) : 0.0;
        return part && load < acceptable
            && candidateLoads.marginalMs(to, load) < candidateLoads.marginalMs(from, from.load);
    };
    const auto &owner = from.candidate->incarnation;
    const auto whole = splits == RangeSplits::Forbidden;
    auto part = whole ? closestRange(table, candidateLoads, owner, wanted)
                      : shortestRun(table, candidateLoads, owner, wanted);
    if (!whole && !fits(part)) {
        // A single key is too hot for the target: other keys of its server move instead.
        part = heaviestRunWithin(table, candidateLoads, owner, wanted);
    }
    return fits(part) && candidateLoads.loadOf(*part) >= wanted * options.minGain ? part
                                                                                  : std::nullopt;
}

} // namespace

auto maxMoves(std::size_t servers, const KeyPlanOptions &options) -> std::size_t
{
    const auto share = static_cast<double>(servers) * options.movesPerServer;
    return std::max<std::size_t>(options.minMoveLimit, static_cast<std::size_t>(share));
}

auto planUnowned(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                 std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    if (candidates.empty()) {
        return moves;
    }
    auto candidateLoads = CandidateLoads(table, candidates, loads, options);
    auto unowned = 0.0;
    for (const auto &range : table.ranges) {
        unowned += range.owner.server.empty() ? candidateLoads.loadOf(range.keys) : 0.0;
    }
    candidateLoads.setTargets(unowned);
    for (const auto &range : table.ranges) {
        if (!range.owner.server.empty()) {
            continue;
        }
        auto rest = range.keys;
        while (true) {
            auto &row = candidateLoads.cheapest();
            const auto headroom = row.target - row.load;
            // If no server is below its target, the entire rest goes to the cheapest one. This
            // happens for small remainders.
            const auto part =
                headroom > 0.0 ? prefixWithLoad(candidateLoads, rest, headroom) : rest;
            row.load += candidateLoads.loadOf(part);
            moves.push_back({.keys = part, .to = row.candidate->incarnation});
            if (part.to == rest.to) {
                break;
            }
            rest.from = part.to + 1;
        }
    }
    return moves;
}

auto planRebalance(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                   std::span<const float> loads, const KeyPlanOptions &options, RangeSplits splits)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    if (candidates.size() < 2) {
        return moves;
    }
    auto planned = table;
    auto candidateLoads = CandidateLoads(table, candidates, loads, options);
    candidateLoads.setTargets();
    const auto maxCount = maxMoves(candidates.size(), options);
    while (moves.size() < maxCount) {
        auto *from = candidateLoads.dearest();
        auto &to = candidateLoads.cheapest();
        if (from == nullptr || from == &to || to.candidate->cold || to.load >= to.target) {
            break;
        }
        const auto idle = isIdle(candidateLoads, to, options);
        const auto busy = isOverloaded(*from, options, options.significance);
        const auto maybeBusy = isOverloaded(*from, options, options.hotSignificance);
        if (from->load <= from->target || !(idle || maybeBusy)) {
            from->isSettled = true;
            continue;
        }
        const auto part = partToMove(planned, candidateLoads, *from, to, options, splits);
        if (part && !idle && !busy && part->size() > options.fewKeys) {
            from->isSettled = true;
            continue;
        }
        if (!part || !(idle || pays(candidateLoads, *from, to, *part, options))) {
            from->cannotShedLoad = true;
            candidateLoads.setTargets();
            continue;
        }
        candidateLoads.move(*part, *from, to);
        moves.push_back({.keys = *part, .to = to.candidate->incarnation});
        planned = withMove(std::move(planned), moves.back());
    }
    return moves;
}

auto planMerges(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                std::span<const float> loads, const KeyPlanOptions &options, std::size_t maxCount)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    const auto &ranges = table.ranges;
    auto left = static_cast<double>(ranges.size())
        - options.targetRangesPerServer * static_cast<double>(candidates.size());
    auto candidateLoads = CandidateLoads(table, candidates, loads, options);
    candidateLoads.setTargets();
    const auto narrow = candidateLoads.fairKeys() * options.smallRangeShare;
    for (std::size_t i = 1; i + 1 < ranges.size() && left > 0.0 && moves.size() < maxCount; ++i) {
        const auto load = candidateLoads.loadOf(ranges[i].keys);
        // Tries the owner of the next range first. If the ranges on both sides have the same owner,
        // the merge removes two ranges.
        for (const auto *neighbour : {&ranges[i + 1], &ranges[i - 1]}) {
            auto *row = candidateLoads.find(neighbour->owner);
            if (row == nullptr || row->candidate->cold || neighbour->owner == ranges[i].owner) {
                continue;
            }
            if (load > row->target * options.smallRangeShare
                || ranges[i].keys.size() > narrow * row->candidate->capacity
                || row->load + load > row->target * options.tolerance) {
                continue;
            }
            row->load += load;
            moves.push_back({.keys = ranges[i].keys, .to = neighbour->owner});
            left -= ranges[i + 1].owner == ranges[i - 1].owner ? 2.0 : 1.0;
            ++i; // keep the next range: two neighbours could swap owners otherwise
            break;
        }
    }
    return moves;
}

} // namespace figlanding
