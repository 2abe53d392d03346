#include "daemon/entry_router.h"

#include "figlanding/selection.h"
#include "figlanding/sharding.h"
#include "io/random_bytes.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr std::size_t requestIdBytes = 12;
constexpr milliseconds placementRetryDelay{10};
// Part of the caller's remaining time that is reserved for the hop between entry VM and dispatching
// VM.
constexpr milliseconds peerHopAllowance{5};

auto hasTime(const RequestContext &context, TimePoint now) -> bool
{
    return context.deadline - now > peerHopAllowance;
}

auto verdictOf(const DispatchResult &result) -> Verdict
{
    const auto *refusal = std::get_if<Refusal>(&result);
    return refusal == nullptr ? Verdict::Ran : refusal->verdict;
}

// Whether the request was not sent to a server, so that placing it again does not count as a retry.
auto isPlacementFailure(RefusalReason reason) -> bool
{
    return isTransient(reason) && reason != RefusalReason::ServerUnreachable
        && reason != RefusalReason::ServerDeclined;
}

auto routedRequestOf(const RequestContext &context) -> RoutedRequest
{
    return {.route = context.route, .teamKey = context.teamKey, .routingKey = context.routingKey};
}

} // namespace

EntryRouter::EntryRouter(EventLoop &loop, EntryRouterOptions options, EntryRouterHandlers handlers,
                         TeamTokens &tokens, Dispatcher &dispatcher, PeerMesh &mesh)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_tokens(tokens)
    , m_dispatcher(dispatcher)
    , m_mesh(mesh)
    , m_random(m_options.randomSeed)
{ }

auto EntryRouter::handle(HttpExchange exchange) -> void
{
    const auto number = m_nextNumber++;
    const auto now = m_loop.now();
    auto context = RequestContext{.requestId = randomHex(requestIdBytes),
                                  .receivedAt = now,
                                  .deadline = now,
                                  .http = std::make_shared<HttpRequest>(exchange.request())};
    exchange.onAbandoned([this, number] { abandon(number); });
    auto &active =
        m_requests.emplace(number, ActiveRequest{.exchange = exchange, .context = context})
            .first->second;
    if (!m_handlers.viewIsFresh()) {
        refuse(number, {.reason = RefusalReason::ViewNotFresh, .detail = "configuration view"});
        return;
    }
    const auto &state = m_handlers.state();
    auto result = runFilters(std::move(context), RouteFilter{state}, ParseFilter{},
                             AuthenticateFilter{state}, QuarantineFilter{state});
    if (auto *refusal = std::get_if<Refusal>(&result)) {
        refuse(number, std::move(*refusal));
        return;
    }
    active.context = std::move(std::get<RequestContext>(result));
    applyRateLimit(number);
}

auto EntryRouter::applyRateLimit(RequestNumber number) -> void
{
    auto &active = m_requests.at(number);
    if (active.context.route.open) {
        place(number);
        return;
    }
    const auto waitId =
        m_tokens.admit(active.context.team, [this, number](std::optional<Refusal> refusal) {
            const auto found = m_requests.find(number);
            if (found == m_requests.end()) {
                return;
            }
            found->second.cancel = nullptr;
            if (refusal) {
                refuse(number, std::move(*refusal));
            } else {
                place(number);
            }
        });
    const auto found = m_requests.find(number);
    if (found != m_requests.end() && !found->second.placement && !found->second.retryTimer) {
        found->second.cancel = [this, waitId] { m_tokens.cancel(waitId); };
    }
}

auto EntryRouter::chooseOwner(const RequestContext &context) const
    -> std::variant<BackendServerId, Refusal>
{
    return permittedOwner(m_handlers.state(), routedRequestOf(context));
}

auto EntryRouter::choosePoolServer(const RequestContext &context)
    -> std::variant<BackendServerId, Refusal>
{
    const auto permitted = permittedServers(m_handlers.state(), routedRequestOf(context));
    if (const auto *refusal = std::get_if<Refusal>(&permitted)) {
        return *refusal;
    }
    const auto &candidates = std::get<std::vector<BackendServerId>>(permitted);
    if (!context.idempotent && !context.idempotencyKey.empty()) {
        // Choosing by the key's hash sends repetitions of a request to the same server and so to
        // the same dispatching VM, which stores the response.
        return candidates.at(keyHash(context.idempotencyKey) % candidates.size());
    }
    auto &choice = m_poolChoices[context.route.service];
    return candidates.at(choice.choose(candidates, m_random, m_loop.now()));
}

auto EntryRouter::choosePlacement(const RequestContext &context) -> std::variant<Placement, Refusal>
{
    auto server =
        context.mode == ServiceMode::Exclusive ? chooseOwner(context) : choosePoolServer(context);
    if (auto *refusal = std::get_if<Refusal>(&server)) {
        return std::move(*refusal);
    }
    const auto &id = std::get<BackendServerId>(server);
    const auto dispatcher = dispatcherOf(m_handlers.state(), id);
    if (!dispatcher) {
        return Refusal{.reason = RefusalReason::NotDispatcher, .detail = "no VM is a member"};
    }
    return Placement{.server = id, .dispatcher = *dispatcher};
}

auto EntryRouter::place(RequestNumber number) -> void
{
    auto &active = m_requests.at(number);
    active.retryTimer.reset();
    if (!hasTime(active.context, m_loop.now())) {
        refuse(number,
               {.reason = RefusalReason::DeadlineExceeded,
                .detail = "the request waited for an owner",
                .verdict = active.verdict});
        return;
    }
    auto placement = choosePlacement(active.context);
    if (auto *refusal = std::get_if<Refusal>(&placement)) {
        onRefused(number, std::move(*refusal));
        return;
    }
    active.placement = std::get<Placement>(placement);
    send(number);
}

auto EntryRouter::dispatchRequestOf(const ActiveRequest &active) const -> DispatchRequest
{
    const auto &context = active.context;
    DispatchRequest request{.requestId = context.requestId,
                            .server = active.placement->server,
                            .service = context.route.service,
                            .exclusive = context.mode == ServiceMode::Exclusive,
                            .routingKey = context.routingKey,
                            .team = context.team,
                            .remaining = context.deadline - m_loop.now() - peerHopAllowance,
                            .idempotent = context.idempotent,
                            .idempotencyKey = context.idempotencyKey,
                            .digest = context.digest,
                            .http = {.method = context.http->method,
                                     .target = context.http->target,
                                     .body = context.http->body}};
    for (const auto &[name, value] : context.http->headers.fields()) {
        if (name != "authorization" && name != "host" && name != "content-length"
            && !isHopByHop(name) && !isReservedHeader(name)) {
            request.http.headers.add(name, value);
        }
    }
    return request;
}

auto EntryRouter::send(RequestNumber number) -> void
{
    auto &active = m_requests.at(number);
    const auto now = m_loop.now();
    ++active.attempts;
    active.sentAt = now;
    if (active.attempts == 1) {
        m_retryPolicies.try_emplace(active.context.route.service, m_options.retry)
            .first->second.onRequest();
    }
    if (active.context.mode == ServiceMode::Pool) {
        m_poolChoices[active.context.route.service].onStart(active.placement->server, now);
    }
    auto request = dispatchRequestOf(active);
    if (active.placement->dispatcher != m_options.self) {
        sendToPeer(number, request);
        return;
    }
    const auto id = m_dispatcher.dispatch(
        std::move(request), [this, number, attempt = active.attempts](DispatchResult result) {
            const auto found = m_requests.find(number);
            if (found != m_requests.end() && found->second.attempts == attempt) {
                onDispatchResult(number, std::move(result));
            }
        });
    const auto found = m_requests.find(number);
    if (found != m_requests.end() && found->second.placement) {
        found->second.cancel = [this, id] { m_dispatcher.cancel(id); };
    }
}

auto EntryRouter::sendToPeer(RequestNumber number, const DispatchRequest &request) -> void
{
    auto &active = m_requests.at(number);
    const auto dispatcher = active.placement->dispatcher;
    auto *link = m_mesh.linkTo(dispatcher);
    if (link == nullptr) {
        onDispatchResult(number,
                         Refusal{.reason = RefusalReason::DispatcherUnreachable,
                                 .detail = "VM \"" + dispatcher.value() + "\""});
        return;
    }
    const auto timeout = request.remaining + peerHopAllowance;
    const auto id =
        link->request(encodeDispatchRequest(request), timeout, [this, number](PeerOutcome outcome) {
            if (!m_requests.contains(number)) {
                return;
            }
            if (outcome.verdict == Verdict::Ran) {
                onDispatchResult(number, decodeDispatchResult(std::move(outcome.response)));
                return;
            }
            const auto notRun = outcome.verdict == Verdict::NotRun;
            onDispatchResult(number,
                             Refusal{.reason = notRun ? RefusalReason::DispatcherUnreachable
                                                      : RefusalReason::AnswerLost,
                                     .detail = describe(outcome.error),
                                     .verdict = outcome.verdict});
        });
    const auto found = m_requests.find(number);
    if (found != m_requests.end() && found->second.placement) {
        found->second.cancel = [this, dispatcher, id] {
            if (auto *current = m_mesh.linkTo(dispatcher)) {
                current->cancel(id);
            }
        };
    }
}

auto EntryRouter::recordPoolEnd(const ActiveRequest &active, bool failed) -> void
{
    if (active.context.mode == ServiceMode::Pool) {
        m_poolChoices[active.context.route.service].onEnd(
            active.placement->server, {.startedAt = active.sentAt, .failed = failed}, m_loop.now());
    }
}

auto EntryRouter::onDispatchResult(RequestNumber number, DispatchResult result) -> void
{
    auto &active = m_requests.at(number);
    active.cancel = nullptr;
    active.verdict = combine(active.verdict, verdictOf(result));
    recordPoolEnd(active, std::holds_alternative<Refusal>(result));
    active.placement.reset();
    if (auto *refusal = std::get_if<Refusal>(&result)) {
        onRefused(number, std::move(*refusal));
        return;
    }
    respond(number, std::move(std::get<HttpResponse>(result)), std::nullopt);
}

auto EntryRouter::onRefused(RequestNumber number, Refusal refusal) -> void
{
    auto &active = m_requests.at(number);
    const auto now = m_loop.now();
    refusal.verdict = combine(refusal.verdict, active.verdict);
    if (isPlacementFailure(refusal.reason)) {
        if (hasTime(active.context, now + placementRetryDelay)) {
            schedulePlacement(number, now + placementRetryDelay);
        } else {
            refuse(number, std::move(refusal));
        }
        return;
    }
    const auto attempt = FailedAttempt{.verdict = refusal.verdict,
                                       .status = 0,
                                       .retryAfter = refusal.retryAfter,
                                       .idempotent = active.context.idempotent,
                                       .attempts = active.attempts,
                                       .deadline = active.context.deadline};
    const auto retryable =
        isTransient(refusal.reason) || refusal.reason == RefusalReason::AnswerLost;
    const auto policy = m_retryPolicies.find(active.context.route.service);
    if (retryable && policy != m_retryPolicies.end()) {
        if (const auto next = policy->second.nextAttempt(attempt, now, m_random)) {
            schedulePlacement(number, *next);
            return;
        }
    }
    refuse(number, std::move(refusal));
}

auto EntryRouter::schedulePlacement(RequestNumber number, TimePoint placeAt) -> void
{
    auto &active = m_requests.at(number);
    active.retryTimer = std::make_unique<Timer>(m_loop, [this, number] {
        // place() destroys this timer, so it must not run inside the timer's callback.
        post(m_loop, [this, number] {
            if (m_requests.contains(number)) {
                place(number);
            }
        });
    });
    active.retryTimer->startOnce(std::max<Duration>(placeAt - m_loop.now(), milliseconds(1)));
}

auto EntryRouter::respond(RequestNumber number, HttpResponse response,
                          std::optional<RefusalReason> reason) -> void
{
    auto entry = m_requests.extract(number);
    auto &active = entry.mapped();
    HttpResponse forwarded{.status = response.status, .body = std::move(response.body)};
    for (const auto &[name, value] : response.headers.fields()) {
        const auto isRefusalHeader = name == "figlanding-refusal" || name == "figlanding-verdict";
        if (!isHopByHop(name) && name != "content-length"
            && (!isReservedHeader(name) || (reason && isRefusalHeader))) {
            forwarded.headers.add(name, value);
        }
    }
    forwarded.headers.set("figlanding-request-id", active.context.requestId);
    const auto verdict = reason ? active.verdict : Verdict::Ran;
    forwarded.headers.set("figlanding-verdict", toText(verdict));
    m_handlers.onEnd({.requestId = active.context.requestId,
                      .route = active.context.route.id,
                      .team = active.context.team,
                      .status = forwarded.status,
                      .verdict = verdict,
                      .refusal = reason,
                      .elapsed = m_loop.now() - active.context.receivedAt,
                      .attempts = active.attempts});
    active.exchange.respond(std::move(forwarded));
}

auto EntryRouter::refuse(RequestNumber number, Refusal refusal) -> void
{
    auto &active = m_requests.at(number);
    active.verdict = combine(active.verdict, refusal.verdict);
    refusal.verdict = active.verdict;
    respond(number, refusalResponse(refusal, active.context.requestId), refusal.reason);
}

auto EntryRouter::abandon(RequestNumber number) -> void
{
    auto entry = m_requests.extract(number);
    if (entry.empty()) {
        return;
    }
    auto &active = entry.mapped();
    if (active.placement) {
        recordPoolEnd(active, false);
    }
    if (active.cancel) {
        active.cancel();
    }
}

} // namespace figlanding
