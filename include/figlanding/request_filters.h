#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/http_message.h"
#include "figlanding/refusal.h"

#include <concepts>
#include <memory>
#include <string>
#include <utility>
#include <variant>

/// @file
/// The filter chain that a request passes through at its entry VM, the VM that received it from the
/// caller. Each filter takes a context and returns an updated context or a refusal.

namespace figlanding {

/// Properties of a request, completed by the filters in turn.
struct RequestContext
{
    std::string requestId;
    TimePoint receivedAt;
    TimePoint deadline;
    std::shared_ptr<const HttpRequest> http; ///< as received from the caller
    Route route;
    ServiceMode mode = ServiceMode::Pool;
    TeamId team; ///< empty on open routes
    TeamKeyId teamKey; ///< empty on open routes
    std::string routingKey; ///< empty for pool services
    std::string idempotencyKey; ///< value of the Idempotency-Key header, or empty
    std::string digest; ///< requestDigest()
    bool idempotent = false; ///< isIdempotent() of the method

    auto operator==(const RequestContext &) const -> bool = default;
};

/// Result of a filter: the updated context, or a refusal.
using FilterResult = std::variant<RequestContext, Refusal>;

/// A stage of the filter chain.
template <typename Filter>
concept RequestFilter = requires(const Filter &filter, RequestContext context)
{
    {
        filter(std::move(context))
        } -> std::same_as<FilterResult>;
};

/// Finds the route with the longest matching path prefix, and the mode of its service.
struct RouteFilter
{
    const ClusterState &state;
    [[nodiscard]] auto operator()(RequestContext context) const -> FilterResult;
};

/// Parses the deadline, the Idempotency-Key and, for exclusive services, the routing key.
struct ParseFilter
{
    [[nodiscard]] auto operator()(RequestContext context) const -> FilterResult;
};

/// Authenticates the team key in the Authorization header, unless the route is open, and computes
/// the request digest.
struct AuthenticateFilter
{
    const ClusterState &state;
    [[nodiscard]] auto operator()(RequestContext context) const -> FilterResult;
};

/// Refuses requests whose digest is under quarantine.
struct QuarantineFilter
{
    const ClusterState &state;
    [[nodiscard]] auto operator()(RequestContext context) const -> FilterResult;
};

/// Applies the filters in order and stops at the first refusal.
template <RequestFilter First, RequestFilter... Rest>
[[nodiscard]] auto runFilters(RequestContext context, const First &first, const Rest &...rest)
    -> FilterResult
{
    auto result = first(std::move(context));
    if constexpr (sizeof...(rest) > 0) {
        if (auto *next = std::get_if<RequestContext>(&result)) {
            return runFilters(std::move(*next), rest...);
        }
    }
    return result;
}

} // namespace figlanding
