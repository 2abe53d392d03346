#include "figlanding/hot_keys.h"

#include "figlanding/planner.h"
#include "figlanding/sharding.h"

#include <algorithm>
#include <optional>

namespace figlanding {

namespace {

auto loadOf(const ServiceLoad &load, const std::string &key) -> double
{
    const auto found = load.keys.find(key);
    return found == load.keys.end() ? 0.0 : found->second;
}

// Returns whether the server matches the selector of the key's RoutingKey; true if it has none.
auto isAllowed(const ClusterState &state, const Service &service, const std::string &key,
               const BackendServerId &server) -> bool
{
    const auto declared = state.routingKeys.find(service.id.value() + '/' + key);
    return declared == state.routingKeys.end()
        || declared->second.object.servers.matches(state.servers.at(server).object.labels);
}

} // namespace

// State of one call of decide().
struct HotKeyPolicy::Evaluation
{
    const ClusterState &state;
    const Service &service;
    const ServiceAssignments &assignments;
    const ServiceLoad &load;
    TimePoint now;
    std::map<BackendServerId, double> servers; ///< load of the eligible servers after the moves
    double mean = 0.0;
    HotKeyDecisions decisions;

    [[nodiscard]] auto shardOwner(const std::string &key) const -> const Assignment &
    {
        const auto count = static_cast<std::uint32_t>(assignments.shards.size());
        return assignments.shards[shardOf(key, count)];
    }

    [[nodiscard]] auto leastLoaded(const std::string &key) const -> std::optional<BackendServerId>
    {
        auto best = servers.end();
        for (auto server = servers.begin(); server != servers.end(); ++server) {
            const auto lower = best == servers.end() || server->second < best->second;
            if (lower && isAllowed(state, service, key, server->first)) {
                best = server;
            }
        }
        return best == servers.end() ? std::nullopt : std::optional(best->first);
    }

    auto move(const std::string &key, const BackendServerId &from, const BackendServerId &to)
        -> void
    {
        const auto rate = loadOf(load, key);
        const auto source = servers.find(from);
        if (source != servers.end()) {
            source->second -= rate;
        }
        servers[to] += rate;
        decisions.moves.push_back(Move{.key = key, .to = to});
    }
};

HotKeyPolicy::HotKeyPolicy(HotKeyOptions options)
    : m_options(options)
{ }

auto HotKeyPolicy::decide(const ClusterState &state, const Service &service,
                          const ServiceLoad &load, TimePoint now) -> HotKeyDecisions
{
    const auto found = state.assignments.find(service.id);
    if (found == state.assignments.end() || found->second.shards.empty()) {
        return {};
    }
    auto evaluation = Evaluation{
        .state = state, .service = service, .assignments = found->second, .load = load, .now = now};
    for (const auto &share : eligibleServers(state, service)) {
        const auto known = load.servers.find(share.server);
        const auto rate = known == load.servers.end() ? 0.0 : known->second;
        evaluation.servers.emplace(share.server, rate);
        evaluation.mean += rate;
    }
    if (evaluation.servers.empty()) {
        return {};
    }
    evaluation.mean /= static_cast<double>(evaluation.servers.size());
    if (evaluation.mean >= m_options.minRequestsPerSecond) {
        isolateHotKeys(evaluation);
        moveHotKeys(evaluation);
    }
    mergeColdKeys(evaluation);
    return std::move(evaluation.decisions);
}

auto HotKeyPolicy::isolateHotKeys(Evaluation &evaluation) -> void
{
    const auto limit = m_options.isolationThreshold * evaluation.mean;
    std::erase_if(m_hotSince,
                  [&](const auto &entry) { return loadOf(evaluation.load, entry.first) < limit; });
    for (const auto &[key, rate] : evaluation.load.keys) {
        if (rate < limit) {
            continue;
        }
        const auto since = m_hotSince.try_emplace(key, evaluation.now).first->second;
        if (evaluation.now - since >= m_options.isolationDelay
            && !evaluation.assignments.isolatedKeys.contains(key)) {
            evaluation.decisions.isolations.push_back(
                KeyIsolation{.service = evaluation.service.id, .key = key, .isolate = true});
        }
    }
}

auto HotKeyPolicy::moveHotKeys(Evaluation &evaluation) -> void
{
    auto keysByLoad = std::vector<std::pair<double, std::string>>{};
    for (const auto &[key, assignment] : evaluation.assignments.isolatedKeys) {
        keysByLoad.emplace_back(-loadOf(evaluation.load, key), key);
    }
    std::sort(keysByLoad.begin(), keysByLoad.end());
    for (const auto &[negated, key] : keysByLoad) {
        const auto &assignment = evaluation.assignments.isolatedKeys.at(key);
        const auto source = evaluation.servers.find(assignment.owner);
        const auto overloaded = source != evaluation.servers.end()
            && source->second > m_options.overloadThreshold * evaluation.mean;
        if (assignment.moving() || !overloaded || !mayMove(key, evaluation.now)) {
            continue;
        }
        const auto target = evaluation.leastLoaded(key);
        const auto rate = -negated;
        const auto limit = source->second * (1.0 - m_options.minImprovement);
        if (target && *target != assignment.owner
            && evaluation.servers.at(*target) + rate < limit) {
            m_movedAt[key] = evaluation.now;
            evaluation.move(key, assignment.owner, *target);
        }
    }
}

auto HotKeyPolicy::mergeColdKeys(Evaluation &evaluation) -> void
{
    const auto limit = m_options.mergeThreshold * evaluation.mean;
    std::erase_if(m_coldSince, [&](const auto &entry) {
        return loadOf(evaluation.load, entry.first) >= limit
            || !evaluation.assignments.isolatedKeys.contains(entry.first);
    });
    for (const auto &[key, assignment] : evaluation.assignments.isolatedKeys) {
        const auto declared =
            evaluation.state.routingKeys.contains(evaluation.service.id.value() + '/' + key);
        if (declared || (loadOf(evaluation.load, key) >= limit && evaluation.mean > 0.0)) {
            continue;
        }
        const auto since = m_coldSince.try_emplace(key, evaluation.now).first->second;
        const auto &shard = evaluation.shardOwner(key);
        if (evaluation.now - since < m_options.mergeDelay || assignment.moving()
            || shard.moving()) {
            continue;
        }
        if (assignment.owner == shard.owner) {
            evaluation.decisions.isolations.push_back(
                KeyIsolation{.service = evaluation.service.id, .key = key, .isolate = false});
        } else if (evaluation.servers.contains(shard.owner) && mayMove(key, evaluation.now)) {
            m_movedAt[key] = evaluation.now;
            evaluation.move(key, assignment.owner, shard.owner);
        }
    }
}

auto HotKeyPolicy::mayMove(const std::string &key, TimePoint now) const -> bool
{
    const auto found = m_movedAt.find(key);
    return found == m_movedAt.end() || now - found->second >= m_options.minMoveInterval;
}

} // namespace figlanding
