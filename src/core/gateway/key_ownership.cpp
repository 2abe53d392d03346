#include "figlanding/gateway/key_ownership.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

constexpr auto lastKey = shardKeyCount - 1;

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

auto changedRanges(const OwnershipTable &previous, const OwnershipTable &next)
    -> std::vector<OwnedRange>
{
    auto changes = std::vector<OwnedRange>{};
    for (const auto &range : next.ranges) {
        const auto *before = findRange(previous, range.keys.from);
        if (before == nullptr || *before != range) {
            changes.push_back(range);
        }
    }
    return changes;
}

auto withChanges(const OwnershipTable &previous, std::span<const OwnedRange> changes)
    -> OwnershipTable
{
    auto result = OwnershipTable{};
    auto change = changes.begin();
    for (const auto &range : previous.ranges) {
        for (; change != changes.end() && change->keys.from <= range.keys.to; ++change) {
            result.ranges.push_back(*change);
        }
        // Changes begin in ascending order, so the last added range is the only one that can
        // overlap.
        if (result.ranges.empty() || result.ranges.back().keys.to < range.keys.from) {
            result.ranges.push_back(range);
        }
    }
    result.ranges.insert(result.ranges.end(), change, changes.end());
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

} // namespace figlanding
