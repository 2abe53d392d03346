#include "daemon/dispatcher.h"

#include "daemon/server_exchange.h"
#include "figlanding/sharding.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr milliseconds queueCheckInterval{10};

auto refusal(RefusalReason reason, std::string detail) -> Refusal
{
    return {.reason = reason, .detail = std::move(detail), .verdict = Verdict::NotRun};
}

} // namespace

Dispatcher::Dispatcher(EventLoop &loop, HttpClient &client, DispatcherOptions options,
                       DispatcherHandlers handlers)
    : m_loop(loop)
    , m_client(client)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_duplicates(loop.now())
    , m_poisonDetector({}, m_options.self.value())
    , m_queueTimer(loop, [this] { processAllQueues(); })
{
    m_queueTimer.startRepeating(queueCheckInterval);
}

auto Dispatcher::isDispatcher(const ClusterState &state, const BackendServerId &server) const
    -> bool
{
    const auto self = state.members.find(m_options.self);
    return self != state.members.end() && self->second.incarnation == m_options.incarnation
        && dispatcherOf(state, server) == m_options.self;
}

auto Dispatcher::check(const DispatchRequest &request) const -> std::optional<Refusal>
{
    const auto &state = m_handlers.state();
    if (!m_handlers.viewIsFresh()) {
        return refusal(RefusalReason::ViewNotFresh,
                       "view at offset " + std::to_string(state.offset));
    }
    if (!isDispatcher(state, request.server) || !m_servers.contains(request.server)) {
        return refusal(RefusalReason::NotDispatcher, "server \"" + request.server.value() + "\"");
    }
    if (!request.exclusive) {
        return std::nullopt;
    }
    const auto *assignment = assignmentForKey(state, request.service, request.routingKey);
    if (assignment == nullptr || assignment->moving() || assignment->owner != request.server) {
        return refusal(RefusalReason::KeyIsMoving,
                       "key \"" + request.routingKey + "\" of service \"" + request.service.value()
                           + "\"");
    }
    return std::nullopt;
}

auto Dispatcher::dispatch(DispatchRequest request, Callback callback) -> DispatchId
{
    const auto id = m_nextId++;
    if (auto known = m_duplicates.begin(request, m_loop.now())) {
        callback(std::move(*known));
        return id;
    }
    const auto deadline = m_loop.now() + request.remaining;
    m_calls[id] = {
        .request = std::move(request), .callback = std::move(callback), .deadline = deadline};
    submit(id);
    return id;
}

auto Dispatcher::submit(DispatchId id) -> void
{
    auto &call = m_calls.at(id);
    if (auto refused = check(call.request)) {
        finish(id, std::move(*refused));
        return;
    }
    const auto server = call.request.server;
    auto &admission = m_servers.at(server)->admission();
    const auto outcome = admission.submit(
        {.id = id, .team = call.request.team, .deadline = call.deadline}, m_loop.now());
    switch (outcome) {
    case AdmissionOutcome::Started:
        send(id);
        break;
    case AdmissionOutcome::Queued:
        break;
    case AdmissionOutcome::QueueFull:
        finish(id, refusal(RefusalReason::QueueFull, "server \"" + server.value() + "\""));
        break;
    case AdmissionOutcome::DeadlineTooShort:
        finish(id, refusal(RefusalReason::DeadlineTooShort, "server \"" + server.value() + "\""));
        break;
    }
    processQueue(server);
}

auto Dispatcher::send(DispatchId id) -> void
{
    auto &call = m_calls.at(id);
    const auto now = m_loop.now();
    auto &admission = m_servers.at(call.request.server)->admission();
    if (auto refused = check(call.request)) {
        admission.finish(id, RequestEnd::NotSent, {}, now);
        finish(id, std::move(*refused));
        return;
    }
    auto remaining = call.deadline - now;
    if (call.request.exclusive) {
        remaining = std::min<Duration>(remaining, m_options.timing.exclusiveDeadline);
    }
    const auto timeout = std::chrono::duration_cast<milliseconds>(remaining);
    if (timeout <= milliseconds::zero()) {
        admission.finish(id, RequestEnd::NotSent, {}, now);
        finish(id, refusal(RefusalReason::DeadlineExceeded, "the request waited for a slot"));
        return;
    }
    call.sent = true;
    m_poisonDetector.onStart(call.request.server, call.request.digest, now);
    call.offsetWhenSent = m_handlers.state().offset;
    call.sentAt = now;
    call.deadline = now + remaining;
    const auto &address = m_servers.at(call.request.server)->server().address;
    call.httpCall =
        m_client.call(address, serverRequest(call.request, m_handlers.state(), remaining),
                      serverCallOptions(call.request, timeout),
                      [this, id](HttpOutcome outcome) { onOutcome(id, std::move(outcome)); });
}

auto Dispatcher::onOutcome(DispatchId id, HttpOutcome outcome) -> void
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const auto &call = found->second;
    const auto server = call.request.server;
    const auto now = m_loop.now();
    const auto serverEntry = m_servers.find(server);
    const auto lost = outcome.verdict == Verdict::MayHaveRun;
    auto answer = readServerOutcome(call.request, std::move(outcome));
    if (answer.end == RequestEnd::Lost) {
        m_poisonDetector.onNoAnswer(server, call.request.digest, now);
    } else {
        m_poisonDetector.onAnswer(server, call.request.digest, now);
    }
    if (serverEntry != m_servers.end()) {
        serverEntry->second->admission().finish(id, answer.end, now - call.sentAt, now);
        if (lost) {
            serverEntry->second->probe();
        }
    }
    finish(id, std::move(answer.result));
    processQueue(server);
}

auto Dispatcher::recordCrash(const BackendServerId &server, const std::string &bootId) -> void
{
    const auto findings =
        m_poisonDetector.onCrash(server, bootId, m_loop.now(), m_handlers.unixNow());
    if (!findings.report.digests.empty()) {
        m_handlers.onCrash(findings);
    }
}

auto Dispatcher::acceptCrashReport(const CrashReport &report) -> void
{
    m_poisonDetector.onReport(report, m_loop.now());
}

auto Dispatcher::finish(DispatchId id, DispatchResult result) -> void
{
    auto entry = m_calls.extract(id);
    if (!entry.empty()) {
        m_duplicates.finish(entry.mapped().request, result, m_loop.now());
        entry.mapped().callback(std::move(result));
    }
}

auto Dispatcher::cancel(DispatchId id) -> void
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &call = found->second;
    const auto server = call.request.server;
    const auto serverEntry = m_servers.find(server);
    if (!call.sent) {
        if (serverEntry != m_servers.end()) {
            serverEntry->second->admission().cancelQueued(id);
        }
        m_duplicates.finish(call.request, Refusal{.verdict = Verdict::NotRun}, m_loop.now());
        m_calls.erase(found);
        return;
    }
    // The server may still run the request, so it keeps its slot and holds back the drained offset
    // until it ends. The result is discarded.
    call.callback = [](const DispatchResult &) {};
    if (call.request.idempotent && serverEntry != m_servers.end()) {
        const auto body = "{\"request_id\":\"" + call.request.requestId + "\"}";
        m_client.call(serverEntry->second->server().address,
                      {.method = "POST", .target = "/figlanding/cancel", .body = body}, {},
                      [](const HttpOutcome &) {});
    }
}

auto Dispatcher::processQueue(const BackendServerId &server) -> void
{
    const auto serverEntry = m_servers.find(server);
    if (serverEntry == m_servers.end()) {
        return;
    }
    const auto now = m_loop.now();
    auto &admission = serverEntry->second->admission();
    while (const auto next = admission.takeNext(now)) {
        if (m_calls.contains(next->id)) {
            send(next->id);
        } else {
            admission.finish(next->id, RequestEnd::NotSent, {}, now);
        }
    }
    for (const auto &refused : admission.takeRefused(now)) {
        const auto reason = refused.reason == AdmissionOutcome::QueueFull
            ? RefusalReason::QueueFull
            : RefusalReason::DeadlineTooShort;
        finish(refused.request.id, refusal(reason, "server \"" + server.value() + "\""));
    }
}

auto Dispatcher::processAllQueues() -> void
{
    std::vector<BackendServerId> servers;
    servers.reserve(m_servers.size());
    for (const auto &[id, server] : m_servers) {
        servers.push_back(id);
    }
    for (const auto &id : servers) {
        processQueue(id);
    }
}

auto Dispatcher::onState(const ClusterState &before, const ClusterState &after,
                         std::optional<TimePoint> olderViewUntil) -> void
{
    m_leaseRenewal.onState(openMoves(after), olderViewUntil);
    for (const auto &[id, entry] : after.servers) {
        if (!isDispatcher(after, id)) {
            continue;
        }
        const auto serverEntry = m_servers.find(id);
        if (serverEntry == m_servers.end()) {
            startDispatching(before, entry.object);
        } else {
            serverEntry->second->update(entry.object);
        }
    }
    std::vector<BackendServerId> lost;
    for (const auto &[id, server] : m_servers) {
        if (!after.servers.contains(id) || !isDispatcher(after, id)) {
            lost.push_back(id);
        }
    }
    for (const auto &id : lost) {
        handOver(id, after);
    }
}

auto Dispatcher::startDispatching(const ClusterState &before, const BackendServer &server) -> void
{
    auto added = std::make_unique<DispatchedServer>(
        m_loop, m_client, server, m_options.timing,
        DispatchedServerHandlers{
            .mayRenewLease =
                [this, id = server.id] {
                    return m_handlers.viewIsFresh() && m_leaseRenewal.mayRenew(id, m_loop.now());
                },
            .appliedOffset = [this] { return m_handlers.state().offset; },
            .onProbeResponse = [this, id = server.id](
                                   const std::string &bootId) { m_handlers.onBootId(id, bootId); },
            .onCrash = [this,
                        id = server.id](const std::string &bootId) { recordCrash(id, bootId); }});
    const auto hadDispatcher =
        before.servers.contains(server.id) && dispatcherOf(before, server.id).has_value();
    if (hadDispatcher) {
        // Even without a hand-over message, all requests of the previous dispatching VM have ended
        // after this time.
        const auto &timing = m_options.timing;
        added->admission().blockUntil(m_loop.now() + timing.viewLifetime
                                      + timing.clockDriftAllowance + timing.exclusiveDeadline);
    }
    m_servers[server.id] = std::move(added);
}

auto Dispatcher::handOver(const BackendServerId &server, const ClusterState &after) -> void
{
    auto serverEntry = m_servers.extract(server);
    const auto summary = serverEntry.mapped()->admission().handOver(m_loop.now());
    std::vector<DispatchId> waiting;
    for (const auto &[id, call] : m_calls) {
        if (call.request.server == server && !call.sent) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        finish(id, refusal(RefusalReason::NotDispatcher, "server \"" + server.value() + "\""));
    }
    // This may run inside a callback of the server's own timer, so the server is destroyed in the
    // next turn of the event loop.
    post(m_loop, [removed = std::shared_ptr<DispatchedServer>(std::move(serverEntry.mapped()))] {});
    const auto successor = dispatcherOf(after, server);
    if (successor && successor != m_options.self) {
        m_handlers.onHandOver(server, *successor, summary);
    }
}

auto Dispatcher::acceptHandOver(const BackendServerId &server, const AdmissionHandOver &handOver)
    -> void
{
    const auto serverEntry = m_servers.find(server);
    if (serverEntry != m_servers.end()) {
        serverEntry->second->admission().accept(handOver, m_loop.now());
        processQueue(server);
    }
}

auto Dispatcher::drainedOffset() const -> LogOffset
{
    auto drained = m_handlers.state().offset;
    for (const auto &[id, call] : m_calls) {
        if (call.sent && call.request.exclusive) {
            drained = std::min(drained, call.offsetWhenSent);
        }
    }
    return drained;
}

auto Dispatcher::suspectedServers() const -> std::set<BackendServerId>
{
    std::set<BackendServerId> suspected;
    for (const auto &[id, server] : m_servers) {
        if (server->suspected()) {
            suspected.insert(id);
        }
    }
    return suspected;
}

auto Dispatcher::queued() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        m_calls.begin(), m_calls.end(), [](const auto &entry) { return !entry.second.sent; }));
}

} // namespace figlanding
