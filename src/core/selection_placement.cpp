#include "figlanding/selection.h"
#include "figlanding/sharding.h"
#include "text.h"

namespace figlanding {

namespace {

auto refuse(RefusalReason reason, std::string detail) -> Refusal
{
    return Refusal{.reason = reason, .detail = std::move(detail)};
}

auto keyText(const RoutedRequest &request) -> std::string
{
    return "key " + quoted(request.routingKey) + " of service "
        + quoted(request.route.service.value());
}

} // namespace

auto applicablePolicies(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<std::vector<const Policy *>, Refusal>
{
    auto input = PolicyInput{.route = &request.route};
    if (!request.route.open) {
        const auto key = state.teamKeys.find(request.teamKey);
        if (key == state.teamKeys.end()) {
            return refuse(RefusalReason::InvalidTeamKey,
                          "team key " + quoted(request.teamKey.value()));
        }
        input.teamKey = &key->second.object;
    }
    auto policies = matchingPolicies(state, input);
    for (const auto *const policy : policies) {
        if (policy->deny) {
            return refuse(RefusalReason::ForbiddenByPolicy,
                          "policy " + quoted(policy->id.value()) + " denies route "
                              + quoted(request.route.id.value()));
        }
    }
    return policies;
}

auto permittedOwner(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<BackendServerId, Refusal>
{
    const auto policies = applicablePolicies(state, request);
    if (const auto *const refusal = std::get_if<Refusal>(&policies)) {
        return *refusal;
    }
    const auto *const assignment =
        assignmentForKey(state, request.route.service, request.routingKey);
    if (assignment == nullptr || assignment->moving() || assignment->owner.empty()) {
        return refuse(RefusalReason::KeyIsMoving, keyText(request));
    }
    const auto &owner = assignment->owner;
    const auto *const policy =
        forbiddingPolicy(state, std::get<std::vector<const Policy *>>(policies), owner);
    if (policy != nullptr) {
        return refuse(RefusalReason::ForbiddenByPolicy,
                      "policy " + quoted(policy->id.value()) + " does not permit the owner "
                          + quoted(owner.value()));
    }
    return owner;
}

auto permittedServers(const ClusterState &state, const RoutedRequest &request)
    -> std::variant<std::vector<BackendServerId>, Refusal>
{
    const auto outcome = applicablePolicies(state, request);
    if (const auto *const refusal = std::get_if<Refusal>(&outcome)) {
        return *refusal;
    }
    const auto service = state.services.find(request.route.service);
    if (service == state.services.end()) {
        return refuse(RefusalReason::NoRoute, "service " + quoted(request.route.service.value()));
    }
    const auto &policies = std::get<std::vector<const Policy *>>(outcome);
    auto servers = eligibleServers(state, service->second.object, policies);
    if (servers.empty()) {
        return refuse(RefusalReason::NoEligibleServer,
                      "service " + quoted(request.route.service.value()) + " of route "
                          + quoted(request.route.id.value()) + " under "
                          + std::to_string(policies.size()) + " policies");
    }
    return servers;
}

} // namespace figlanding
