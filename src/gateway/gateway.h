#pragma once

#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/key_loads.h"
#include "figlanding/gateway/server_registry.h"
#include "gateway/fleet_link.h"
#include "gateway/follower_log.h"
#include "gateway/gateway_settings.h"
#include "gateway/group_log.h"
#include "gateway/key_controller_runner.h"
#include "gateway/listeners.h"
#include "gateway/request_log.h"
#include "gateway/request_path.h"
#include "gateway/rollout_runner.h"
#include "gateway/slot_log.h"
#include "gateway/store_view.h"
#include "gateway/suspension_watch.h"
#include "gateway/topic_follower.h"
#include "gateway/unserved_log.h"
#include "io/process_limits.h"
#include "io/random_bytes.h"

#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// @file
/// The router process of one VM on a platform: wires the request path, the fleet protocol, the
/// store followers and the key controller together on one event loop.

namespace figlanding {

/// Minimum interval between two heartbeats of a VM.
inline constexpr milliseconds heartbeatInterval{250};
/// The heartbeat interval is at least this for each other VM, so that a VM receives at most a
/// hundred heartbeats per second.
inline constexpr milliseconds heartbeatIntervalPerVm{10};
/// Interval at which a VM reports its requests per key to the controller. It is independent of the
/// heartbeat interval, so that hot keys move within two seconds in a large fleet as well.
inline constexpr milliseconds workReportInterval{300};
/// Time after the start within which the first heartbeats of the other VMs arrive.
inline constexpr milliseconds firstHeartbeatsTime{1000};
/// Number of missed heartbeats after which a VM is considered dead.
inline constexpr int maxMissedHeartbeats = 3;

/// The router of one VM.
/// @tparam Platform provides the types of the store client, the command sender and the caller
/// protocol, the topic names, and decoders for the records of operators and servers
template <typename Platform>
class Gateway
{
public:
    Gateway(EventLoop &loop, GatewaySettings settings)
        : m_loop(loop)
        , m_startedAt(loop.now())
        , m_settings(std::move(settings))
        , m_budget(divide(knownLimits(m_settings.limits)))
        , m_heldBytes(m_budget.heldBytes)
        , m_incarnation(randomHex(incarnationBytes))
        , m_metrics(m_settings.vm)
        , m_requestLog(m_metrics)
        , m_slotLog(m_metrics, m_incarnation)
        , m_groupLog(m_metrics)
        , m_unservedLog(m_metrics)
        , m_storeClient(loop, {.tcpUserTimeout = storeTcpUserTimeout})
        , m_serverClient(
              loop,
              {.maxConnections = m_budget.serverConnections,
               .heldBytes = &m_heldBytes,
               .tcpUserTimeout = serverTcpUserTimeout,
               .acceptsCloseDelimited = true,
               .onUnexpectedInput =
                   [this](const auto &server) { m_requestLog.addUnexpectedInput(server); }})
        , m_commandClient(loop, {.tcpUserTimeout = serverTcpUserTimeout})
        , m_store(m_storeClient, m_settings.store)
        , m_commandSender(m_commandClient)
        , m_view(m_settings.vm, m_settings.cpuShare, {})
        , m_storeView(
              loop,
              {.onMember =
                   [this](const MemberRecord &member) {
                       m_view.setAddress(member.vm, member.incarnation, member.address);
                   },
               .onOwnership =
                   [this](const OwnershipView &view) { m_controllerRunner.onView(view); },
               .onRolloutOrder = [this](const auto &order,
                                        bool isNew) { m_rollouts.onOrder(order, isNew); },
               .lastServersOutageEnd = [this] { return m_serverFollower.outage().lastEnd(); }})
        , m_limits({}, loop.now())
        , m_slots(
              {.self = m_settings.vm,
               .process = m_incarnation,
               .zone = m_settings.zone,
               .broker = {},
               .randomSeed = std::random_device{}()},
              m_view,
              {.send = [this](const auto &vm, const auto &payload) { m_link->send(vm, payload); },
               .onDecision =
                   [this](auto ticket, const auto &outcome) {
                       m_path.onSlotDecision(ticket, outcome);
                   },
               .onConflict = [this](const auto &conflict) { m_slotLog.add(conflict); },
               .onResult =
                   [this](const auto &route, const auto &server, const auto &result) {
                       m_rollouts.onResult(route, server, result);
                   }})
        , m_path(
              loop, m_serverClient, m_slots, m_limits,
              {.retryRatio = m_settings.retryRatio * retryShare,
               .retryReserve = m_settings.retryReserve * retryShare,
               .randomSeed = std::random_device{}()},
              {.state = [this] { return m_storeView.state(); },
               .stateStatus = [this] { return configurationStatus(); },
               .registry = [this]() -> const ServerRegistry & { return m_storeView.registry(); },
               .owner = [this](const auto &service,
                               auto key) { return m_storeView.ownerOf(service, key); },
               .onKey = [this](const auto &service, auto key) { m_keyLoads.count(service, key); },
               .fleetSize = [this] { return static_cast<double>(m_view.members().size()) + 1.0; },
               .onStaleOwner = [this] { m_fleetFollower.readNow(); },
               .onLeaving = [this](const auto &server) { m_storeView.onServerLeaving(server); },
               .onOtherService =
                   [this](const auto &record, const auto &server) {
                       m_slotLog.addOtherService(record, server);
                   },
               .onEnd = [this](const RequestRecord &record) { m_requestLog.add(record); }})
        , m_controllerRunner(
              loop, m_store, m_commandSender,
              {.controller = withMaxLease({.self = m_settings.vm, .incarnation = m_incarnation},
                                          m_settings.longestLease),
               .topic = Platform::fleetTopic},
              {.isCandidate =
                   [this] {
                       return m_view.rankOf(Platform::fleetTopic, m_loop.now())
                           < controllerCandidates;
                   },
               .onProgress = [this] { m_progressTimer.startOnce(progressDelay); },
               .onAppended =
                   [this](const KeyedRecord &record) { m_fleetFollower.onAppended(record); }})
        , m_rollouts(
              loop, m_store, m_storeView, m_view, m_slots, m_metrics,
              {.self = m_settings.vm,
               .incarnation = m_incarnation,
               .controller = {.maxShare = m_settings.trialShare}},
              {.isController = [this] { return m_controllerRunner.active(); },
               .send = [this](const auto &vm, const auto &report) { m_link->send(vm, report); },
               .onAppended =
                   [this](const KeyedRecord &record) { m_fleetFollower.onAppended(record); }})
        , m_operatorFollower(loop, m_store,
                             {.topic = Platform::operatorTopic, .wait = milliseconds(1200)},
                             followerHandlers(
                                 "configuration",
                                 [this](const auto &record) {
                                     m_storeView.onOperatorRecord(record);
                                     return true;
                                 },
                                 [this](const auto &snapshot) {
                                     m_storeView.onOperatorSnapshot(snapshot.records);
                                 }))
        , m_serverFollower(
              loop, m_store, {.topic = Platform::serverTopic, .pause = milliseconds(500)},
              followerHandlers(
                  "servers",
                  [this](const auto &record) { return m_storeView.onServerRecord(record); },
                  [this](const auto &snapshot) { m_storeView.onServerSnapshot(snapshot.records); }))
        , m_fleetFollower(
              loop, m_store, {.topic = Platform::fleetTopic, .wait = milliseconds(2000)},
              followerHandlers(
                  "fleet",
                  [this](const auto &record) {
                      m_storeView.onFleetRecord(record);
                      return true;
                  },
                  [this](const auto &snapshot) { m_storeView.onFleetSnapshot(snapshot); },
                  [this](const auto &record) { return m_storeView.shortened(record); },
                  [this](TimePoint sentAt, LogOffset) {
                      m_controllerRunner.onOwnershipRead(sentAt);
                  }))
        , m_tickTimer(loop, [this] { tick(); })
        , m_heartbeatTimer(loop, [this] { sendHeartbeat(); })
        , m_workReportTimer(loop, [this] { sendWorkReport(); })
        , m_controlTimer(loop, [this] { runController(); })
        , m_progressTimer(loop, [this] { runController(); })
    { }
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    /// Opens the ports, announces this VM to the fleet and begins to follow the topics of the
    /// store.
    /// @return InvalidValue or IoFailure if an address cannot be bound
    auto start() -> Result<void>
    {
        BOOST_LEAF_ASSIGN(
            m_link,
            FleetLink::open(
                m_loop,
                {.self = m_settings.vm, .incarnation = m_incarnation, .address = m_settings.fleet},
                m_view, [this](const auto &delivery) { onMessage(delivery); }));
        BOOST_LEAF_ASSIGN(
            m_listeners,
            openListeners<typename Platform::Protocol>(
                m_loop, m_settings, m_budget, m_heldBytes,
                {.onRequest = [this](HttpExchange exchange) { m_path.handle(std::move(exchange)); },
                 .ready = [this] { return ready(); },
                 .metrics = [this] { return metricsResponse(); }}));
        announceSelf();
        m_operatorFollower.start();
        m_serverFollower.start();
        m_fleetFollower.start();
        m_controllerRunner.start();
        m_tickTimer.startRepeating(tickInterval);
        m_heartbeatTimer.startOnce(heartbeatInterval);
        m_workReportTimer.startRepeating(workReportInterval);
        m_controlTimer.startRepeating(controlInterval);
        logEvent(LogLevel::Info, "started", {{"incarnation", m_incarnation}});
        return {};
    }

    /// Begins a graceful shutdown: reports not ready and gives up the controller role at once,
    /// serves requests until the load balancer has removed this VM, then stops the loop. The loop
    /// stops shortly before the end of the grace period at the latest. Repeated calls do nothing.
    auto leave() -> void
    {
        if (std::exchange(m_leaving, true)) {
            return;
        }
        logEvent(LogLevel::Info, "leaving", {{"pending", m_path.pending()}});
        m_leavingSince = m_loop.now();
        m_view.setLeaving();
        m_controllerRunner.leave();
        m_listeners.callers->closeAfterResponses();
        sendHeartbeat();
    }

private:
    static constexpr std::size_t incarnationBytes = 8;
    static constexpr milliseconds storeTcpUserTimeout{1000};
    static constexpr milliseconds serverTcpUserTimeout{600};
    static constexpr milliseconds tickInterval{25};
    static constexpr milliseconds controlInterval{100};
    /// VMs of the highest ranks that apply for the controller role: several, because some may have
    /// no connection to the store. Lower ranks are mostly small VMs, whose CPU share is too low to
    /// manage many key ranges.
    static constexpr std::size_t controllerCandidates = 8;
    /// Delay that batches commands that complete together into one run of the controller.
    static constexpr milliseconds progressDelay{4};
    /// Part of the configured retry limits that is used; the rest is for arrivals that no budget
    /// counts.
    static constexpr double retryShare = 0.7;
    /// The load balancer probes readiness once per second and removes a VM after two failed probes.
    static constexpr milliseconds loadBalancerDelay{2300};
    /// Requests that are not completed are answered this long before the end of the grace period.
    static constexpr milliseconds shutdownMargin{700};
    /// Time in which their callers receive the responses.
    static constexpr milliseconds lastResponsesTime{200};
    /// Time in which requests arrive that were under way when the last connection was accepted.
    static constexpr milliseconds lastArrivalsTime{100};

    /// A VM that lacks a newer configuration stops to serve by the older one this long before the
    /// newer one has to be in force: it learns of it from others after the store's confirmation.
    static constexpr milliseconds outdatedMargin{500};

    using StoreType = typename Platform::StoreType;
    using Follower = TopicFollower<StoreType>;
    using RecordShortener = std::function<std::optional<KeyedRecord>(const KeyedRecord &)>;

    [[nodiscard]] auto ready() const -> bool
    {
        return m_storeView.state() && m_storeView.serversKnown() && !m_leaving;
    }

    [[nodiscard]] auto configurationStatus() const -> ConfigurationStatus
    {
        if (m_operatorFollower.isBehind(m_settings.propagation - outdatedMargin)) {
            return ConfigurationStatus::Outdated;
        }
        return m_operatorFollower.isCurrent(m_settings.propagation)
            ? ConfigurationStatus::Confirmed
            : ConfigurationStatus::Unconfirmed;
    }

    template <typename OnRecord, typename OnSnapshot>
    auto followerHandlers(const char *name, OnRecord onRecord, OnSnapshot onSnapshot,
                          const RecordShortener &shorten = {},
                          const std::function<void(TimePoint, LogOffset)> &onRead = {})
        -> TopicFollowerHandlers
    {
        return {
            .onSnapshot = std::move(onSnapshot),
            .onRecord = std::move(onRecord),
            .shorten = shorten,
            .onRead = onRead,
            .onEvent = [log = FollowerLog(name, m_metrics)](
                           const FollowerEvent &event) mutable { log.add(event); },
            .relay = [this](const TopicUpdate &update) { m_link->sendToAll(update); },
            .rank =
                [this](const std::string &topic) { return m_view.rankOf(topic, m_loop.now()); }};
    }

    auto metricsResponse() -> HttpResponse
    {
        m_metrics.setHeldBytes(m_heldBytes);
        m_metrics.setStalledConnections(m_listeners.callers->stalledConnections());
        return m_requestLog.metricsResponse();
    }

    auto announceSelf() -> void
    {
        auto record = encodeFleetRecord(MemberRecord{
            .vm = m_settings.vm, .incarnation = m_incarnation, .address = m_settings.fleet});
        m_store.append({.topic = Platform::fleetTopic,
                        .key = std::move(record.key),
                        .value = std::move(record.value)},
                       [this](const Settled<LogOffset> &offset) {
                           m_announced = static_cast<bool>(offset);
                           m_announceAt = m_loop.now() + milliseconds(500);
                       });
    }

    auto onMessage(const FleetDelivery &delivery) -> void
    {
        const auto now = m_loop.now();
        const auto &message = delivery.message;
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message.payload)) {
            m_view.recordMessage({.vm = message.from,
                                  .incarnation = message.incarnation,
                                  .address = delivery.from,
                                  .lastMessageAt = now,
                                  .leaving = heartbeat->leaving,
                                  .capacity = heartbeat->capacity});
            m_slots.onProcess(message.from, message.incarnation);
            if (m_slots.raiseGroupCounts(heartbeat->groupCounts)) {
                updateServers();
            }
            m_slots.onLimitReports(message.from, heartbeat->serverLimits, now);
            m_slots.onGroupRooms(heartbeat->groupRooms, now);
            m_limits.report(message.from, message.incarnation, heartbeat->usageByTeam, now);
            reportProgress(message, *heartbeat);
            for (auto *follower : followers()) {
                const auto end = heartbeat->topicEnds.find(follower->topic());
                if (end != heartbeat->topicEnds.end()) {
                    follower->onPeerEnd(end->second);
                }
            }
            return;
        }
        if (const auto *report = std::get_if<WorkReport>(&message.payload)) {
            m_keyLoads.add(*report);
            return;
        }
        if (const auto *rollout = std::get_if<RolloutReport>(&message.payload)) {
            m_rollouts.onReport(message.from, message.incarnation, *rollout);
            return;
        }
        if (const auto *leases = std::get_if<LeaseReport>(&message.payload)) {
            m_controllerRunner.onLeaseReport(
                {.vm = message.from, .incarnation = message.incarnation}, *leases);
            return;
        }
        if (const auto *update = std::get_if<TopicUpdate>(&message.payload)) {
            for (auto *follower : followers()) {
                if (follower->topic() == update->topic) {
                    follower->onRelayReceived(*update);
                }
            }
            return;
        }
        m_slots.onMessage(message, now);
    }

    // Tells the key controller how far another VM has read the ownership topic.
    auto reportProgress(const FleetMessage &message, const Heartbeat &heartbeat) -> void
    {
        const auto end = heartbeat.topicEnds.find(m_fleetFollower.topic());
        if (end != heartbeat.topicEnds.end()) {
            m_controllerRunner.onProgress(
                {.process = {.vm = message.from, .incarnation = message.incarnation},
                 .uptime = heartbeat.uptime,
                 .ownershipEnd = end->second});
        }
    }

    [[nodiscard]] auto followers() -> std::array<Follower *, 3>
    {
        return {&m_operatorFollower, &m_serverFollower, &m_fleetFollower};
    }

    // Omits the servers' topic: it changes so often that the VM that reads it is always ahead of
    // the others, which would make them read the store without need.
    [[nodiscard]] auto topicEnds() -> std::map<std::string, LogOffset>
    {
        return {{m_operatorFollower.topic(), m_operatorFollower.end()},
                {m_fleetFollower.topic(), m_fleetFollower.end()}};
    }

    auto sendHeartbeat() -> void
    {
        const auto now = m_loop.now();
        m_link->sendToAll(
            Heartbeat{.leaving = m_leaving,
                      .capacity = m_settings.cpuShare,
                      .topicEnds = topicEnds(),
                      .usageByTeam = m_limits.takeUsage(now),
                      .groupCounts = m_slots.groupCounts(),
                      .serverLimits = m_slots.statedLimits(now),
                      .uptime = std::chrono::duration_cast<milliseconds>(now - m_startedAt),
                      .groupRooms = m_slots.groupRooms(now)});
        if (!m_announced && now >= m_announceAt) {
            m_announceAt = now + milliseconds(1500);
            announceSelf();
        }
        const auto interval = std::max(
            heartbeatInterval, heartbeatIntervalPerVm * static_cast<int>(m_view.members().size()));
        m_view.setMessageTimeout(interval * maxMissedHeartbeats + heartbeatInterval);
        m_heartbeatTimer.startOnce(interval);
    }

    auto sendWorkReport() -> void
    {
        m_rollouts.sendReports();
        const auto report =
            WorkReport{.keys = m_keyLoads.takeCounts(), .serviceTimes = m_slots.serviceTimes()};
        const auto &controller = m_storeView.ownership().claim.vm;
        if (controller == m_settings.vm) {
            m_keyLoads.add(report);
            return;
        }
        m_link->send(controller, report);
        if (const auto leases = m_controllerRunner.leaseReport()) {
            m_link->send(controller, *leases);
        }
    }

    // Returns the number of serving VMs. After the start, all VMs of the store's records are
    // presumed to serve until their heartbeats tell.
    [[nodiscard]] auto servingVms(TimePoint now) const -> std::size_t
    {
        return now - m_startedAt < firstHeartbeatsTime ? m_view.members().size() + 1
                                                       : m_view.aliveCount(now);
    }

    auto tick() -> void
    {
        const auto now = m_loop.now();
        m_limits.setFleetSize(servingVms(now));
        if (m_storeView.takeServersChanged(now)) {
            updateServers();
        }
        m_slots.tick(now);
        m_path.tick(now);
        if (m_leaving) {
            advanceShutdown(now);
        }
    }

    auto updateServers() -> void
    {
        auto coldRates = std::map<ServiceId, double>{};
        if (m_storeView.state()) {
            for (const auto &service : m_storeView.state()->state().services) {
                coldRates[service.id] = service.coldRequestsPerSecond;
            }
        }
        m_rollouts.updateRules();
        m_slots.setServers(m_storeView.registry(), coldRates);
    }

    auto runController() -> void
    {
        // Another VM may have become the controller while this one was suspended.
        if (m_suspensionWatch.check()) {
            m_controllerRunner.onSuspended();
        }
        m_slotLog.reportDecisions(m_slots, m_loop.now());
        m_groupLog.report(m_slots, m_loop.now());
        if (m_controllerRunner.active()) {
            m_keyLoads.decay(m_loop.now());
        }
        const auto limits = m_slots.limits(m_loop.now());
        auto inputs = ControllerInputs{.registry = m_storeView.registry(),
                                       .keyedServices = {},
                                       .loads = m_keyLoads.loads(),
                                       .serviceTimes = m_keyLoads.serviceTimes(),
                                       .limits = &limits};
        if (m_storeView.state() && m_storeView.serversKnown()) {
            for (const auto &service : m_storeView.state()->state().services) {
                if (service.keyed) {
                    inputs.keyedServices.push_back(service.id);
                }
            }
        }
        m_controllerRunner.tick(inputs);
        m_rollouts.tick();
        if (m_unservedLog.isDue(m_loop.now())) {
            m_unservedLog.report(m_controllerRunner.unservedRanges(), m_loop.now());
        }
    }

    auto advanceShutdown(TimePoint now) -> void
    {
        const auto elapsed = now - m_leavingSince;
        const auto timeToServe = m_settings.gracePeriod - shutdownMargin;
        if (elapsed > loadBalancerDelay && !std::exchange(m_drained, true)) {
            m_listeners.callers->drain();
            m_busyAt = now;
            m_path.stopAt(m_leavingSince + timeToServe);
        }
        if (elapsed > timeToServe) {
            m_path.endAll();
        }
        const auto &callers = *m_listeners.callers;
        if (!m_drained || m_path.pending() > 0 || callers.pending() > 0
            || callers.lingering() > 0) {
            m_busyAt = now;
        }
        const auto done = m_drained && now - m_busyAt >= lastArrivalsTime;
        if (done || elapsed > timeToServe + lastResponsesTime) {
            logEvent(LogLevel::Info, "stopped", {{"pending", m_path.pending()}});
            m_loop.stop();
        }
    }

    EventLoop &m_loop;
    TimePoint m_startedAt;
    GatewaySettings m_settings;
    ProcessBudget m_budget;
    HeldBytes m_heldBytes;
    std::string m_incarnation;
    Metrics m_metrics;
    RequestLog m_requestLog;
    SlotLog m_slotLog;
    GroupLog m_groupLog;
    UnservedLog m_unservedLog;
    HttpClient m_storeClient;
    HttpClient m_serverClient;
    HttpClient m_commandClient;
    StoreType m_store;
    typename Platform::KeyLeaseClientType m_commandSender;
    SuspensionWatch m_suspensionWatch;
    FleetView m_view;
    StoreView<Platform> m_storeView;
    std::unique_ptr<FleetLink> m_link;
    TeamLimits m_limits;
    SlotClient m_slots;
    RequestPath<typename Platform::Protocol> m_path;
    KeyControllerRunner<StoreType, typename Platform::KeyLeaseClientType> m_controllerRunner;
    RolloutRunner<Platform> m_rollouts;
    Follower m_operatorFollower;
    Follower m_serverFollower;
    Follower m_fleetFollower;
    Listeners m_listeners;
    KeyLoads m_keyLoads;
    bool m_announced = false;
    TimePoint m_announceAt;
    bool m_leaving = false;
    bool m_drained = false;
    TimePoint m_leavingSince;
    TimePoint m_busyAt; ///< last time that the shutdown had to wait for a request
    Timer m_tickTimer;
    Timer m_heartbeatTimer;
    Timer m_workReportTimer;
    Timer m_controlTimer;
    Timer m_progressTimer; ///< runs the controller soon after a command or append completed
};

} // namespace figlanding
