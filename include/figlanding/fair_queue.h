#pragma once

#include "figlanding/names.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

/// @file
/// A bounded queue that schedules teams by deficit round robin.

namespace figlanding {

/// Settings of a FairQueue.
struct FairQueueOptions
{
    std::size_t maxItems = 200; ///< across all teams
    std::size_t maxItemsPerTeam = 100;
    double quantum = 1.0; ///< cost credited to a team per turn; must be positive

    auto operator==(const FairQueueOptions &) const -> bool = default;
};

/// Bounded queue with fair scheduling between teams.
///
/// Each team has its own FIFO queue and receives an equal share of the served cost while it has
/// items. When the queue is full, the newest item of the team with the most items is evicted, so
/// that a team within its share is not refused because of the load of another.
/// @tparam Item copyable and movable
template <typename Item>
class FairQueue
{
public:
    /// Result of push().
    struct PushResult
    {
        bool accepted = false;
        std::optional<Item> evicted; ///< item of another team that was removed
    };

    explicit FairQueue(const FairQueueOptions &options)
        : m_options(options)
    { }

    /// Adds an item. The item is refused if its team has reached maxItemsPerTeam, or if the queue
    /// is full and no other team has at least two items more than this one.
    /// @param cost expected cost of serving the item, in the unit of the quantum
    auto push(const TeamId &team, Item item, double cost = 1.0) -> PushResult
    {
        auto result = PushResult{};
        if (countOf(team) >= m_options.maxItemsPerTeam) {
            return result;
        }
        if (m_size >= m_options.maxItems) {
            const auto longest = teamWithLongestQueue();
            if (longest == m_teams.end() || longest->second.items.size() <= countOf(team) + 1) {
                return result;
            }
            result.evicted = std::move(longest->second.items.back().item);
            longest->second.items.pop_back();
            --m_size;
        }
        const auto [found, inserted] = m_teams.try_emplace(team);
        if (inserted) {
            m_turns.push_back(team);
        }
        found->second.items.push_back(Entry{.item = std::move(item), .cost = cost});
        ++m_size;
        result.accepted = true;
        return result;
    }

    /// Removes and returns the next item.
    /// @return nothing if the queue is empty
    auto pop() -> std::optional<Item>
    {
        while (!m_turns.empty()) {
            const auto found = m_teams.find(m_turns.front());
            if (found == m_teams.end() || found->second.items.empty()) {
                dropTurn();
                continue;
            }
            auto &queue = found->second;
            if (!queue.hasTurn) {
                queue.deficit += m_options.quantum;
                queue.hasTurn = true;
            }
            if (queue.items.front().cost <= queue.deficit) {
                return take(queue);
            }
            queue.hasTurn = false;
            rotateTurns();
        }
        return std::nullopt;
    }

    /// Removes every item that satisfies @p condition and moves it to @p onRemoved.
    template <typename Condition, typename OnRemoved>
    void removeIf(Condition condition, OnRemoved onRemoved)
    {
        for (auto &[team, queue] : m_teams) {
            auto &items = queue.items;
            const auto matches = [&condition](const Entry &entry) { return condition(entry.item); };
            if (std::none_of(items.begin(), items.end(), matches)) {
                continue;
            }
            const auto removed =
                std::stable_partition(items.begin(), items.end(),
                                      [&matches](const Entry &entry) { return !matches(entry); });
            std::for_each(removed, items.end(),
                          [&onRemoved](Entry &entry) { onRemoved(std::move(entry.item)); });
            m_size -= static_cast<std::size_t>(items.end() - removed);
            items.erase(removed, items.end());
        }
    }

    /// Returns the number of items that would be served before a new item of @p team, assuming
    /// equal costs.
    [[nodiscard]] auto itemsAhead(const TeamId &team) const -> std::size_t
    {
        const auto own = countOf(team);
        auto ahead = own;
        for (const auto &[other, queue] : m_teams) {
            ahead += other == team ? 0 : std::min(queue.items.size(), own + 1);
        }
        return ahead;
    }

    /// Returns the number of queued items of @p team.
    [[nodiscard]] auto countOf(const TeamId &team) const -> std::size_t
    {
        const auto found = m_teams.find(team);
        return found == m_teams.end() ? 0 : found->second.items.size();
    }

    /// Returns the number of queued items of all teams.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_size;
    }

private:
    struct Entry
    {
        Item item;
        double cost = 1.0;
    };
    struct TeamQueue
    {
        std::deque<Entry> items;
        double deficit = 0.0;
        bool hasTurn = false; ///< the quantum of the current turn was credited
    };
    using TeamQueues = std::map<TeamId, TeamQueue>;

    [[nodiscard]] auto teamWithLongestQueue() -> typename TeamQueues::iterator
    {
        return std::max_element(m_teams.begin(), m_teams.end(), [](const auto &a, const auto &b) {
            return a.second.items.size() < b.second.items.size();
        });
    }

    // Removes the team at the front of the round, with its deficit. A team whose items were removed
    // by removeIf() is dropped only when its turn comes.
    void dropTurn()
    {
        m_teams.erase(m_turns.front());
        m_turns.pop_front();
    }

    void rotateTurns()
    {
        m_turns.push_back(std::move(m_turns.front()));
        m_turns.pop_front();
    }

    auto take(TeamQueue &queue) -> Item
    {
        auto item = std::move(queue.items.front().item);
        queue.deficit -= queue.items.front().cost;
        queue.items.pop_front();
        --m_size;
        if (queue.items.empty()) {
            dropTurn();
        }
        return item;
    }

    FairQueueOptions m_options;
    TeamQueues m_teams;
    std::deque<TeamId> m_turns; ///< each team of m_teams once, in order of service
    std::size_t m_size = 0;
};

} // namespace figlanding
