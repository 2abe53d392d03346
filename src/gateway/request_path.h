#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/gateway/server_pauses.h"
#include "figlanding/gateway/server_registry.h"
#include "gateway/active_request.h"
#include "gateway/key_owner_decision.h"
#include "gateway/request_admission.h"
#include "gateway/request_completion.h"
#include "gateway/request_refusals.h"
#include "gateway/request_retries.h"
#include "gateway/response_trust.h"
#include "gateway/slot_client.h"
#include "gateway/slot_end_of.h"
#include "io/http_client.h"
#include "io/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// Forwards requests of callers to servers and returns the responses: routing, team limits, slots,
/// retries and deadlines.

namespace figlanding {

/// Settings of RequestPath.
struct RequestPathOptions
{
    double retryRatio = 0.15; ///< retries allowed per request of this VM
    double retryReserve = 30.0; ///< retries that all VMs together may accumulate beyond the ratio
    milliseconds connectTimeout{300};
    milliseconds maxIdleAge{8000}; ///< servers close idle connections after about 10 s
    milliseconds minTimeToSend{20}; ///< a request with less time left is not sent
    milliseconds longestWaitForMove{500}; ///< of a request whose key's owner has restarted
    std::uint64_t randomSeed = 0;
};

/// Queries and callbacks of RequestPath.
struct RequestPathHandlers
{
    /// Returns the newest configuration; null until one was read.
    std::function<std::shared_ptr<const DesiredStateIndex>()> state;
    /// Returns what is known of that configuration; empty: always confirmed.
    std::function<ConfigurationStatus()> stateStatus = {};
    std::function<const ServerRegistry &()> registry;
    /// Returns the owner of a key; empty if the key has no owner.
    std::function<ServerIncarnation(const ServiceId &, ShardKey)> owner;
    /// Called for a request whose key has an owner, before it was sent.
    std::function<void(const ServiceId &, ShardKey)> onKey;
    std::function<double()> fleetSize; ///< number of VMs, at least 1
    std::function<void()> onStaleOwner; ///< a server rejected a key that it should own
    /// Called when a server says in a response that it is leaving. May be empty.
    std::function<void(const ServerIncarnation &)> onLeaving = {};
    /// Called if the granted server runs another service than the request's.
    std::function<void(const RequestRecord &, const ServerEntry &)> onOtherService;
    std::function<void(const RequestRecord &)> onEnd; ///< called once per completed request
};

/// Processes the requests that callers send to this VM.
template <CallerProtocol Protocol>
class RequestPath
{
public:
    RequestPath(EventLoop &loop, HttpClient &client, SlotClient &slots, TeamLimits &limits,
                RequestPathOptions options, RequestPathHandlers handlers)
        : m_loop(loop)
        , m_client(client)
        , m_slots(slots)
        , m_options(options)
        , m_handlers(std::move(handlers))
        , m_admission({.randomSeed = m_options.randomSeed}, limits, m_handlers.state,
                      m_handlers.stateStatus)
        , m_retries({.ratio = m_options.retryRatio,
                     .reserve = m_options.retryReserve,
                     .minTimeToSend = m_options.minTimeToSend})
        , m_completion(m_loop, m_admission, m_handlers.onEnd)
    { }
    RequestPath(const RequestPath &) = delete;
    auto operator=(const RequestPath &) -> RequestPath & = delete;

    /// Accepts a request. The response is sent through @p exchange, at once for a refusal,
    /// otherwise later.
    auto handle(HttpExchange exchange) -> void
    {
        const auto number = m_nextNumber++;
        auto &active = m_requests[number];
        active.exchange = std::make_unique<HttpExchange>(std::move(exchange));
        active.caller = Protocol::readRequest(active.exchange->request());
        active.body = std::make_shared<const std::string>(active.exchange->takeBody());
        active.record.requestId = active.caller.id;
        active.receivedAt = m_loop.now();
        active.deadline = active.receivedAt;
        active.exchange->onAbandoned([this, number] { abandon(number); });
        if (auto refusal = m_admission.admit(active)) {
            refuse(number, std::move(*refusal));
            return;
        }
        if (active.deadline > m_stopAt) {
            refuseAtShutdown(number);
            return;
        }
        m_retries.onRequest(active.service, m_handlers.fleetSize());
        dispatch(number);
    }

    /// Processes the decision on a slot: sends the request to the granted server or refuses it.
    auto onSlotDecision(std::uint64_t number, const std::variant<SlotGrant, SlotRefusal> &outcome)
        -> void
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        if (const auto *refusal = std::get_if<SlotRefusal>(&outcome)) {
            found->second.stage = Stage::Idle;
            refuse(number, refusalWithoutSlot(found->second.verdict, refusal->retryAfter));
            return;
        }
        send(number, std::get<SlotGrant>(outcome).server);
    }

    /// Ends requests whose deadline has passed and dispatches those whose delay has ended.
    auto tick(TimePoint now) -> void
    {
        m_pauses.expire(now);
        m_responseTrust.expire(now);
        auto due = std::vector<std::uint64_t>{};
        for (const auto &[number, active] : m_requests) {
            if (now >= active.deadline || isTooLong(active)
                || (active.stage == Stage::Idle && now >= active.dispatchAt)) {
                due.push_back(number);
            }
        }
        for (const auto number : due) {
            const auto found = m_requests.find(number);
            if (found == m_requests.end()) {
                continue;
            }
            if (now >= found->second.deadline) {
                expire(number);
            } else if (isTooLong(found->second)) {
                refuseAtShutdown(number);
            } else {
                dispatch(number);
            }
        }
    }

    /// Sets when this VM stops. From the next tick on, a request that is not at a server is refused
    /// if its deadline is later: another VM has the time that it may need.
    auto stopAt(TimePoint stop) -> void
    {
        m_stopAt = stop;
    }
    /// Answers every request that is not completed: one at a server as of unknown outcome, others
    /// as not run. Later requests are refused.
    auto endAll() -> void
    {
        m_stopAt = TimePoint::min();
        // Unsent requests come first, so that none of them is granted a slot that is released here.
        tick(m_loop.now());
        auto sent = std::vector<std::uint64_t>{};
        for (const auto &[number, active] : m_requests) {
            sent.push_back(number);
        }
        for (const auto number : sent) {
            if (m_requests.contains(number)) {
                refuseAtShutdown(number);
            }
        }
    }

    /// Returns the number of requests that are not completed.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_requests.size();
    }

private:
    using Stage = RequestStage;

    // Requests a slot, for a keyed service one of the owner of the key. Waits if the key has no
    // owner.
    auto dispatch(std::uint64_t number) -> void
    {
        auto &active = m_requests.at(number);
        const auto now = m_loop.now();
        auto owner = ServerIncarnation{};
        if (hasKeyedService(active)) {
            if (!active.caller.key) {
                refuse(number,
                       {.reason = RefusalReason::MalformedRequest,
                        .detail = "service " + active.service.value() + " needs a key"});
                return;
            }
            owner = m_handlers.owner(active.service, *active.caller.key);
            active.record.server = owner.server;
            if (holdBack(number, owner)) {
                return;
            }
            if (m_pauses.isPaused(owner, now)) {
                refuse(number, refusalAfterFailure(active.verdict)); // another VM may send it
                return;
            }
            if (active.attempts == 0) {
                m_handlers.onKey(active.service, *active.caller.key);
            }
        }
        auto excluded = active.excluded;
        for (auto &server : m_pauses.pausedServers(active.service, now)) {
            excluded.push_back(std::move(server));
        }
        active.stage = Stage::AwaitingSlot;
        m_slots.acquire({.id = {.vm = {}, .number = number},
                         .service = active.service,
                         .owner = owner.server,
                         .excluded = std::move(excluded),
                         .failedOn = active.failedOn,
                         .priority = active.priority,
                         .arrivedAt = active.receivedAt,
                         .objectiveAt = active.objectiveAt,
                         .deadline = active.deadline,
                         .route = active.route->id},
                        now);
    }

    // Delays or refuses a request whose key has no owner that can be asked for a slot. Returns
    // whether it did.
    auto holdBack(std::uint64_t number, const ServerIncarnation &owner) -> bool
    {
        auto &active = m_requests.at(number);
        const auto now = m_loop.now();
        auto decision = decideByKeyOwner(m_handlers.registry(), owner, active,
                                         m_options.longestWaitForMove, now);
        if (std::holds_alternative<AwaitOwner>(decision)) {
            dispatchLater(active, now);
        } else if (auto *refusal = std::get_if<Refusal>(&decision)) {
            refuse(number, std::move(*refusal));
        }
        return !std::holds_alternative<AskOwner>(decision);
    }

    // Delays a request until the key has an owner again or a usable server may be granted.
    auto dispatchLater(ActiveRequest &active, TimePoint now) -> void
    {
        constexpr auto pause = milliseconds(40);
        active.stage = Stage::Idle;
        active.dispatchAt = now + pause;
    }

    // Sends a request to the server that was granted, unless that is no longer right.
    auto send(std::uint64_t number, const ServerIncarnation &incarnation) -> void
    {
        auto &active = m_requests.at(number);
        const auto now = m_loop.now();
        const auto *server = m_handlers.registry().find(incarnation.server);
        const auto otherService = server != nullptr && server->entry.service != active.service;
        if (otherService) {
            m_handlers.onOtherService(active.record, server->entry);
        }
        // The VM that granted the slot may have an older view of the server than this VM.
        const auto usable = server != nullptr && !otherService
            && server->entry.startedUnixMs == incarnation.startedUnixMs
            && m_handlers.registry().acceptsRequests(*server);
        if (!usable || timeLeftOf(active, now) < m_options.minTimeToSend) {
            m_slots.release(number, {.end = SlotEnd::Abandoned}, now);
            active.excluded.push_back(incarnation.server);
            dispatchLater(active, now);
            return;
        }
        // While the request waited, the server may have asked for a pause, or the key have moved.
        if (m_pauses.isPaused(incarnation, now) || keyHasMoved(active, incarnation.server)) {
            m_slots.release(number, {.end = SlotEnd::Abandoned}, now);
            active.stage = Stage::Idle;
            active.dispatchAt = now;
            return;
        }
        callServer(number, incarnation, server->entry.address, now);
    }

    auto callServer(std::uint64_t number, const ServerIncarnation &incarnation,
                    const SocketAddress &address, TimePoint now) -> void
    {
        auto &active = m_requests.at(number);
        const auto timeLeft = timeLeftOf(active, now);
        const auto freshConnection =
            m_responseTrust.takeNewConnection(incarnation, active.route->repeatability, now);
        active.stage = Stage::AwaitingResponse;
        active.server = incarnation;
        active.sentAt = now;
        active.attempts += 1;
        active.record.server = incarnation.server;
        active.record.attempts = active.attempts;
        active.record.waited = now - active.receivedAt;
        const auto attempt = active.attempts;
        const auto &original = active.exchange->request();
        active.call = m_client.call(
            address,
            Protocol::serverRequest(
                original,
                {.server = incarnation.server, .timeLeft = timeLeft, .team = active.team}),
            {.timeout = timeLeft,
             .connectTimeout = m_options.connectTimeout,
             .freshConnection = freshConnection,
             .maxIdleAge = m_options.maxIdleAge,
             .correlationHeader = Protocol::idHeader(active.caller.id),
             .sharedBody = active.body},
            [this, number, attempt](HttpOutcome outcome) {
                const auto found = m_requests.find(number);
                if (found != m_requests.end() && found->second.attempts == attempt) {
                    onOutcome(number, std::move(outcome));
                }
            });
    }

    // Returns whether the request's key got another owner while the request waited for a slot.
    [[nodiscard]] auto keyHasMoved(const ActiveRequest &active, const BackendServerId &server) const
        -> bool
    {
        return hasKeyedService(active)
            && m_handlers.owner(active.service, *active.caller.key).server != server;
    }

    auto onOutcome(std::uint64_t number, HttpOutcome outcome) -> void
    {
        auto &active = m_requests.at(number);
        const auto now = m_loop.now();
        active.stage = Stage::Idle;
        active.call = 0;
        active.record.repeats += outcome.repeated ? 1U : 0U;
        if (outcome.verdict != Verdict::Ran) {
            m_slots.release(number, {.end = slotEndOf(outcome), .elapsed = now - active.sentAt},
                            now);
            active.record.detail = describe(outcome.error);
            m_responseTrust.onFailure(active, outcome, now);
            if (outcome.verdict == Verdict::NotRun) {
                active.attempts -= 1;
            }
            retryOrRefuse(number, outcome.verdict);
            return;
        }
        const auto response = m_responseTrust.read(active, outcome, now);
        m_slots.release(number,
                        {.end = slotEndOf(response.kind),
                         .elapsed = now - active.sentAt,
                         .load = response.load,
                         .terms = response.terms},
                        now);
        if (response.terms) {
            applyTerms(active, *response.terms, now);
        }
        switch (response.kind) {
        case ResponseKind::Success:
            respond(number, std::move(outcome.response));
            return;
        case ResponseKind::Failure:
            onServerFailure(number, std::move(outcome.response));
            return;
        case ResponseKind::WrongServer:
            m_handlers.onStaleOwner();
            [[fallthrough]];
        case ResponseKind::NotRun:
            active.record.detail = "server declined the request with status "
                + std::to_string(outcome.response.status);
            retryOrRefuse(number, Verdict::NotRun);
            return;
        case ResponseKind::Foreign:
            active.record.detail = "response belongs to another request or another server";
            retryOrRefuse(number, Verdict::MayHaveRun);
            return;
        case ResponseKind::Unproven:
            active.record.detail = "rejection without an id on a kept connection, status "
                + std::to_string(outcome.response.status);
            retryOrRefuse(number, Verdict::MayHaveRun);
            return;
        }
    }

    // Takes over the terms that bind this VM; the limit goes to the VM that allocates the slots.
    auto applyTerms(const ActiveRequest &active, const ServerTerms &terms, TimePoint now) -> void
    {
        if (terms.pause) {
            m_pauses.add(active.server, active.service, now + *terms.pause);
        }
        if (terms.leaving && m_handlers.onLeaving) {
            m_handlers.onLeaving(active.server);
        }
    }

    // Retries a server error if the request is idempotent and the retry budget allows it; otherwise
    // returns it to the caller. A status that promises that the request has not run would make the
    // caller send it again, so it is not returned if the request must run at most once.
    auto onServerFailure(std::uint64_t number, HttpResponse response) -> void
    {
        auto &active = m_requests.at(number);
        active.verdict = Verdict::Ran;
        constexpr auto firstServerError = 500;
        if (response.status >= firstServerError
            && m_retries.takeFor(active, Verdict::Ran, m_loop.now())) {
            retry(active);
            return;
        }
        if (active.route->repeatability == Repeatability::AtMostOnce
            && Protocol::promisesNotRun(response)) {
            active.record.detail =
                "server ran the request and failed with status " + std::to_string(response.status);
            refuse(number, refusalAfterFailure(Verdict::Ran));
            return;
        }
        respond(number, std::move(response));
    }

    // Schedules a retry: without a key at once and at another server, with a key at the owner after
    // a delay.
    auto retry(ActiveRequest &active) -> void
    {
        const auto now = m_loop.now();
        if (hasKeyedService(active)) {
            dispatchLater(active, now);
            return;
        }
        active.excluded.push_back(active.server.server);
        active.failedOn.push_back(active.server.server);
        active.stage = Stage::Idle;
        active.dispatchAt = now;
    }

    // Retries a request if its route, deadline and the retry budget allow it, otherwise refuses it.
    auto retryOrRefuse(std::uint64_t number, Verdict verdict) -> void
    {
        auto &active = m_requests.at(number);
        active.verdict = combine(active.verdict, verdict);
        if (m_retries.takeFor(active, verdict, m_loop.now())) {
            retry(active);
            return;
        }
        refuse(number, refusalAfterFailure(active.verdict));
    }

    // Returns whether a request that is not at a server may not complete before this VM stops.
    [[nodiscard]] auto isTooLong(const ActiveRequest &active) const -> bool
    {
        return active.stage != Stage::AwaitingResponse && active.deadline > m_stopAt;
    }

    auto refuseAtShutdown(std::uint64_t number) -> void
    {
        withdraw(number, SlotEnd::Abandoned);
        refuse(number, refusalAtShutdown(m_requests.at(number).verdict));
    }

    // Cancels what a request waits for, and takes into account that its server may have run it.
    auto withdraw(std::uint64_t number, SlotEnd endAtServer) -> void
    {
        auto &active = m_requests.at(number);
        const auto now = m_loop.now();
        const auto sent = active.stage == Stage::AwaitingResponse;
        if (active.call != 0) {
            m_client.cancel(std::exchange(active.call, 0));
        }
        if (active.stage != Stage::Idle) {
            m_slots.release(
                number,
                {.end = sent ? endAtServer : SlotEnd::Abandoned, .elapsed = now - active.sentAt},
                now);
        }
        active.verdict = combine(active.verdict, sent ? Verdict::MayHaveRun : Verdict::NotRun);
    }

    // Refuses a request whose deadline has passed and cancels what it waits for.
    auto expire(std::uint64_t number) -> void
    {
        withdraw(number, SlotEnd::TimedOut);
        refuse(number, refusalAtDeadline(m_requests.at(number).verdict));
    }

    auto respond(std::uint64_t number, HttpResponse response) -> void
    {
        auto entry = m_requests.extract(number);
        m_completion.respond(entry.mapped(), std::move(response));
    }

    auto refuse(std::uint64_t number, Refusal refusal) -> void
    {
        auto entry = m_requests.extract(number);
        m_completion.refuse(entry.mapped(), std::move(refusal));
    }

    // Handles a disconnected caller: cancels its request. A request that must run at most once and
    // was already sent is left to complete at its server.
    auto abandon(std::uint64_t number) -> void
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        auto &active = found->second;
        const auto sent = active.stage == Stage::AwaitingResponse;
        if (sent && active.route->repeatability == Repeatability::AtMostOnce) {
            return;
        }
        withdraw(number, SlotEnd::Abandoned);
        m_completion.abandon(active);
        m_requests.erase(found);
    }

    EventLoop &m_loop;
    HttpClient &m_client;
    SlotClient &m_slots;
    RequestPathOptions m_options;
    RequestPathHandlers m_handlers;
    RequestAdmission m_admission;
    RequestRetries m_retries;
    RequestCompletion<Protocol> m_completion;
    ServerPauses m_pauses;
    ResponseTrust<Protocol> m_responseTrust;
    std::map<std::uint64_t, ActiveRequest> m_requests;
    std::uint64_t m_nextNumber = 1;
    TimePoint m_stopAt = TimePoint::max();
};

} // namespace figlanding
