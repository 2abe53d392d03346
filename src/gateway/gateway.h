#pragma once

#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/key_loads.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/suspend_detector.h"
#include "gateway/fleet_link.h"
#include "gateway/gateway_settings.h"
#include "gateway/key_duty.h"
#include "gateway/keyed_follower.h"
#include "gateway/request_log.h"
#include "gateway/request_path.h"
#include "gateway/store_view.h"
#include "io/random_bytes.h"

#include <array>
#include <ctime>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// @file
/// One VM of the router on a platform: joins the request path, the fleet and the keys' controller
/// on one loop.

namespace figlanding {

/// Shortest interval of a VM's heartbeats.
inline constexpr milliseconds heartbeatInterval{250};
/// Interval for each other VM, so that a VM receives at most a hundred heartbeats a second.
inline constexpr milliseconds heartbeatShare{10};
/// Interval at which a VM tells the controller which keys were asked for; hot keys are to move
/// within two seconds also where heartbeats are far apart.
inline constexpr milliseconds workInterval{300};
/// A VM that missed this many heartbeats is not alive.
inline constexpr int silentHeartbeats = 3;

/// The daemon of one VM.
/// @tparam Platform names the store's client, the order sender and the caller protocol, and
/// decodes the records of operators and servers
template <typename Platform>
class Gateway
{
public:
    Gateway(EventLoop &loop, GatewaySettings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_incarnation(randomHex(incarnationBytes))
        , m_metrics(m_settings.vm)
        , m_requestLog(m_metrics)
        , m_storeClient(loop, {.tcpUserTimeout = storeSilence})
        , m_serverClient(loop, {.tcpUserTimeout = serverSilence, .acceptsCloseDelimited = true})
        , m_orderClient(loop, {.tcpUserTimeout = serverSilence})
        , m_store(m_storeClient, m_settings.store)
        , m_orders(m_orderClient)
        , m_view(m_settings.vm, m_settings.cpuShare, {})
        , m_world(loop,
                  {.onMember =
                       [this](const MemberRecord &member) {
                           m_view.learn(member.vm, member.incarnation, member.address);
                       },
                   .onOwnership = [this](const OwnershipView &view) { m_duty.onView(view); }})
        , m_limits({})
        , m_slots(
              {.self = m_settings.vm,
               .zone = m_settings.zone,
               .broker = {},
               .randomSeed = std::random_device{}()},
              m_view,
              {.send = [this](const auto &vm, const auto &payload) { m_link->send(vm, payload); },
               .decided = [this](auto ticket,
                                 const auto &outcome) { m_path.onSlot(ticket, outcome); }})
        , m_path(
              loop, m_serverClient, m_slots, m_limits,
              {.retryRatio = m_settings.retryRatio * retryPart,
               .retryReserve = m_settings.retryReserve * retryPart,
               .randomSeed = std::random_device{}()},
              {.state = [this] { return m_world.state(); },
               .registry = [this]() -> const ServerRegistry & { return m_world.registry(); },
               .owner = [this](const auto &service,
                               auto key) { return m_world.ownerOf(service, key); },
               .onKey = [this](const auto &service, auto key) { m_keyLoads.count(service, key); },
               .fleetSize = [this] { return static_cast<double>(m_view.members().size()) + 1.0; },
               .onStaleOwner = [this] { m_fleetFollower.hurry(); },
               .onEnd = [this](const RequestRecord &record) { m_requestLog.add(record); }})
        , m_duty(
              loop, m_store, m_orders,
              {.controller = withLongestLease({.self = m_settings.vm, .incarnation = m_incarnation},
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
        , m_operatorFollower(
              loop, m_store, {.topic = Platform::operatorTopic, .wait = milliseconds(1200)},
              handlersOf(
                  "configuration", m_operatorLost,
                  [this](const auto &record) {
                      m_world.onOperatorRecord(record);
                      return true;
                  },
                  [this](const auto &records) { m_world.onOperatorSnapshot(records); }))
        , m_serverFollower(
              loop, m_store, {.topic = Platform::serverTopic, .pause = milliseconds(500)},
              handlersOf(
                  "servers", m_world.serversLost(),
                  [this](const auto &record) { return m_world.onServerRecord(record); },
                  [this](const auto &records) { m_world.onServerSnapshot(records); }))
        , m_fleetFollower(loop, m_store,
                          {.topic = Platform::fleetTopic, .wait = milliseconds(2000)},
                          handlersOf(
                              "fleet", m_fleetLost,
                              [this](const auto &record) {
                                  m_world.onFleetRecord(record);
                                  return true;
                              },
                              [this](const auto &records) { m_world.onFleetSnapshot(records); }))
        , m_tickTimer(loop, [this] { tick(); })
        , m_heartbeatTimer(loop, [this] { sendHeartbeat(); })
        , m_workTimer(loop, [this] { sendWork(); })
        , m_controlTimer(loop, [this] { control(); })
        , m_progressTimer(loop, [this] { control(); })
    { }
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    /// Opens the ports and begins to follow the store.
    /// @return IoFailure if a port cannot be opened
    auto start() -> Result<void>
    {
        BOOST_LEAF_ASSIGN(
            m_link,
            FleetLink::open(
                m_loop,
                {.self = m_settings.vm, .incarnation = m_incarnation, .address = m_settings.fleet},
                m_view, [this](const auto &delivery) { onMessage(delivery); }));
        BOOST_LEAF_ASSIGN(m_callerServer,
                          HttpServer::listen(m_loop,
                                             {.address = m_settings.callers,
                                              .maxBodyBytes = maxBodyBytes,
                                              .maxConnections = maxCallerConnections},
                                             [this](HttpExchange exchange) {
                                                 m_path.handle(std::move(exchange));
                                             }));
        BOOST_LEAF_ASSIGN(m_readinessServer,
                          HttpServer::listen(m_loop, {.address = m_settings.readiness},
                                             [this](HttpExchange exchange) {
                                                 exchange.respond({.status = ready() ? 200 : 503});
                                             }));
        BOOST_LEAF_ASSIGN(m_adminServer,
                          HttpServer::listen(m_loop, {.address = m_settings.admin},
                                             [this](HttpExchange exchange) {
                                                 exchange.respond(m_requestLog.metricsResponse());
                                             }));
        announceSelf();
        m_operatorFollower.start();
        m_serverFollower.start();
        m_fleetFollower.start();
        m_duty.start();
        m_tickTimer.startRepeating(tickInterval);
        m_heartbeatTimer.startOnce(heartbeatInterval);
        m_workTimer.startRepeating(workInterval);
        m_controlTimer.startRepeating(controlInterval);
        logEvent(LogLevel::Info, "started", {{"incarnation", m_incarnation}});
        return {};
    }

    /// Begins to leave: readiness ends and roles are handed on first, callers that still come
    /// are served, then the loop is stopped.
    auto leave() -> void
    {
        if (std::exchange(m_leaving, true)) {
            return;
        }
        logEvent(LogLevel::Info, "leaving", {{"pending", m_path.pending()}});
        m_leavingSince = m_loop.now();
        m_view.setLeaving();
        m_duty.leave();
        m_callerServer->closeAfterResponses();
        sendHeartbeat();
    }

private:
    static constexpr std::size_t incarnationBytes = 8;
    static constexpr std::size_t maxBodyBytes = std::size_t{64} * 1024 * 1024;
    static constexpr unsigned maxCallerConnections = 3000;
    static constexpr milliseconds storeSilence{1000};
    static constexpr milliseconds serverSilence{600};
    static constexpr milliseconds tickInterval{25};
    static constexpr milliseconds controlInterval{100};
    /// Some may not reach the store; beyond them come small VMs, which many ranges overwhelm.
    static constexpr std::size_t controllerCandidates = 8;
    static constexpr milliseconds progressDelay{4}; ///< orders that end together count as one
    static constexpr double retryPart = 0.7; ///< of the allowed retries, for arrivals not counted
    /// The balancer asks once a second and takes a VM out after two misses.
    static constexpr milliseconds balancerDelay{2300};
    static constexpr milliseconds stopMargin{700}; ///< before the end of the grace period
    static constexpr milliseconds outage{800}; ///< failed reads for this long are an outage

    using StoreType = typename Platform::StoreType;
    using Follower = KeyedFollower<StoreType>;

    [[nodiscard]] auto ready() const -> bool
    {
        return m_world.state() && m_world.serversKnown() && !m_leaving;
    }

    template <typename OnRecord, typename OnSnapshot>
    auto handlersOf(const char *name, Outage &lost, OnRecord onRecord, OnSnapshot onSnapshot)
        -> KeyedFollowerHandlers
    {
        return {
            .onSnapshot = std::move(onSnapshot),
            .onRecord = std::move(onRecord),
            .onRead =
                [this, name, &lost](TimePoint sentAt, LogOffset end) {
                    if (const auto since = std::exchange(lost.since, std::nullopt)) {
                        const auto now = m_loop.now();
                        if (now - *since > outage) {
                            lost.regainedAt = now;
                        }
                        logEvent(LogLevel::Info, "store-regained",
                                 {{"topic", name}, {"offset", end}});
                    }
                    m_duty.onStoreContact(sentAt);
                },
            .onFailure =
                [this, name, &lost](const Error &error) {
                    if (!lost.since) {
                        lost.since = m_loop.now();
                        logEvent(LogLevel::Warning, "store-lost",
                                 {{"topic", name}, {"error", describe(error)}});
                    }
                },
            .relay = [this](const TopicUpdate &update) { m_link->sendToAll(update); },
            .rank =
                [this](const std::string &topic) { return m_view.rankOf(topic, m_loop.now()); }};
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
            m_view.hear({.vm = message.from,
                         .incarnation = message.incarnation,
                         .address = delivery.from,
                         .heardAt = now,
                         .leaving = heartbeat->leaving,
                         .capacity = heartbeat->capacity});
            m_limits.report(message.from, message.incarnation, heartbeat->uses, now);
            for (auto *follower : followers()) {
                const auto end = heartbeat->topicEnds.find(follower->topic());
                if (end != heartbeat->topicEnds.end()) {
                    follower->onAhead(end->second);
                }
            }
            return;
        }
        if (const auto *report = std::get_if<WorkReport>(&message.payload)) {
            m_keyLoads.add(*report);
            return;
        }
        if (const auto *update = std::get_if<TopicUpdate>(&message.payload)) {
            for (auto *follower : followers()) {
                if (follower->topic() == update->topic) {
                    follower->onRelayed(*update);
                }
            }
            return;
        }
        m_slots.onMessage(message.from, message.payload, now);
    }

    [[nodiscard]] auto followers() -> std::array<Follower *, 3>
    {
        return {&m_operatorFollower, &m_serverFollower, &m_fleetFollower};
    }

    // A busy topic is always a little ahead at its reader, so only the others are named.
    [[nodiscard]] auto topicEnds() -> std::map<std::string, LogOffset>
    {
        return {{m_operatorFollower.topic(), m_operatorFollower.end()},
                {m_fleetFollower.topic(), m_fleetFollower.end()}};
    }

    auto sendHeartbeat() -> void
    {
        const auto now = m_loop.now();
        const auto vms = m_view.aliveCount(now);
        m_limits.setFleetSize(vms);
        m_link->sendToAll(Heartbeat{.leaving = m_leaving,
                                    .capacity = m_settings.cpuShare,
                                    .topicEnds = topicEnds(),
                                    .uses = m_limits.takeUses(now)});
        if (!m_announced && now >= m_announceAt) {
            m_announceAt = now + milliseconds(1500);
            announceSelf();
        }
        const auto interval =
            std::max(heartbeatInterval, heartbeatShare * static_cast<int>(m_view.members().size()));
        m_view.setSilence(interval * silentHeartbeats + heartbeatInterval);
        m_heartbeatTimer.startOnce(interval);
    }

    auto sendWork() -> void
    {
        const auto report =
            WorkReport{.keys = m_keyLoads.takeCounts(), .serviceTimes = m_slots.serviceTimes()};
        if (m_world.ownership().claim.vm == m_settings.vm) {
            m_keyLoads.add(report);
        } else {
            m_link->send(m_world.ownership().claim.vm, report);
        }
    }

    auto tick() -> void
    {
        const auto now = m_loop.now();
        if (m_world.takeServersChanged(now)) {
            updateServers();
        }
        m_slots.tick(now);
        m_path.tick(now);
        if (m_leaving) {
            checkLeaving(now);
        }
    }

    auto updateServers() -> void
    {
        auto coldRates = std::map<ServiceId, double>{};
        if (m_world.state()) {
            for (const auto &service : m_world.state()->state().services) {
                coldRates[service.id] = service.coldRequestsPerSecond;
            }
        }
        m_slots.setServers(m_world.registry(), coldRates);
    }

    auto logQueue(TimePoint now) -> void
    {
        constexpr auto interval = seconds(1);
        if (m_slots.waiting() > 0 && now - m_queueLoggedAt >= interval) {
            m_queueLoggedAt = now;
            logEvent(LogLevel::Info, "slots",
                     {{"waiting", m_slots.waiting()}, {"granted", m_slots.granted()}});
        }
    }

    // Another VM may have taken the keys over while this one stood still.
    auto noticeSuspension() -> void
    {
        auto sinceBoot = timespec{};
        ::clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
        const auto suspended = m_suspendDetector.suspendedFor(
            seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec),
            MonotonicClock::now());
        if (suspended > Duration::zero()) {
            const auto ms = std::chrono::duration_cast<milliseconds>(suspended).count();
            logEvent(LogLevel::Warning, "suspended", {{"ms", ms}});
            m_duty.onSuspended();
        }
    }

    auto control() -> void
    {
        noticeSuspension();
        logQueue(m_loop.now());
        if (m_duty.active()) {
            m_keyLoads.decay(m_loop.now());
        }
        auto inputs = ControllerInputs{.registry = m_world.registry(),
                                       .keyedServices = {},
                                       .loads = m_keyLoads.loads(),
                                       .serviceTimes = m_keyLoads.serviceTimes()};
        if (m_world.state() && m_world.serversKnown()) {
            for (const auto &service : m_world.state()->state().services) {
                if (service.keyed) {
                    inputs.keyedServices.push_back(service.id);
                }
            }
        }
        m_duty.tick(inputs);
    }

    auto checkLeaving(TimePoint now) -> void
    {
        const auto elapsed = now - m_leavingSince;
        if (elapsed > balancerDelay && !std::exchange(m_drained, true)) {
            m_callerServer->drain();
        }
        const auto done = m_drained && m_path.pending() == 0 && m_callerServer->pending() == 0;
        if (done || elapsed > m_settings.gracePeriod - stopMargin) {
            logEvent(LogLevel::Info, "stopped", {{"pending", m_path.pending()}});
            m_loop.stop();
        }
    }

    EventLoop &m_loop;
    GatewaySettings m_settings;
    std::string m_incarnation;
    Metrics m_metrics;
    RequestLog m_requestLog;
    HttpClient m_storeClient;
    HttpClient m_serverClient;
    HttpClient m_orderClient;
    StoreType m_store;
    typename Platform::OrderSender m_orders;
    SuspendDetector m_suspendDetector;
    FleetView m_view;
    StoreView<Platform> m_world;
    std::unique_ptr<FleetLink> m_link;
    TeamLimits m_limits;
    SlotClient m_slots;
    RequestPath<typename Platform::Protocol> m_path;
    KeyDuty<StoreType, typename Platform::OrderSender> m_duty;
    Outage m_operatorLost;
    Outage m_fleetLost;
    Follower m_operatorFollower;
    Follower m_serverFollower;
    Follower m_fleetFollower;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_adminServer;
    KeyLoads m_keyLoads;
    TimePoint m_queueLoggedAt;
    bool m_announced = false;
    TimePoint m_announceAt;
    bool m_leaving = false;
    bool m_drained = false;
    TimePoint m_leavingSince;
    Timer m_tickTimer;
    Timer m_heartbeatTimer;
    Timer m_workTimer;
    Timer m_controlTimer;
    Timer m_progressTimer; ///< a control step soon after an order or a record has ended
};

} // namespace figlanding
