#include "figlanding/gateway/key_ownership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

// Planning of moves between servers. The table itself is in key_ownership.cpp.

namespace figlanding {

namespace {

// Loads and capacities of the candidates, updated while moves are planned.
class CandidateLoads
{
public:
    CandidateLoads(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                   std::span<const float> loads, const KeyPlanOptions &options)
        : m_loads(loads)
        , m_options(options)
    {
        if (!loads.empty()) {
            m_sums.reserve(shardKeyCount + 1);
            m_sums.push_back(0.0);
            for (const auto load : loads) {
                m_sums.push_back(m_sums.back() + load);
            }
        }
        for (const auto &candidate : candidates) {
            m_rows.push_back({.candidate = &candidate});
        }
        for (const auto &range : table.ranges) {
            if (auto *row = find(range.owner)) {
                row->load += loadOf(range.keys);
                row->keys += range.keys.size();
            }
        }
    }

    struct Row
    {
        const OwnerCandidate *candidate = nullptr;
        double load = 0.0;
        double keys = 0.0; ///< number of owned keys
        bool cannotShedLoad = false; ///< no move away from this server would help

        [[nodiscard]] auto relativeLoad() const -> double
        {
            return load / candidate->capacity;
        }
    };

    [[nodiscard]] auto loadOf(ShardKey key) const -> double
    {
        return m_options.baseLoadPerKey + (m_loads.empty() ? 0.0 : m_loads[key]);
    }
    [[nodiscard]] auto loadOf(const KeyRange &keys) const -> double
    {
        const auto known = m_sums.empty() ? 0.0 : m_sums[keys.to + 1] - m_sums[keys.from];
        return known + m_options.baseLoadPerKey * keys.size();
    }
    auto find(const ServerIncarnation &incarnation) -> Row *
    {
        const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row &row) {
            return row.candidate->incarnation == incarnation;
        });
        return found == m_rows.end() ? nullptr : &*found;
    }
    // Returns the candidate with the lowest load per capacity; all warm ones precede cold ones.
    auto leastLoaded() -> Row &
    {
        return *std::min_element(m_rows.begin(), m_rows.end(),
                                 [](const Row &left, const Row &right) {
                                     return std::pair(left.candidate->cold, left.relativeLoad())
                                         < std::pair(right.candidate->cold, right.relativeLoad());
                                 });
    }
    // Returns the candidate with the highest load per capacity that can still shed load, or null.
    auto mostLoaded() -> Row *
    {
        auto *most = static_cast<Row *>(nullptr);
        for (auto &row : m_rows) {
            if (!row.cannotShedLoad
                && (most == nullptr || row.relativeLoad() > most->relativeLoad())) {
                most = &row;
            }
        }
        return most;
    }
    // Returns the load per capacity that results if the load of all servers, except those that
    // cannot shed any, is spread evenly over the warm ones.
    [[nodiscard]] auto fairShare() const -> double
    {
        auto load = 0.0;
        auto capacity = 0.0;
        for (const auto &row : m_rows) {
            if (row.cannotShedLoad) {
                continue;
            }
            load += row.load;
            capacity += row.candidate->cold ? 0.0 : row.candidate->capacity;
        }
        return capacity > 0.0 ? load / capacity : 0.0;
    }
    // Returns how many keys per capacity the warm servers have if all keys are spread evenly.
    [[nodiscard]] auto fairKeys() const -> double
    {
        auto capacity = 0.0;
        for (const auto &row : m_rows) {
            capacity += row.candidate->cold ? 0.0 : row.candidate->capacity;
        }
        return capacity > 0.0 ? shardKeyCount / capacity : 0.0;
    }

private:
    std::span<const float> m_loads;
    std::vector<double> m_sums; ///< prefix sums: total load of all keys before each key
    const KeyPlanOptions &m_options;
    std::vector<Row> m_rows;
};

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
    const auto allCold = std::all_of(candidates.begin(), candidates.end(),
                                     [](const OwnerCandidate &server) { return server.cold; });
    auto capacity = 0.0;
    auto owned = 0.0;
    for (const auto &candidate : candidates) {
        capacity += candidate.cold && !allCold ? 0.0 : candidate.capacity;
        owned += candidateLoads.find(candidate.incarnation)->load;
    }
    const auto fair = capacity > 0.0 ? (owned + unowned) / capacity : 0.0;
    for (const auto &range : table.ranges) {
        if (!range.owner.server.empty()) {
            continue;
        }
        auto rest = range.keys;
        while (true) {
            auto &row = candidateLoads.leastLoaded();
            const auto headroom = fair * row.candidate->capacity - row.load;
            // If no server is below its fair share, the entire rest goes to the least loaded one.
            // This happens without warm servers, and for small remainders.
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
    const auto maxCount = maxMoves(candidates.size(), options);
    while (moves.size() < maxCount) {
        auto *from = candidateLoads.mostLoaded();
        auto &to = candidateLoads.leastLoaded();
        if (from == nullptr || from == &to || to.candidate->cold) {
            break;
        }
        const auto fair = candidateLoads.fairShare();
        const auto keyShare = candidateLoads.fairKeys() * to.candidate->capacity;
        const auto idle =
            to.relativeLoad() < fair * options.idleShare && to.keys < keyShare * options.idleShare;
        const auto busy =
            from->relativeLoad() > std::max(options.minBusyLoad, fair * options.tolerance);
        const auto fairLoad = fair * from->candidate->capacity;
        const auto excess = from->load - fairLoad;
        const auto headroom = fair * to.candidate->capacity - to.load;
        // Exponentially decaying counts have half the variance of plain counts.
        const auto significant = excess > options.significance * std::sqrt(fairLoad / 2.0);
        if ((!idle && !(busy && significant)) || excess <= 0.0 || headroom <= 0.0) {
            break;
        }
        const auto wanted = std::min(excess, headroom);
        const auto acceptable = std::max(options.saturatedLoad, fair * options.tolerance);
        const auto fits = [&](const std::optional<KeyRange> &part) {
            return part
                && (to.load + candidateLoads.loadOf(*part)) / to.candidate->capacity
                < std::min(from->relativeLoad(), acceptable);
        };
        const auto &owner = from->candidate->incarnation;
        const auto whole = splits == RangeSplits::Forbidden;
        auto part = whole ? closestRange(planned, candidateLoads, owner, wanted)
                          : shortestRun(planned, candidateLoads, owner, wanted);
        if (!whole && !fits(part)) {
            // A single key is too hot for the target: other keys of its server move instead.
            part = heaviestRunWithin(planned, candidateLoads, owner, wanted);
        }
        const auto load = part ? candidateLoads.loadOf(*part) : 0.0;
        if (!fits(part) || load < wanted * options.minGain) {
            from->cannotShedLoad = true;
            continue;
        }
        from->load -= load;
        to.load += load;
        from->keys -= part->size();
        to.keys += part->size();
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
    const auto fair = candidateLoads.fairShare();
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
            const auto fairLoad = fair * row->candidate->capacity;
            if (load > fairLoad * options.smallRangeShare
                || ranges[i].keys.size() > narrow * row->candidate->capacity
                || row->load + load > fairLoad * options.tolerance) {
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
