#pragma once

#include "figlanding/gateway/caller_patience.h"
#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/team_limits.h"
#include "figlanding/random.h"
#include "figlanding/retry_policy.h"
#include "gateway/request_record.h"
#include "gateway/slot_client.h"
#include "io/http_client.h"
#include "io/http_server.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

/// @file
/// Takes callers' requests to servers and answers them.

namespace figlanding {

/// Settings of RequestPath.
struct RequestPathOptions
{
    double retryRatio = 0.15; ///< extra arrivals at servers for each request of this VM
    double retryReserve = 30.0; ///< extra arrivals that all VMs together may save up
    milliseconds connectTimeout{300};
    milliseconds maxIdleAge{8000}; ///< servers close idle connections after about 10 s
    milliseconds answerMargin{10}; ///< kept back for the answer's way to the caller
    milliseconds leastTimeToSend{20}; ///< a request with less time left is not sent
    std::uint64_t randomSeed = 0;
};

/// Questions and events of RequestPath.
struct RequestPathHandlers
{
    /// The newest configuration; null while there is none.
    std::function<std::shared_ptr<const DesiredStateIndex>()> state;
    std::function<const ServerRegistry &()> registry;
    /// The owner of a key, empty if nobody owns it.
    std::function<ServerLife(const ServiceId &, ShardKey)> owner;
    std::function<void(const ServiceId &, ShardKey)> onKey; ///< counts requests for a key
    std::function<double()> fleetSize; ///< number of VMs, at least 1
    std::function<void()> onStaleOwner; ///< a server did not hold a key that it should
    std::function<void(const RequestRecord &)> onEnd;
};

/// The request path of one VM.
template <CallerProtocol Protocol>
class RequestPath
{
public:
    RequestPath(EventLoop &loop, HttpClient &client, SlotClient &slots, TeamLimits &limits,
                RequestPathOptions options, RequestPathHandlers handlers)
        : m_loop(loop)
        , m_client(client)
        , m_slots(slots)
        , m_limits(limits)
        , m_options(options)
        , m_handlers(std::move(handlers))
        , m_random(m_options.randomSeed)
    { }
    RequestPath(const RequestPath &) = delete;
    auto operator=(const RequestPath &) -> RequestPath & = delete;

    /// Takes a request; it is answered later.
    auto handle(HttpExchange exchange) -> void
    {
        const auto number = m_nextNumber++;
        auto &running = m_requests[number];
        running.exchange = std::make_unique<HttpExchange>(std::move(exchange));
        running.caller = Protocol::readRequest(running.exchange->request());
        running.record.requestId = running.caller.id;
        running.receivedAt = m_loop.now();
        running.deadline = running.receivedAt;
        running.exchange->onAbandoned([this, number] { abandon(number); });
        if (auto refusal = admit(running)) {
            refuse(number, std::move(*refusal));
            return;
        }
        const auto reserve = m_options.retryReserve / m_handlers.fleetSize();
        m_budgets.try_emplace(running.service, m_options.retryRatio, reserve)
            .first->second.onRequest();
        place(number);
    }

    /// Takes the decision on a slot.
    auto onSlot(std::uint64_t number, const std::variant<SlotGrant, SlotRefusal> &outcome) -> void
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        if (const auto *refusal = std::get_if<SlotRefusal>(&outcome)) {
            found->second.stage = Stage::Idle;
            refuse(number,
                   {.reason = RefusalReason::QueueFull,
                    .detail = "no slot in time",
                    .verdict = found->second.verdict,
                    .retryAfter = refusal->retryAfter});
            return;
        }
        send(number, std::get<SlotGrant>(outcome).server);
    }

    /// Ends what has reached its deadline and places waiting requests again.
    auto tick(TimePoint now) -> void
    {
        auto due = std::vector<std::uint64_t>{};
        for (const auto &[number, running] : m_requests) {
            if (now >= running.deadline
                || (running.stage == Stage::Idle && now >= running.placeAt)) {
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
            } else {
                place(number);
            }
        }
    }

    [[nodiscard]] auto pending() const -> std::size_t
    {
        return m_requests.size();
    }

private:
    enum class Stage {
        Idle, ///< to be placed at placeAt
        Asking, ///< waits for a slot
        Sent, ///< waits for the server
    };

    struct Running
    {
        std::unique_ptr<HttpExchange> exchange; ///< null once the caller has left
        CallerRequest caller;
        std::shared_ptr<const DesiredStateIndex> state; ///< keeps route alive
        const DesiredRoute *route = nullptr;
        RequestRecord record;
        TeamId team;
        std::uint32_t priority = 0;
        ServiceId service;
        Stage stage = Stage::Idle;
        TimePoint receivedAt;
        TimePoint objectiveAt;
        TimePoint deadline;
        TimePoint placeAt;
        TimePoint sentAt;
        std::uint32_t attempts = 0; ///< servers that it was sent to
        Verdict verdict = Verdict::NotRun;
        std::vector<BackendServerId> excluded;
        ServerLife server;
        HttpClient::CallId call = 0;
    };

    // Finds route, team and service; returns why the request is not served.
    auto admit(Running &running) -> std::optional<Refusal>
    {
        running.state = m_handlers.state();
        if (!running.state) {
            return Refusal{.reason = RefusalReason::ViewNotFresh,
                           .detail = "no configuration yet",
                           .retryAfter = milliseconds(300)};
        }
        const auto &request = running.exchange->request();
        running.route = running.state->findRoute(running.caller.host, pathOf(request.target));
        if (running.route == nullptr) {
            return Refusal{.reason = RefusalReason::NoRoute,
                           .detail = running.caller.host + " " + request.target};
        }
        const auto &route = *running.route;
        running.record.route = route.id;
        running.record.configVersion = running.state->state().version;
        running.priority = route.priority;
        const auto timeout =
            std::min(route.timeout, running.caller.deadline.value_or(route.timeout));
        running.deadline = running.receivedAt + timeout - m_options.answerMargin;
        running.objectiveAt = running.receivedAt + route.latencyObjective
            - m_patience.spent(route.id, running.caller);
        running.service = pickService(route, m_uniform(m_random));
        running.record.service = running.service;
        return admitTeam(running);
    }

    auto admitTeam(Running &running) -> std::optional<Refusal>
    {
        if (running.route->open || !running.state->hasTeams()) {
            return std::nullopt;
        }
        const auto *team = running.state->findTeam(running.caller.apiKey);
        if (team == nullptr) {
            const auto missing = running.caller.apiKey.empty();
            return Refusal{.reason = missing ? RefusalReason::MissingTeamKey
                                             : RefusalReason::InvalidTeamKey};
        }
        running.team = team->id;
        running.record.team = team->id;
        running.priority = team->priority.value_or(running.priority);
        const auto rate = TeamRate{.perSecond = team->ratePerSecond, .burst = team->burst};
        if (!m_limits.admit(team->id, rate, running.receivedAt)) {
            return Refusal{.reason = RefusalReason::RateLimited,
                           .detail = "team " + team->id.value(),
                           .retryAfter = m_limits.retryAfter(team->id, rate)};
        }
        return std::nullopt;
    }

    auto place(std::uint64_t number) -> void
    {
        auto &running = m_requests.at(number);
        const auto now = m_loop.now();
        auto owner = ServerLife{};
        const auto *service = running.state->findService(running.service);
        if (service != nullptr && service->keyed) {
            if (!running.caller.key) {
                refuse(number,
                       {.reason = RefusalReason::MalformedRequest,
                        .detail = "service " + running.service.value() + " needs a key"});
                return;
            }
            owner = m_handlers.owner(running.service, *running.caller.key);
            if (owner.server.empty()) {
                placeLater(running, now);
                return;
            }
            running.record.server = owner.server;
            if (running.attempts == 0) {
                m_handlers.onKey(running.service, *running.caller.key);
            }
        }
        running.stage = Stage::Asking;
        m_slots.ask({.id = {.vm = {}, .number = number},
                     .service = running.service,
                     .owner = owner.server,
                     .excluded = running.excluded,
                     .priority = running.priority,
                     .arrivedAt = running.receivedAt,
                     .objectiveAt = running.objectiveAt,
                     .deadline = running.deadline},
                    now);
    }

    // Keys without an owner have one again soon.
    auto placeLater(Running &running, TimePoint now) -> void
    {
        constexpr auto pause = milliseconds(40);
        running.stage = Stage::Idle;
        running.placeAt = now + pause;
    }

    auto send(std::uint64_t number, const ServerLife &life) -> void
    {
        auto &running = m_requests.at(number);
        const auto now = m_loop.now();
        const auto *server = m_handlers.registry().find(life.server);
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(running.deadline - now);
        // The VM that handed out the slot may know less of the server than this one.
        const auto usable = server != nullptr && server->entry.bornUnixMs == life.bornUnixMs
            && m_handlers.registry().takesWork(*server);
        if (!usable || timeLeft < m_options.leastTimeToSend) {
            m_slots.finish(number, {.end = SlotEnd::Abandoned}, now);
            running.excluded.push_back(life.server);
            placeLater(running, now);
            return;
        }
        running.stage = Stage::Sent;
        running.server = life;
        running.sentAt = now;
        running.attempts += 1;
        running.record.server = life.server;
        running.record.attempts = running.attempts;
        running.record.waited = now - running.receivedAt;
        const auto attempt = running.attempts;
        const auto &original = running.exchange->request();
        running.call = m_client.call(
            server->entry.address,
            Protocol::serverRequest(
                original, {.server = life.server, .timeLeft = timeLeft, .team = running.team}),
            {.timeout = timeLeft,
             .connectTimeout = m_options.connectTimeout,
             .maxIdleAge = m_options.maxIdleAge,
             .correlationHeader = Protocol::idHeader(running.caller.id)},
            [this, number, attempt](HttpOutcome outcome) {
                const auto found = m_requests.find(number);
                if (found != m_requests.end() && found->second.attempts == attempt) {
                    onOutcome(number, std::move(outcome));
                }
            });
    }

    auto onOutcome(std::uint64_t number, HttpOutcome outcome) -> void
    {
        auto &running = m_requests.at(number);
        const auto now = m_loop.now();
        running.stage = Stage::Idle;
        running.call = 0;
        if (outcome.verdict != Verdict::Ran) {
            m_slots.finish(number, {.end = endOf(outcome), .elapsed = now - running.sentAt}, now);
            running.record.detail = describe(outcome.error);
            if (outcome.verdict == Verdict::NotRun) {
                running.attempts -= 1;
            }
            retryOr(number, outcome.verdict, {.reason = RefusalReason::AnswerLost});
            return;
        }
        const auto answer = Protocol::readAnswer(outcome.response, running.caller.id);
        m_slots.finish(
            number,
            {.end = endOf(answer.kind), .elapsed = now - running.sentAt, .load = answer.load}, now);
        switch (answer.kind) {
        case AnswerKind::Success:
            respond(number, std::move(outcome.response));
            return;
        case AnswerKind::Failure:
            onServerFailure(number, std::move(outcome.response));
            return;
        case AnswerKind::WrongServer:
            m_handlers.onStaleOwner();
            [[fallthrough]];
        case AnswerKind::NotRun:
            running.record.detail =
                "server declined with " + std::to_string(outcome.response.status);
            retryOr(number, Verdict::NotRun, {.reason = RefusalReason::ServerDeclined});
            return;
        case AnswerKind::Foreign:
            running.record.detail = "answer is not the server's";
            retryOr(number, Verdict::MayHaveRun, {.reason = RefusalReason::AnswerLost});
            return;
        }
    }

    // How a request ended that got no whole answer.
    [[nodiscard]] static auto endOf(const HttpOutcome &outcome) -> SlotEnd
    {
        if (outcome.verdict == Verdict::NotRun) {
            return SlotEnd::Unreachable;
        }
        return outcome.error.code == ErrorCode::Timeout ? SlotEnd::TimedOut : SlotEnd::Lost;
    }

    [[nodiscard]] static auto endOf(AnswerKind kind) -> SlotEnd
    {
        switch (kind) {
        case AnswerKind::Success:
            return SlotEnd::Served;
        case AnswerKind::Failure:
        case AnswerKind::Foreign:
            return SlotEnd::Failed;
        default:
            return SlotEnd::Declined;
        }
    }

    // A failure of an idempotent request is worth another server; otherwise it is the answer.
    auto onServerFailure(std::uint64_t number, HttpResponse response) -> void
    {
        auto &running = m_requests.at(number);
        running.verdict = Verdict::Ran;
        constexpr auto firstServerError = 500;
        if (response.status >= firstServerError && mayTryAgain(running, Verdict::Ran)) {
            tryAgain(running);
            return;
        }
        respond(number, std::move(response));
    }

    [[nodiscard]] auto mayTryAgain(const Running &running, Verdict verdict) const -> bool
    {
        const auto repeatable =
            verdict == Verdict::NotRun || running.route->repeatability == Repeatability::Idempotent;
        return repeatable && running.exchange && running.attempts < running.route->maxAttempts
            && m_loop.now() + m_options.leastTimeToSend < running.deadline;
    }

    // Another server of a pool is asked at once; a keyed request waits for its owner.
    auto tryAgain(Running &running) -> void
    {
        const auto now = m_loop.now();
        const auto *service = running.state->findService(running.service);
        if (service != nullptr && service->keyed) {
            placeLater(running, now);
            return;
        }
        running.excluded.push_back(running.server.server);
        running.stage = Stage::Idle;
        running.placeAt = now;
    }

    auto retryOr(std::uint64_t number, Verdict verdict, Refusal refusal) -> void
    {
        auto &running = m_requests.at(number);
        running.verdict = combine(running.verdict, verdict);
        auto &budget = m_budgets.at(running.service);
        if (mayTryAgain(running, verdict) && budget.take()) {
            tryAgain(running);
            return;
        }
        refusal.verdict = running.verdict;
        if (running.verdict == Verdict::NotRun) {
            refusal.reason = RefusalReason::ServerDeclined;
            refusal.retryAfter = milliseconds(100);
        } else {
            refusal.reason = RefusalReason::AnswerLost;
        }
        refuse(number, std::move(refusal));
    }

    // Ends a request at its deadline.
    auto expire(std::uint64_t number) -> void
    {
        auto &running = m_requests.at(number);
        const auto now = m_loop.now();
        const auto sent = running.stage == Stage::Sent;
        if (running.call != 0) {
            m_client.cancel(std::exchange(running.call, 0));
        }
        if (running.stage != Stage::Idle) {
            m_slots.finish(number,
                           {.end = sent ? SlotEnd::TimedOut : SlotEnd::Abandoned,
                            .elapsed = now - running.sentAt},
                           now);
        }
        running.verdict = combine(running.verdict, sent ? Verdict::MayHaveRun : Verdict::NotRun);
        const auto notRun = running.verdict == Verdict::NotRun;
        refuse(number,
               {.reason = notRun ? RefusalReason::QueueFull : RefusalReason::DeadlineExceeded,
                .detail = notRun ? "no slot until the deadline" : "no answer in time",
                .verdict = running.verdict,
                .retryAfter = notRun ? std::optional<Duration>(milliseconds(100)) : std::nullopt});
    }

    auto respond(std::uint64_t number, HttpResponse response) -> void
    {
        auto entry = m_requests.extract(number);
        auto &running = entry.mapped();
        running.record.status = response.status;
        running.record.verdict = Verdict::Ran;
        end(running);
        if (running.exchange) {
            running.exchange->respond(Protocol::callerResponse(std::move(response)));
        }
    }

    auto refuse(std::uint64_t number, Refusal refusal) -> void
    {
        auto entry = m_requests.extract(number);
        auto &running = entry.mapped();
        running.verdict = combine(running.verdict, refusal.verdict);
        refusal.verdict = running.verdict;
        if (running.verdict != Verdict::NotRun && refusal.reason == RefusalReason::QueueFull) {
            refusal.reason = RefusalReason::AnswerLost; // a 503 would say that it never ran
            refusal.retryAfter.reset();
        }
        auto response = Protocol::refusal(refusal, running.caller.id);
        running.record.status = response.status;
        running.record.verdict = running.verdict;
        running.record.refusal = refusal.reason;
        if (running.record.detail.empty()) {
            running.record.detail = refusal.detail;
        }
        end(running);
        if (running.exchange) {
            running.exchange->respond(std::move(response));
        }
    }

    auto end(Running &running) -> void
    {
        running.record.elapsed = m_loop.now() - running.receivedAt;
        m_handlers.onEnd(running.record);
    }

    // The caller has left. A request that may run only once is left to finish at its server.
    auto abandon(std::uint64_t number) -> void
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        auto &running = found->second;
        const auto sent = running.stage == Stage::Sent;
        if (sent && running.route->repeatability == Repeatability::AtMostOnce) {
            return;
        }
        const auto now = m_loop.now();
        if (running.call != 0) {
            m_client.cancel(running.call);
        }
        if (running.stage != Stage::Idle) {
            m_slots.finish(number, {.end = SlotEnd::Abandoned, .elapsed = now - running.sentAt},
                           now);
        }
        running.record.detail = "caller left";
        end(running);
        m_requests.erase(found);
    }

    EventLoop &m_loop;
    HttpClient &m_client;
    SlotClient &m_slots;
    TeamLimits &m_limits;
    RequestPathOptions m_options;
    RequestPathHandlers m_handlers;
    RandomEngine m_random;
    std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
    CallerPatience m_patience;
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<std::uint64_t, Running> m_requests;
    std::uint64_t m_nextNumber = 1;
};

} // namespace figlanding
