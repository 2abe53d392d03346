#include "ownership_explorer.h"

#include "ownership_model.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace figlanding {

namespace {

using explorer::FleetState;
using explorer::Successor;

auto pathTo(const std::vector<std::pair<std::size_t, std::string>> &parents, std::size_t index)
    -> std::vector<std::string>
{
    auto events = std::vector<std::string>{};
    for (; index != 0; index = parents[index].first) {
        events.push_back(parents[index].second);
    }
    std::reverse(events.begin(), events.end());
    return events;
}

} // namespace

auto explore(const ExplorerOptions &options) -> Exploration
{
    auto visited = std::unordered_set<std::string>{};
    auto parents = std::vector<std::pair<std::size_t, std::string>>{{0, "start"}};
    auto frontier = std::vector<std::pair<std::size_t, FleetState>>{};
    frontier.emplace_back(0, explorer::initialFleet(options));
    visited.insert(explorer::fingerprint(frontier.back().second));
    auto successors = std::vector<Successor>{};
    while (!frontier.empty()) {
        const auto [index, fleet] = std::move(frontier.back());
        frontier.pop_back();
        successors.clear();
        explorer::addSuccessors(options, fleet, successors);
        for (auto &successor : successors) {
            if (!visited.insert(explorer::fingerprint(successor.fleet)).second) {
                continue;
            }
            parents.emplace_back(index, std::move(successor.event));
            if (explorer::hasTwoOwners(options, successor.fleet)) {
                return {.states = visited.size(), .violation = pathTo(parents, parents.size() - 1)};
            }
            frontier.emplace_back(parents.size() - 1, std::move(successor.fleet));
        }
    }
    return {.states = visited.size()};
}

} // namespace figlanding
