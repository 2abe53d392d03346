#include "figlanding/request_filters.h"

#include "figlanding/deadline.h"
#include "figlanding/http_method.h"
#include "figlanding/request_digest.h"
#include "figlanding/selection.h"
#include "figlanding/team_key.h"

namespace figlanding {

namespace {

auto refuse(RefusalReason reason, std::string detail) -> FilterResult
{
    return Refusal{.reason = reason, .detail = std::move(detail)};
}

auto checkedPath(std::string_view path) -> Result<std::string_view>
{
    BOOST_LEAF_CHECK(checkPath(path));
    return path;
}

auto authenticatedKey(const ClusterState &state, std::string_view header) -> Result<TeamKey>
{
    BOOST_LEAF_AUTO(credential, parseAuthorization(header));
    BOOST_LEAF_AUTO(key, authenticate(state, credential));
    return *key;
}

} // namespace

auto RouteFilter::operator()(RequestContext context) const -> FilterResult
{
    const auto checked = settle([&] { return checkedPath(pathOf(context.http->target)); });
    if (!checked) {
        return refuse(RefusalReason::MalformedRequest, describe(checked.error()));
    }
    const auto path = checked.value();
    const auto *route = findRoute(state, path);
    if (route == nullptr) {
        return refuse(RefusalReason::NoRoute, "path \"" + std::string(path) + "\"");
    }
    const auto service = state.services.find(route->service);
    if (service == state.services.end()) {
        return refuse(RefusalReason::NoRoute, "service \"" + route->service.value() + "\"");
    }
    context.route = *route;
    context.mode = service->second.object.mode;
    return context;
}

auto ParseFilter::operator()(RequestContext context) const -> FilterResult
{
    const auto &request = *context.http;
    std::optional<milliseconds> requestedTimeout;
    if (const auto text = request.headers.find("figlanding-deadline-ms")) {
        const auto parsed = settle([&] { return parseDeadline(*text); });
        if (!parsed) {
            return refuse(RefusalReason::MalformedRequest, describe(parsed.error()));
        }
        requestedTimeout = parsed.value();
    }
    context.deadline = requestDeadline(requestedTimeout, context.route.timeout, context.receivedAt);
    context.idempotencyKey = request.headers.find("idempotency-key").value_or("");
    context.idempotent = isIdempotent(request.method);
    if (context.mode == ServiceMode::Exclusive) {
        const auto key = settle([&] {
            return routingKeyOf(context.route, pathOf(request.target),
                                request.headers.find("figlanding-routing-key"));
        });
        if (!key) {
            return refuse(RefusalReason::MalformedRequest, describe(key.error()));
        }
        context.routingKey = key.value();
    }
    return context;
}

auto AuthenticateFilter::operator()(RequestContext context) const -> FilterResult
{
    const auto &request = *context.http;
    if (!context.route.open) {
        const auto header = request.headers.find("authorization");
        if (!header) {
            return refuse(RefusalReason::MissingTeamKey,
                          "route \"" + context.route.id.value() + "\" needs a team key");
        }
        const auto key = settle([&] { return authenticatedKey(state, *header); });
        if (!key) {
            return refuse(RefusalReason::InvalidTeamKey, key.error().detail);
        }
        context.team = key.value().team;
        context.teamKey = key.value().id;
    }
    context.digest = requestDigest({.team = context.team,
                                    .method = request.method,
                                    .target = request.target,
                                    .body = request.body});
    return context;
}

auto QuarantineFilter::operator()(RequestContext context) const -> FilterResult
{
    const auto found = state.quarantines.find(context.digest);
    if (found != state.quarantines.end()) {
        return refuse(RefusalReason::Quarantined,
                      "request digest " + context.digest + ": " + found->second.evidence);
    }
    return context;
}

} // namespace figlanding
