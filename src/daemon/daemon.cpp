#include "daemon/daemon.h"

#include "daemon/admin_api.h"
#include "daemon/caller_server_options.h"
#include "daemon/controller_driver.h"
#include "daemon/dispatcher.h"
#include "daemon/entry_router.h"
#include "daemon/graceful_shutdown.h"
#include "daemon/log_follower.h"
#include "daemon/log_writer.h"
#include "daemon/peer_mesh.h"
#include "daemon/peer_requests.h"
#include "daemon/snapshot_publisher.h"
#include "daemon/team_tokens.h"
#include "daemon/vm_list_poller.h"
#include "figlanding/freshness.h"
#include "io/log.h"
#include "io/metrics.h"
#include "io/process_limits.h"
#include "io/random_bytes.h"

namespace figlanding {

namespace {

constexpr std::size_t incarnationBytes = 8;

auto unixNow() -> milliseconds
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now);
}

} // namespace

struct Daemon::Impl
{
    EventLoop &loop;
    DaemonSettings settings;
    std::string incarnation = randomHex(incarnationBytes);
    TimePoint startedAt;
    Metrics metrics;
    HeldBytes heldBytes{divide(systemLimits()).heldBytes};
    HttpClient platformClient;
    HttpClient serverClient;
    HttpLogService logService;
    ViewFreshness freshness;
    LogFollower<HttpLogService> follower;
    LogWriter<HttpLogService> writer;
    ClusterState previousState;
    bool logReachable = false;
    std::unique_ptr<PeerMesh> mesh;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<TeamTokens> tokens;
    std::unique_ptr<PeerRequestHandler> peerRequests;
    std::unique_ptr<EntryRouter> router;
    std::unique_ptr<ControllerDriver> controller;
    std::unique_ptr<VmListPoller> vmList;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> adminServer;
    std::set<SocketAddress> listedPeers;
    SnapshotPublisher snapshots;
    GracefulShutdown shutdown;

    Impl(EventLoop &eventLoop, DaemonSettings daemonSettings);

    auto createComponents() -> void;
    auto openPorts() -> Result<void>;
    auto onState(const ClusterState &state) -> void;
    auto onLogRead(TimePoint sentAt, LogOffset tail) -> void;
    auto onLogError(const Error &error) -> void;
    auto onVmList(const VmList &list) -> void;
    auto onPeerReport(const PeerReport &report) -> void;
    auto onHeartbeatResponse(const PeerReport &report, TimePoint sentAt) -> void;
    auto onCrash(const CrashFindings &findings) -> void;
    auto onRequestEnd(const RequestEndEvent &event) -> void;
    auto updatePeers() -> void;
    [[nodiscard]] auto mayWriteSnapshot() const -> bool;
    [[nodiscard]] auto isIdle() const -> bool;
    [[nodiscard]] auto isFresh() const -> bool
    {
        return freshness.isFresh(loop.now());
    }
    [[nodiscard]] auto isMember() const -> bool;
    [[nodiscard]] auto ownReport() const -> PeerReport;
    [[nodiscard]] auto adminView() -> AdminView;
    [[nodiscard]] auto adminAddresses() const -> std::map<VmId, SocketAddress>;
    auto updateGauges() -> void;
    [[nodiscard]] auto controllerView() const -> ControllerView;
    auto appendForController(const Record &record) -> void;
    auto append(RecordPayload payload) -> void;
};

Daemon::Impl::Impl(EventLoop &eventLoop, DaemonSettings daemonSettings)
    : loop(eventLoop)
    , settings(std::move(daemonSettings))
    , startedAt(loop.now())
    , metrics(settings.vm)
    , platformClient(loop, {})
    , serverClient(loop, {.heldBytes = &heldBytes})
    , logService(platformClient, settings.log.address, settings.log.timeout)
    , freshness({.self = settings.vm,
                 .incarnation = incarnation,
                 .startedAt = startedAt,
                 .timing = settings.timing,
                 .logReadsAreFresh = settings.log.readsAreFresh})
    , follower(loop, logService, {.wait = settings.log.pollWait},
               {.onState = [this](const ClusterState &state) { onState(state); },
                .onRead = [this](TimePoint sentAt, LogOffset tail) { onLogRead(sentAt, tail); },
                .onError = [this](const Error &error) { onLogError(error); }})
    , writer(loop, logService, {.writer = settings.vm.value() + "-" + incarnation})
    , snapshots(loop,
                {.state = [this]() -> const ClusterState & { return follower.state(); },
                 .cursor = [this]() -> const LogCursor & { return follower.cursor(); },
                 .mayWrite = [this] { return mayWriteSnapshot(); },
                 .append = [this](RecordPayload payload) { append(std::move(payload)); }})
    , shutdown(loop, settings.drainTimeout,
               {.isMember = [this] { return isMember(); },
                .drainCallers = [this] { callerServer->drain(); },
                .pendingRequests = [this] { return router->pending(); },
                .idle = [this] { return isIdle(); },
                .onEnd = [this] { loop.stop(); }})
{ }

auto Daemon::Impl::createComponents() -> void
{
    const auto state = [this]() -> const ClusterState & { return follower.state(); };
    const auto fresh = [this] { return isFresh(); };
    dispatcher = std::make_unique<Dispatcher>(
        loop, serverClient,
        DispatcherOptions{
            .self = settings.vm, .incarnation = incarnation, .timing = settings.timing},
        DispatcherHandlers{.state = state,
                           .viewIsFresh = fresh,
                           .onBootId =
                               [this](const auto &server, const auto &bootId) {
                                   controller->controller().onBootId(server, bootId);
                               },
                           .onHandOver =
                               [this](const auto &server, const auto &to, const auto &handOver) {
                                   sendHandOver(*mesh, to, {.server = server, .handOver = handOver},
                                                loop.now(), settings.timing.viewLifetime);
                               },
                           .onCrash = [this](const CrashFindings &findings) { onCrash(findings); },
                           .unixNow = [] { return unixNow(); }});
    tokens = std::make_unique<TeamTokens>(
        loop,
        TeamTokensOptions{
            .self = settings.vm, .incarnation = incarnation, .timing = settings.timing},
        TeamTokensHandlers{.state = state, .viewIsFresh = fresh, .linkTo = [this](const VmId &vm) {
                               return mesh->linkTo(vm);
                           }});
    peerRequests = std::make_unique<PeerRequestHandler>(loop, *dispatcher, *tokens);
    router = std::make_unique<EntryRouter>(
        loop, EntryRouterOptions{.self = settings.vm, .randomSeed = std::random_device{}()},
        EntryRouterHandlers{.state = state,
                            .viewIsFresh = fresh,
                            .onEnd = [this](const RequestEndEvent &event) { onRequestEnd(event); }},
        *tokens, *dispatcher, *mesh);
    controller = std::make_unique<ControllerDriver>(
        loop, serverClient,
        ControllerOptions{.self = settings.vm,
                          .incarnation = incarnation,
                          .writer = settings.vm.value() + "-" + incarnation + "-controller",
                          .startedAt = startedAt,
                          .timing = settings.timing},
        ControllerDriverHandlers{
            .view = [this] { return controllerView(); },
            .ownReport = [this] { return ownReport(); },
            .append = [this](const Record &record) { appendForController(record); }});
}

auto Daemon::Impl::controllerView() const -> ControllerView
{
    return {.state = follower.state(), .fresh = isFresh(), .logReachable = logReachable};
}

auto Daemon::Impl::appendForController(const Record &record) -> void
{
    // The result is ignored: the controller appends a record again until it sees it in the log.
    logService.append(record, [](const Settled<LogOffset> &) {});
}

auto Daemon::Impl::openPorts() -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        mesh,
        PeerMesh::create(
            loop,
            {.listenAddress = settings.listen.peers,
             .identity = {settings.vm, incarnation, settings.peerSecretHex},
             .timing = settings.timing},
            {.ownReport = [this] { return ownReport(); },
             .onHeartbeat = [this](const PeerReport &report) { onPeerReport(report); },
             .onHeartbeatResponse =
                 [this](const PeerReport &report, TimePoint sentAt) {
                     onHeartbeatResponse(report, sentAt);
                 },
             .onRequest =
                 [this](PeerExchange exchange) { peerRequests->handle(std::move(exchange)); }}));
    createComponents();
    BOOST_LEAF_ASSIGN(
        callerServer,
        HttpServer::listen(loop, callerServerOptions(settings, heldBytes),
                           [this](HttpExchange exchange) { router->handle(std::move(exchange)); }));
    BOOST_LEAF_ASSIGN(
        adminServer,
        HttpServer::listen(loop, {.address = settings.listen.admin, .heldBytes = &heldBytes},
                           [this](HttpExchange exchange) {
                               exchange.respond(adminResponse(exchange.request(), adminView()));
                           }));
    return {};
}

auto Daemon::Impl::onState(const ClusterState &state) -> void
{
    const auto olderViewUntil = freshness.freshUntil(loop.now());
    freshness.onState(state);
    dispatcher->onState(previousState, state, olderViewUntil);
    tokens->onState(previousState, state);
    previousState = state;
    updatePeers();
    controller->tick();
}

auto Daemon::Impl::onLogRead(TimePoint sentAt, LogOffset tail) -> void
{
    if (!std::exchange(logReachable, true)) {
        logEvent(LogLevel::Info, "log-reachable", {{"offset", follower.state().offset}});
    }
    freshness.onLogRead(sentAt, tail);
}

auto Daemon::Impl::onLogError(const Error &error) -> void
{
    if (std::exchange(logReachable, false)) {
        logEvent(LogLevel::Warning, "log-unreachable", {{"error", describe(error)}});
    }
}

auto Daemon::Impl::onVmList(const VmList &list) -> void
{
    if (list.complete) {
        controller->controller().onVmList(list.entries, loop.now());
    }
    listedPeers.clear();
    for (const auto &entry : list.entries) {
        if (!entry.peerAddress.ip.empty()) {
            listedPeers.insert(entry.peerAddress);
        }
    }
    updatePeers();
}

auto Daemon::Impl::updatePeers() -> void
{
    auto addresses = listedPeers;
    addresses.insert(settings.seedPeers.begin(), settings.seedPeers.end());
    for (const auto &[vm, member] : follower.state().members) {
        addresses.insert(member.peerAddress);
    }
    mesh->setPeers(addresses);
}

auto Daemon::Impl::onPeerReport(const PeerReport &report) -> void
{
    controller->controller().onReport(report, loop.now());
}

auto Daemon::Impl::onHeartbeatResponse(const PeerReport &report, TimePoint sentAt) -> void
{
    freshness.onConfirmation({.vm = report.vm,
                              .incarnation = report.incarnation,
                              .probeSentAt = sentAt,
                              .appliedOffset = report.appliedOffset,
                              .canConfirm = report.canConfirm});
    onPeerReport(report);
}

auto Daemon::Impl::ownReport() const -> PeerReport
{
    const auto suspects = dispatcher->suspectedServers();
    return {.vm = settings.vm,
            .zone = settings.zone,
            .peerAddress = settings.listen.peers,
            .adminAddress = settings.listen.admin,
            .incarnation = incarnation,
            .appliedOffset = follower.state().offset,
            .drainedOffset = dispatcher->drainedOffset(),
            .canConfirm = freshness.canConfirm(),
            .leaving = shutdown.begun(),
            .logReachable = logReachable,
            .suspects = {suspects.begin(), suspects.end()},
            .suspectedVms = controller->controller().silentMembers(follower.state(), loop.now())};
}

auto Daemon::Impl::onCrash(const CrashFindings &findings) -> void
{
    logEvent(LogLevel::Warning, "server-crashed",
             {{"server", findings.report.server.value()},
              {"requests_in_flight", findings.report.digests.size()},
              {"quarantines", findings.proposals.size()}});
    broadcastCrashReport(*mesh, follower.state(), findings.report, settings.timing.viewLifetime);
    for (const auto &proposal : findings.proposals) {
        append(proposal);
    }
}

auto Daemon::Impl::append(RecordPayload payload) -> void
{
    const auto queued = settle([&] { return writer.append(std::move(payload)); });
    if (!queued) {
        logEvent(LogLevel::Warning, "append-failed", {{"error", describe(queued.error())}});
    }
}

auto Daemon::Impl::mayWriteSnapshot() const -> bool
{
    return isFresh() && controller->controller().isController(follower.state())
        && writer.queued() == 0;
}

auto Daemon::Impl::onRequestEnd(const RequestEndEvent &event) -> void
{
    metrics.countRequest({.route = event.route,
                          .verdict = event.verdict,
                          .status = event.status,
                          .elapsed = event.elapsed});
    if (event.refusal) {
        metrics.countRefusal(*event.refusal);
        logEvent(LogLevel::Debug, "request-refused",
                 {{"request_id", event.requestId},
                  {"route", event.route.value()},
                  {"team", event.team.value()},
                  {"reason", toText(*event.refusal)},
                  {"verdict", toText(event.verdict)}});
    }
}

auto Daemon::Impl::isMember() const -> bool
{
    const auto &members = follower.state().members;
    const auto found = members.find(settings.vm);
    return found != members.end() && found->second.incarnation == incarnation;
}

auto Daemon::Impl::adminAddresses() const -> std::map<VmId, SocketAddress>
{
    auto addresses = std::map<VmId, SocketAddress>{{settings.vm, settings.listen.admin}};
    for (const auto &[vm, received] : mesh->reports()) {
        addresses[vm] = received.report.adminAddress;
    }
    return addresses;
}

auto Daemon::Impl::updateGauges() -> void
{
    const auto now = loop.now();
    const auto freshUntil = freshness.freshUntil(now);
    const auto age =
        freshUntil ? now - (*freshUntil - settings.timing.viewLifetime) : now - startedAt;
    metrics.setViewAge(age);
    metrics.setViewFresh(isFresh());
    metrics.setLogOffset(follower.state().offset);
    metrics.setIsController(controller->controller().isController(follower.state()));
    metrics.setPendingRequests(router->pending());
    metrics.setHeldBytes(heldBytes);
}

auto Daemon::Impl::adminView() -> AdminView
{
    updateGauges();
    return {.vm = settings.vm,
            .state = follower.state(),
            .fresh = isFresh(),
            .leaving = shutdown.begun(),
            .member = isMember(),
            .logReachable = logReachable,
            .adminAddresses = adminAddresses(),
            .metricsText = metrics.text()};
}

auto Daemon::Impl::isIdle() const -> bool
{
    return router->pending() == 0 && dispatcher->pending() == 0 && callerServer->pending() == 0
        && callerServer->lingering() == 0;
}

Daemon::Daemon(EventLoop &loop, DaemonSettings settings)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings)))
{ }

Daemon::~Daemon() = default;

auto Daemon::start() -> Result<void>
{
    BOOST_LEAF_CHECK(m_impl->openPorts());
    auto *impl = m_impl.get();
    impl->vmList = std::make_unique<VmListPoller>(
        impl->loop, impl->platformClient, impl->settings.vmList.address,
        impl->settings.vmList.pollInterval, [impl](const VmList &list) { impl->onVmList(list); });
    impl->follower.start();
    impl->snapshots.start();
    logEvent(LogLevel::Info, "started", {{"incarnation", impl->incarnation}});
    return {};
}

auto Daemon::leave() -> void
{
    m_impl->shutdown.begin();
}

} // namespace figlanding
