#include "figlanding/selection.h"

#include "figlanding/sharding.h"
#include "text.h"

#include <algorithm>

namespace figlanding {

namespace {

auto withoutQuery(std::string_view path) -> std::string_view
{
    return path.substr(0, path.find_first_of("?#"));
}

auto hexValue(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

auto isPrefixOf(std::string_view prefix, std::string_view path) -> bool
{
    return path.starts_with(prefix)
        && (prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/');
}

auto firstSegment(std::string_view path) -> std::string_view
{
    const auto rest = path.starts_with('/') ? path.substr(1) : path;
    return rest.substr(0, rest.find('/'));
}

auto labelsOrEmpty(const Labels *labels) -> const Labels &
{
    static const auto none = Labels{};
    return labels == nullptr ? none : *labels;
}

// Returns the labels of the table's entry with this id, or nullptr if there is no such entry.
template <typename Table, typename Id>
auto findLabels(const Table &table, const Id &id) -> const Labels *
{
    const auto found = table.find(id);
    return found == table.end() ? nullptr : &found->second.object.labels;
}

auto refuse(RefusalReason reason, std::string detail) -> Refusal
{
    return Refusal{.reason = reason, .detail = std::move(detail)};
}

auto selectFromPool(const ClusterState &state, Selection selection, const RoutedRequest &request)
    -> std::variant<Selection, Refusal>
{
    const auto permitted = permittedServers(state, request);
    if (const auto *const refusal = std::get_if<Refusal>(&permitted)) {
        return *refusal;
    }
    selection.servers = std::get<std::vector<BackendServerId>>(permitted);
    return selection;
}

auto selectOwner(const ClusterState &state, Selection selection, RoutedRequest request,
                 const Settled<std::string> &key) -> std::variant<Selection, Refusal>
{
    if (!key) {
        return refuse(RefusalReason::MalformedRequest, describe(key.error()));
    }
    selection.routingKey = key.value();
    request.routingKey = selection.routingKey;
    selection.assignment = assignmentForKey(state, selection.service->id, selection.routingKey);
    const auto permitted = permittedOwner(state, request);
    const auto *const refusal = std::get_if<Refusal>(&permitted);
    if (refusal != nullptr && refusal->reason != RefusalReason::KeyIsMoving) {
        return *refusal;
    }
    return selection;
}

} // namespace

auto decodePercent(std::string_view text) -> Result<std::string>
{
    auto bytes = std::string{};
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            bytes += text[at];
            continue;
        }
        const auto high = at + 2 < text.size() ? hexValue(text[at + 1]) : -1;
        const auto low = at + 2 < text.size() ? hexValue(text[at + 2]) : -1;
        if (high < 0 || low < 0) {
            return fail(ErrorCode::InvalidSyntax, "escape at position " + std::to_string(at));
        }
        bytes += static_cast<char>(high * 16 + low);
        at += 2;
    }
    return bytes;
}

auto checkPath(std::string_view path) -> Result<void>
{
    auto rest = withoutQuery(path);
    if (!rest.starts_with('/')) {
        return fail(ErrorCode::InvalidSyntax, "path " + quoted(path) + " does not start with '/'");
    }
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto segment = rest.substr(0, rest.find('/'));
        BOOST_LEAF_AUTO(decoded, decodePercent(segment));
        const auto isShort = decoded.size() == 1 || decoded.size() == 2;
        if (isShort && decoded.find_first_not_of('.') == std::string::npos) {
            return fail(ErrorCode::InvalidValue, "path " + quoted(path) + " has a dot segment");
        }
        rest.remove_prefix(segment.size());
    }
    return {};
}

auto findRoute(const ClusterState &state, std::string_view path) -> const Route *
{
    const auto plainPath = withoutQuery(path);
    const Route *best = nullptr;
    for (const auto &[id, entry] : state.routes) {
        const auto &route = entry.object;
        const auto longer = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (longer && isPrefixOf(route.pathPrefix, plainPath)) {
            best = &route;
        }
    }
    return best;
}

auto routingKeyOf(const Route &route, std::string_view path, std::optional<std::string_view> header)
    -> Result<std::string>
{
    auto key = std::string{};
    if (route.keySource == KeySource::Header) {
        key = header.value_or(std::string_view{});
    } else {
        const auto plainPath = withoutQuery(path);
        const auto prefixBytes = std::min(route.pathPrefix.size(), plainPath.size());
        BOOST_LEAF_ASSIGN(key, decodePercent(firstSegment(plainPath.substr(prefixBytes))));
    }
    if (key.empty()) {
        return fail(ErrorCode::MissingField, "routing key of route " + quoted(route.id.value()));
    }
    if (key.size() > maxRoutingKeyBytes) {
        return fail(ErrorCode::LimitExceeded,
                    "routing key of " + std::to_string(key.size()) + " bytes, the limit is "
                        + std::to_string(maxRoutingKeyBytes));
    }
    return key;
}

auto matchingPolicies(const ClusterState &state, const PolicyInput &input)
    -> std::vector<const Policy *>
{
    const auto &routeLabels = input.route->labels;
    const auto *const key = input.teamKey;
    const auto &keyLabels = labelsOrEmpty(key == nullptr ? nullptr : &key->labels);
    const auto &teamLabels =
        labelsOrEmpty(key == nullptr ? nullptr : findLabels(state.teams, key->team));
    auto policies = std::vector<const Policy *>{};
    for (const auto &[id, entry] : state.policies) {
        const auto &policy = entry.object;
        if (policy.routes.matches(routeLabels) && policy.teams.matches(teamLabels)
            && policy.teamKeys.matches(keyLabels)) {
            policies.push_back(&policy);
        }
    }
    return policies;
}

auto forbiddingPolicy(const ClusterState &state, const std::vector<const Policy *> &policies,
                      const BackendServerId &server) -> const Policy *
{
    const auto found = state.servers.find(server);
    const auto declared = found != state.servers.end();
    const auto *const serverLabels = declared ? &found->second.object.labels : nullptr;
    const auto *const zoneLabels =
        declared ? findLabels(state.zones, found->second.object.zone) : nullptr;
    const auto permits = [](const Selector &selector, const Labels *labels) {
        return selector.requirements().empty() || (labels != nullptr && selector.matches(*labels));
    };
    const auto forbidding =
        std::find_if(policies.begin(), policies.end(), [&](const Policy *policy) {
            return policy->deny || !permits(policy->servers, serverLabels)
                || !permits(policy->zones, zoneLabels);
        });
    return forbidding == policies.end() ? nullptr : *forbidding;
}

auto acceptsNewWork(const ClusterState &state, const Service &service, const BackendServer &server)
    -> bool
{
    const auto zone = state.zones.find(server.zone);
    const auto zoneActive =
        zone != state.zones.end() && zone->second.object.state == AdminState::Active;
    const auto status = state.serverStatus.find(server.id);
    const auto up = status == state.serverStatus.end() || status->second.up;
    return up && zoneActive && server.state == AdminState::Active
        && service.servers.matches(server.labels);
}

auto eligibleServers(const ClusterState &state, const Service &service,
                     const std::vector<const Policy *> &policies) -> std::vector<BackendServerId>
{
    auto servers = std::vector<BackendServerId>{};
    for (const auto &[id, entry] : state.servers) {
        if (acceptsNewWork(state, service, entry.object)
            && forbiddingPolicy(state, policies, id) == nullptr) {
            servers.push_back(id);
        }
    }
    return servers;
}

auto select(const ClusterState &state, const SelectionRequest &request)
    -> std::variant<Selection, Refusal>
{
    const auto pathFailure = settle([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(checkPath(request.path));
        return true;
    });
    if (!pathFailure) {
        return refuse(RefusalReason::MalformedRequest, describe(pathFailure.error()));
    }
    auto selection = Selection{.route = findRoute(state, request.path)};
    if (selection.route == nullptr) {
        return refuse(RefusalReason::NoRoute, "path " + quoted(withoutQuery(request.path)));
    }
    if (!selection.route->open && !request.teamKey) {
        return refuse(RefusalReason::MissingTeamKey,
                      "route " + quoted(selection.route->id.value()));
    }
    const auto teamKey = request.teamKey.value_or(TeamKeyId{});
    const auto routed = RoutedRequest{.route = *selection.route, .teamKey = teamKey};
    const auto policies = applicablePolicies(state, routed);
    if (const auto *const refusal = std::get_if<Refusal>(&policies)) {
        return *refusal;
    }
    selection.service = &state.services.at(selection.route->service).object;
    if (selection.service->mode == ServiceMode::Pool) {
        return selectFromPool(state, std::move(selection), routed);
    }
    const auto key =
        settle([&] { return routingKeyOf(routed.route, request.path, request.routingKeyHeader); });
    return selectOwner(state, std::move(selection), routed, key);
}

} // namespace figlanding
