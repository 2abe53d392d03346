#include "figlanding/gateway/key_ownership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace figlanding {

namespace {

constexpr auto lastKey = shardKeyCount - 1;

// Load and capacity of the candidates during planning.
class LoadBook
{
public:
    LoadBook(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
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
            m_rows.push_back({.candidate = &candidate, .load = 0.0});
        }
        for (const auto &range : table.ranges) {
            if (auto *row = find(range.owner)) {
                row->load += loadOf(range.keys);
            }
        }
    }

    struct Row
    {
        const OwnerCandidate *candidate = nullptr;
        double load = 0.0;
        bool settled = false; ///< nothing that it could give away helps

        [[nodiscard]] auto relative() const -> double
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
    auto find(const ServerLife &life) -> Row *
    {
        const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row &row) {
            return row.candidate->life == life;
        });
        return found == m_rows.end() ? nullptr : &*found;
    }
    // Warm servers go before cold ones.
    auto leastLoaded() -> Row &
    {
        return *std::min_element(m_rows.begin(), m_rows.end(),
                                 [](const Row &left, const Row &right) {
                                     return std::pair(left.candidate->cold, left.relative())
                                         < std::pair(right.candidate->cold, right.relative());
                                 });
    }
    // Returns null if no server is left that could give something away.
    auto mostLoaded() -> Row *
    {
        auto *most = static_cast<Row *>(nullptr);
        for (auto &row : m_rows) {
            if (!row.settled && (most == nullptr || row.relative() > most->relative())) {
                most = &row;
            }
        }
        return most;
    }
    // Load per capacity if the load of all servers that can give some away or take some were
    // spread evenly over the warm ones.
    [[nodiscard]] auto fairShare() const -> double
    {
        auto load = 0.0;
        auto capacity = 0.0;
        for (const auto &row : m_rows) {
            if (row.settled) {
                continue;
            }
            load += row.load;
            capacity += row.candidate->cold ? 0.0 : row.candidate->capacity;
        }
        return capacity > 0.0 ? load / capacity : 0.0;
    }

private:
    std::span<const float> m_loads;
    std::vector<double> m_sums; ///< of the loads of all keys before each key
    const KeyPlanOptions &m_options;
    std::vector<Row> m_rows;
};

// Returns the first keys of @p keys whose load reaches @p wanted, at least one key.
auto frontWithLoad(const LoadBook &book, const KeyRange &keys, double wanted) -> KeyRange
{
    auto sum = 0.0;
    for (auto key = keys.from; key <= keys.to; ++key) {
        sum += book.loadOf(key);
        if (sum >= wanted) {
            return {keys.from, key};
        }
    }
    return keys;
}

// Returns the shortest run of keys within @p keys whose load reaches @p wanted, if there is one.
auto shortestWithLoad(const LoadBook &book, const KeyRange &keys, double wanted)
    -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    auto sum = 0.0;
    auto from = keys.from;
    for (auto key = keys.from; key <= keys.to; ++key) {
        sum += book.loadOf(key);
        while (from < key && sum - book.loadOf(from) >= wanted) {
            sum -= book.loadOf(from);
            ++from;
        }
        if (sum >= wanted && (!best || key - from < best->to - best->from)) {
            best = KeyRange{from, key};
        }
    }
    return best;
}

// Returns the shortest run of keys of @p owner with the wanted load.
auto shortestRun(const OwnershipTable &table, const LoadBook &book, const ServerLife &owner,
                 double wanted) -> std::optional<KeyRange>
{
    auto best = std::optional<KeyRange>{};
    for (const auto &range : table.ranges) {
        if (range.owner != owner || book.loadOf(range.keys) < wanted) {
            continue;
        }
        const auto run = shortestWithLoad(book, range.keys, wanted);
        if (run && (!best || run->size() < best->size())) {
            best = run;
        }
    }
    return best;
}

// Returns the longest start of a range of @p owner whose load is at most @p most, with as much
// load as possible.
auto lightRun(const OwnershipTable &table, const LoadBook &book, const ServerLife &owner,
              double most) -> std::optional<KeyRange>
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
            const auto load = book.loadOf(key);
            if (sum + load > most) {
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

} // namespace

auto unownedTable() -> OwnershipTable
{
    return {.ranges = {OwnedRange{.keys = {0, lastKey}}}};
}

auto findRange(const OwnershipTable &table, ShardKey key) -> const OwnedRange *
{
    const auto after =
        std::upper_bound(table.ranges.begin(), table.ranges.end(), key,
                         [](ShardKey value, const auto &range) { return value < range.keys.from; });
    return after == table.ranges.begin() ? nullptr : &*std::prev(after);
}

auto isComplete(const OwnershipTable &table) -> bool
{
    auto next = ShardKey{0};
    for (const auto &range : table.ranges) {
        if (range.keys.from != next || range.keys.to < range.keys.from) {
            return false;
        }
        next = range.keys.to + 1;
    }
    return next == shardKeyCount;
}

auto splitAround(const OwnershipTable &table, const KeyRange &keys) -> OwnershipTable
{
    auto result = OwnershipTable{};
    for (const auto &range : table.ranges) {
        auto rest = range;
        for (const auto cut : {keys.from, keys.to + 1}) {
            if (cut > rest.keys.from && cut <= rest.keys.to) {
                auto front = rest;
                front.keys.to = cut - 1;
                rest.keys.from = cut;
                result.ranges.push_back(std::move(front));
            }
        }
        result.ranges.push_back(std::move(rest));
    }
    return result;
}

auto withMove(OwnershipTable table, const PlannedMove &move) -> OwnershipTable
{
    table = splitAround(table, move.keys);
    for (auto &range : table.ranges) {
        if (move.keys.contains(range.keys)) {
            range.owner = move.to;
        }
    }
    return table;
}

auto maxMoves(std::size_t servers, const KeyPlanOptions &options) -> std::size_t
{
    const auto share = static_cast<double>(servers) * options.movesPerServer;
    return std::max<std::size_t>(options.fewestMoves, static_cast<std::size_t>(share));
}

auto planUnowned(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                 std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    if (candidates.empty()) {
        return moves;
    }
    auto book = LoadBook(table, candidates, loads, options);
    auto unowned = 0.0;
    for (const auto &range : table.ranges) {
        unowned += range.owner.server.empty() ? book.loadOf(range.keys) : 0.0;
    }
    const auto allCold = std::all_of(candidates.begin(), candidates.end(),
                                     [](const OwnerCandidate &server) { return server.cold; });
    auto capacity = 0.0;
    auto owned = 0.0;
    for (const auto &candidate : candidates) {
        capacity += candidate.cold && !allCold ? 0.0 : candidate.capacity;
        owned += book.find(candidate.life)->load;
    }
    const auto fair = capacity > 0.0 ? (owned + unowned) / capacity : 0.0;
    for (const auto &range : table.ranges) {
        if (!range.owner.server.empty()) {
            continue;
        }
        auto rest = range.keys;
        while (true) {
            auto &row = book.leastLoaded();
            const auto room = fair * row.candidate->capacity - row.load;
            // Without warm servers, and for the last crumbs, the whole rest goes to one server.
            const auto part = room > 0.0 ? frontWithLoad(book, rest, room) : rest;
            row.load += book.loadOf(part);
            moves.push_back({.keys = part, .to = row.candidate->life});
            if (part.to == rest.to) {
                break;
            }
            rest.from = part.to + 1;
        }
    }
    return moves;
}

auto planRebalance(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                   std::span<const float> loads, const KeyPlanOptions &options)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    if (candidates.size() < 2) {
        return moves;
    }
    auto planned = table;
    auto book = LoadBook(table, candidates, loads, options);
    const auto most = maxMoves(candidates.size(), options);
    while (moves.size() < most) {
        auto *from = book.mostLoaded();
        auto &to = book.leastLoaded();
        if (from == nullptr || from == &to || to.candidate->cold) {
            break;
        }
        const auto fair = book.fairShare();
        const auto idle = to.relative() < fair * options.idlePart;
        const auto busy = from->relative() > std::max(options.busyLoad, fair * options.tolerance);
        const auto due = fair * from->candidate->capacity;
        const auto excess = from->load - due;
        const auto room = fair * to.candidate->capacity - to.load;
        // Counts that decay exponentially have half the variance of plain ones.
        const auto significant = excess > options.significance * std::sqrt(due / 2.0);
        if ((!idle && !(busy && significant)) || excess <= 0.0 || room <= 0.0) {
            break;
        }
        const auto wanted = std::min(excess, room);
        const auto fits = [&](const std::optional<KeyRange> &part) {
            return part
                && (to.load + book.loadOf(*part)) / to.candidate->capacity < from->relative();
        };
        auto part = shortestRun(planned, book, from->candidate->life, wanted);
        if (!fits(part)) {
            // A single key is too hot for the target: what stands beside it moves instead.
            part = lightRun(planned, book, from->candidate->life, wanted);
        }
        const auto load = part ? book.loadOf(*part) : 0.0;
        if (!fits(part) || load < wanted * options.leastGain) {
            from->settled = true;
            continue;
        }
        from->load -= load;
        to.load += load;
        moves.push_back({.keys = *part, .to = to.candidate->life});
        planned = withMove(std::move(planned), moves.back());
    }
    return moves;
}

auto planJoins(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
               std::span<const float> loads, const KeyPlanOptions &options, std::size_t most)
    -> std::vector<PlannedMove>
{
    auto moves = std::vector<PlannedMove>{};
    const auto &ranges = table.ranges;
    auto left = static_cast<double>(ranges.size())
        - options.rangesPerServer * static_cast<double>(candidates.size());
    auto book = LoadBook(table, candidates, loads, options);
    const auto fair = book.fairShare();
    for (std::size_t i = 1; i + 1 < ranges.size() && left > 0.0 && moves.size() < most; ++i) {
        const auto load = book.loadOf(ranges[i].keys);
        // The neighbour behind is tried first: if it is the one before as well, two ranges go.
        for (const auto *neighbour : {&ranges[i + 1], &ranges[i - 1]}) {
            auto *row = book.find(neighbour->owner);
            if (row == nullptr || row->candidate->cold || neighbour->owner == ranges[i].owner) {
                continue;
            }
            const auto due = fair * row->candidate->capacity;
            if (load > due * options.crumb || row->load + load > due * options.tolerance) {
                continue;
            }
            row->load += load;
            moves.push_back({.keys = ranges[i].keys, .to = neighbour->owner});
            left -= ranges[i + 1].owner == ranges[i - 1].owner ? 2.0 : 1.0;
            ++i; // the next one stays, or two neighbours could change places
            break;
        }
    }
    return moves;
}

} // namespace figlanding
