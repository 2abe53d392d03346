#include "figlanding/gateway/version_rules.h"

#include "figlanding/gateway/server_registry.h"

#include <xxhash.h>

#include <limits>
#include <string>

namespace figlanding {

namespace {

auto trialPool(const ServiceId &service, const VersionRule &rule) -> ServiceId
{
    return ServiceId(poolOf(service, rule.version).value() + "~trial");
}

auto findRule(const VersionRules &rules, const ServiceId &service) -> const VersionRule *
{
    const auto found = rules.find(service);
    return found == rules.end() ? nullptr : &found->second;
}

auto isNew(const VersionRule &rule, const ServerEntry &server) -> bool
{
    return !rule.version.empty() && server.version == rule.version;
}

// Orders the old servers: the one at position p gives up its keys when the share exceeds p.
auto positionOf(const BackendServerId &server) -> double
{
    const auto hash = XXH3_64bits(server.value().data(), server.value().size());
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

auto poolOf(const ServiceId &service, const ServerVersion &version) -> ServiceId
{
    return version.empty() ? service : ServiceId(service.value() + "@" + version.value());
}

auto ruleOf(const RolloutRecord &record) -> VersionRule
{
    return {.basePool = poolOf(record.service, record.base),
            .version = record.version,
            .revision = record.revision,
            .phase = record.phase,
            .share = record.share,
            .trialServers = {record.trialServers.begin(), record.trialServers.end()},
            .withheld = {record.withheld.begin(), record.withheld.end()}};
}

auto poolsOf(const VersionRules &rules, const ServerEntry &server) -> std::vector<ServiceId>
{
    const auto *rule = findRule(rules, server.service);
    if (rule == nullptr || rule->keyed) {
        return {server.service};
    }
    const auto newPool = poolOf(server.service, rule->version);
    if (rule->phase == RolloutPhase::Completed) {
        // A version that came without an order is served by the pool in force. Replaced servers
        // stay where they were: they would raise the number of groups of that pool.
        const auto replaced = rule->withheld.contains(server.version);
        return {rule->version.empty() || replaced ? rule->basePool : newPool};
    }
    if (!isNew(*rule, server)) {
        return {rule->basePool};
    }
    auto pools = std::vector{newPool};
    if (rule->phase != RolloutPhase::RolledBack && rule->trialServers.contains(server.id)) {
        pools.push_back(trialPool(server.service, *rule));
    }
    return pools;
}

auto allowsRequests(const VersionRules &rules, const ServerEntry &server) -> bool
{
    const auto *rule = findRule(rules, server.service);
    if (rule == nullptr) {
        return true;
    }
    if (rule->withheld.contains(server.version)) {
        return false;
    }
    if (!isNew(*rule, server)) {
        return true;
    }
    switch (rule->phase) {
    case RolloutPhase::Trial:
        return rule->trialServers.contains(server.id);
    case RolloutPhase::Shift:
    case RolloutPhase::Completed:
        return true;
    case RolloutPhase::RolledBack:
        return false;
    }
    return true;
}

auto allowsKeys(const VersionRules &rules, const ServerEntry &server) -> bool
{
    const auto *rule = findRule(rules, server.service);
    if (rule == nullptr) {
        return true;
    }
    const auto leaves = rule->phase == RolloutPhase::Shift && !isNew(*rule, server)
        && positionOf(server.id) <= rule->share;
    return !leaves && allowsRequests(rules, server);
}

auto choosePool(const VersionRules &rules, const ServiceId &service, bool failedOnTrial,
                double random) -> ServiceId
{
    const auto *rule = findRule(rules, service);
    if (rule == nullptr || rule->keyed) {
        return service;
    }
    if (rule->version.empty() || rule->phase == RolloutPhase::RolledBack) {
        return rule->basePool;
    }
    auto newPool = poolOf(service, rule->version);
    if (rule->phase == RolloutPhase::Completed || rule->share >= 1.0) {
        return newPool;
    }
    if (failedOnTrial || random >= rule->share) {
        return rule->basePool;
    }
    return rule->phase == RolloutPhase::Trial ? trialPool(service, *rule) : newPool;
}

auto mayStopAlone(const VersionRule &rule) -> bool
{
    const auto keysMove = rule.keyed && rule.phase == RolloutPhase::Shift;
    const auto isRunning = rule.phase == RolloutPhase::Trial || rule.phase == RolloutPhase::Shift;
    return isRunning && !rule.version.empty() && rule.share < 1.0 && !keysMove;
}

auto fallbackPool(const VersionRules &rules, const ServiceId &service, const ServiceId &pool)
    -> std::optional<ServiceId>
{
    const auto *rule = findRule(rules, service);
    if (rule == nullptr || rule->keyed || pool == rule->basePool || rule->version.empty()) {
        return std::nullopt;
    }
    if (rule->phase == RolloutPhase::Completed) {
        return std::nullopt;
    }
    // A request that waited at the pool of a trial finds the servers of that trial in the version's
    // pool after the shift.
    const auto newPool = poolOf(service, rule->version);
    if (rule->phase == RolloutPhase::Shift && rule->share >= 1.0) {
        return pool == newPool ? std::nullopt : std::optional(newPool);
    }
    return rule->basePool;
}

auto mayWaitAt(const VersionRules &rules, const ServiceId &service, const ServiceId &pool) -> bool
{
    const auto *rule = findRule(rules, service);
    if (rule == nullptr || rule->keyed) {
        return pool == service;
    }
    if (rule->version.empty()) {
        return pool == rule->basePool;
    }
    const auto isNewPool = pool == poolOf(service, rule->version);
    switch (rule->phase) {
    case RolloutPhase::Trial:
        return pool == rule->basePool || pool == trialPool(service, *rule);
    case RolloutPhase::Shift:
        return true;
    case RolloutPhase::Completed:
        return isNewPool;
    case RolloutPhase::RolledBack:
        return pool == rule->basePool;
    }
    return true;
}

} // namespace figlanding
