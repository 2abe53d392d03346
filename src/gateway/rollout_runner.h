#pragma once

#include "figlanding/gateway/fleet_view.h"
#include "figlanding/gateway/ordered_version.h"
#include "figlanding/gateway/rollout_controller.h"
#include "figlanding/gateway/version_arrivals.h"
#include "gateway/rollout_log.h"
#include "gateway/slot_client.h"
#include "gateway/status_writer.h"
#include "gateway/store_view.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

/// @file
/// Roll-outs on one VM: follows their records, reports what it sees of the versions, and carries
/// the roll-outs out while this VM holds the key controller's claim.

namespace figlanding {

/// Settings of RolloutRunner.
struct RolloutRunnerOptions
{
    VmId self;
    std::string incarnation; ///< of this VM's process
    RolloutControllerOptions controller; ///< no roll-outs if its maxShare is zero
};

/// Queries and callbacks of RolloutRunner.
struct RolloutRunnerHandlers
{
    std::function<bool()> isController; ///< whether this VM holds the claim
    /// Sends a report to the VM that holds the claim.
    std::function<void(const VmId &, const RolloutReport &)> send;
    /// Called with each record that was appended to the fleet's topic.
    std::function<void(const KeyedRecord &)> onAppended;
};

/// Takes part in the roll-outs of all services.
/// @tparam Platform provides the store, the topic names and the form of a status
template <typename Platform>
class RolloutRunner
{
public:
    using StoreType = typename Platform::StoreType;

    /// @param slots counts this VM's requests; all references must outlive the runner
    RolloutRunner(EventLoop &loop, StoreType &store, StoreView<Platform> &view,
                  const FleetView &fleet, const SlotClient &slots, Metrics &metrics,
                  RolloutRunnerOptions options, RolloutRunnerHandlers handlers)
        : m_loop(loop)
        , m_store(store)
        , m_view(view)
        , m_fleet(fleet)
        , m_slots(slots)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_log(metrics)
        , m_statuses(loop, store, Platform::statusTopic)
    { }
    RolloutRunner(const RolloutRunner &) = delete;
    auto operator=(const RolloutRunner &) -> RolloutRunner & = delete;

    /// Takes over an operator's order.
    /// @param isNew whether it was just given; false for one from a snapshot
    auto onOrder(const RolloutOrder &order, bool isNew) -> void
    {
        auto &known = m_orders[order.service];
        if (order.offset <= known.order.offset && !known.order.service.empty()) {
            return;
        }
        // An order that is repeated meanwhile does not prolong the roll-out.
        const auto *record = findRecord(order.service);
        if (record != nullptr && isRunning(*record) && record->version == order.version
            && known.order.version == order.version) {
            known.order = order;
        } else {
            known = {.order = order, .seenAt = m_loop.now(), .isNew = isNew};
        }
        m_log.addOrder(order, enabled());
        updateRules();
    }
    /// Adds the result of a request that held a slot.
    auto onResult(const RouteId &route, const ServerIncarnation &incarnation,
                  const SlotResult &result) -> void
    {
        const auto *server = m_view.registry().find(incarnation.server);
        if (server == nullptr || server->entry.startedUnixMs != incarnation.startedUnixMs) {
            return;
        }
        const auto *record = findRecord(server->entry.service);
        if (record == nullptr || !isRunning(*record)) {
            return;
        }
        m_evidence[record->service].add(route, *server, server->entry.version == record->version,
                                        result, m_loop.now());
    }
    /// Takes over a VM's report, if this VM is the controller.
    /// @param incarnation of the process that sent it
    auto onReport(const VmId &from, const std::string &incarnation, const RolloutReport &report)
        -> void
    {
        const auto found = m_controllers.find(report.service);
        if (found != m_controllers.end()) {
            found->second.onReport({.vm = from, .incarnation = incarnation}, report, m_loop.now());
        }
    }
    /// Reports what this VM has seen since the last report.
    auto sendReports() -> void
    {
        for (const auto &[service, record] : m_view.rollouts()) {
            if (!isRunning(record)) {
                m_evidence.erase(service);
                continue;
            }
            const auto report = RolloutReport{.service = service,
                                              .order = record.order,
                                              .revision = m_slots.revisionOf(service),
                                              .pendingAtOld = countPendingAtOld(record),
                                              .counts = m_evidence[service].takeCounts()};
            const auto &controller = m_view.ownership().claim.vm;
            if (controller == m_options.self) {
                onReport(controller, m_options.incarnation, report);
            } else {
                m_handlers.send(controller, report);
            }
        }
    }
    /// Sets the rules of the servers' versions anew if they changed. To be called whenever servers
    /// came, before they get requests.
    auto updateRules() -> void
    {
        if (!enabled()) {
            return;
        }
        const auto now = m_loop.now();
        m_arrivals.note(m_view.registry(), now);
        auto rules = VersionRules{};
        for (const auto &service : services()) {
            if (auto rule = ruleFor(service, now)) {
                rules.emplace(service, std::move(*rule));
            }
        }
        if (rules != m_view.registry().versionRules()) {
            m_view.setVersionRules(std::move(rules));
        }
    }
    /// Updates the rules and, as the controller, carries out one step of each roll-out.
    auto tick() -> void
    {
        if (m_loop.now() - m_tickedAt < minTickInterval) {
            return;
        }
        m_tickedAt = m_loop.now();
        updateRules();
        m_log.follow(m_view.rollouts());
        if (!enabled() || !m_handlers.isController()) {
            m_controllers.clear();
            m_statuses.clear();
            return;
        }
        for (const auto &service : services()) {
            step(service);
        }
        m_statuses.tick();
    }

private:
    /// The key controller's progress calls tick() more often than any step is due.
    static constexpr milliseconds minTickInterval{50};

    struct KnownOrder
    {
        RolloutOrder order;
        TimePoint seenAt;
        bool isNew = false;
    };

    [[nodiscard]] auto enabled() const -> bool
    {
        return m_options.controller.maxShare > 0.0;
    }
    [[nodiscard]] auto findRecord(const ServiceId &service) const -> const RolloutRecord *
    {
        const auto found = m_view.rollouts().find(service);
        return found == m_view.rollouts().end() ? nullptr : &found->second;
    }
    [[nodiscard]] auto findOrder(const ServiceId &service) const -> const KnownOrder *
    {
        const auto found = m_orders.find(service);
        return found == m_orders.end() ? nullptr : &found->second;
    }
    // Returns the services that have servers, an order or a record.
    [[nodiscard]] auto services() const -> std::set<ServiceId>
    {
        auto result = m_arrivals.services();
        for (const auto &[service, order] : m_orders) {
            result.insert(service);
        }
        for (const auto &[service, record] : m_view.rollouts()) {
            result.insert(service);
        }
        return result;
    }
    [[nodiscard]] auto isKeyed(const ServiceId &service) const -> bool
    {
        const auto *found = m_view.state() ? m_view.state()->findService(service) : nullptr;
        return found != nullptr && found->keyed;
    }

    // Returns the rule of a service; nothing if all its servers may get requests.
    [[nodiscard]] auto ruleFor(const ServiceId &service, TimePoint now)
        -> std::optional<VersionRule>
    {
        const auto *record = findRecord(service);
        const auto *known = findOrder(service);
        auto rule = record == nullptr ? VersionRule{.basePool = service} : ruleOf(*record);
        rule.keyed = isKeyed(service);
        const auto awaitsRecord = known != nullptr
            && isWithheldUntilRecord({.order = known->order,
                                      .record = record,
                                      .isNew = known->isNew,
                                      .recordsRead = m_view.ownership().end > 0},
                                     m_view.registry());
        if (awaitsRecord) {
            rule.withheld.insert(known->order.version);
        }
        for (const auto &version : m_arrivals.heldBack(service, now)) {
            if (version != rule.version) {
                rule.withheld.insert(version);
            }
        }
        if (record != nullptr && mayStopAlone(rule) && stopsByItself(*record)) {
            rule.share = 0.0;
        }
        return record == nullptr && rule.withheld.empty() ? std::nullopt : std::optional(rule);
    }
    // Returns whether this VM stops to send to the new version before the controller decides. The
    // next record ends that.
    [[nodiscard]] auto stopsByItself(const RolloutRecord &record) -> bool
    {
        auto &revision = m_evidenceRevisions[record.service];
        auto &evidence = m_evidence[record.service];
        if (std::exchange(revision, record.revision) != record.revision) {
            evidence.forgetFailures();
        }
        return evidence.onlyFailures();
    }

    [[nodiscard]] auto countPendingAtOld(const RolloutRecord &record) const -> std::uint32_t
    {
        const auto &registry = m_view.registry();
        const auto isReplaced = [&](const BackendServerId &id) {
            const auto *server = registry.find(id);
            return server != nullptr && server->entry.service == record.service
                && server->entry.version != record.version;
        };
        const auto basePool = poolOf(record.service, record.base);
        return static_cast<std::uint32_t>(m_slots.countTickets(basePool, isReplaced));
    }

    [[nodiscard]] auto sinceOrder(const KnownOrder *known, const RolloutRecord *record,
                                  std::int64_t unixMs) const -> Duration
    {
        const auto isOrderOfRecord =
            known != nullptr && record != nullptr && known->order.offset == record->order;
        if (known != nullptr && (known->isNew || !isOrderOfRecord)
            && (record == nullptr || known->order.offset >= record->order)) {
            return m_loop.now() - known->seenAt;
        }
        // This VM has started since, so that only the time of day tells.
        return record == nullptr ? Duration::zero()
                                 : Duration(milliseconds(unixMs - record->orderedUnixMs));
    }

    // Returns whether the registry is complete: servers of a service that is not configured yet are
    // not in it.
    [[nodiscard]] auto serversKnown() const -> bool
    {
        return m_view.serversKnown() && m_view.state() != nullptr;
    }
    [[nodiscard]] auto liveVms() const -> std::set<VmProcess>
    {
        auto result =
            std::set<VmProcess>{{.vm = m_options.self, .incarnation = m_options.incarnation}};
        for (const auto &[vm, member] : m_fleet.members()) {
            if (m_fleet.isAlive(member, m_loop.now())) {
                result.insert({.vm = vm, .incarnation = member.incarnation});
            }
        }
        return result;
    }
    [[nodiscard]] auto keyOwners(const ServiceId &service) const -> std::set<BackendServerId>
    {
        auto result = std::set<BackendServerId>{};
        const auto table = m_view.ownership().tables.find(service);
        if (isKeyed(service) && table != m_view.ownership().tables.end()) {
            for (const auto &range : table->second.ranges) {
                result.insert(range.owner.server);
            }
        }
        return result;
    }

    auto step(const ServiceId &service) -> void
    {
        const auto *known = findOrder(service);
        const auto *record = findRecord(service);
        if (known == nullptr && record == nullptr) {
            return;
        }
        auto &controller =
            m_controllers.try_emplace(service, service, m_options.controller).first->second;
        if (m_appending) {
            return;
        }
        const auto unixMs = std::chrono::duration_cast<milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
        const auto next = controller.step({.order = known == nullptr ? nullptr : &known->order,
                                           .record = record,
                                           .registry = m_view.registry(),
                                           .sinceOrder = sinceOrder(known, record, unixMs),
                                           .unixMs = unixMs,
                                           .keyed = isKeyed(service),
                                           .keyOwners = keyOwners(service),
                                           .liveVms = liveVms(),
                                           .serversKnown = serversKnown()},
                                          m_loop.now());
        if (next) {
            append(*next, controller.judgement());
        }
        if (record != nullptr) {
            m_statuses.set(Platform::encodeRolloutStatus(statusOf(*record)));
        }
    }

    auto append(const RolloutRecord &record, const Judgement &judgement) -> void
    {
        m_appending = true;
        const auto encoded = encodeFleetRecord(record);
        m_log.addStep(record, judgement);
        m_store.append({.topic = Platform::fleetTopic,
                        .key = encoded.key,
                        .value = encoded.value,
                        .expectedEnd = m_view.ownership().end},
                       [this, encoded](const Settled<LogOffset> &offset) {
                           m_appending = false;
                           if (!offset) {
                               m_log.addFailure(encoded.key, offset.error());
                               return;
                           }
                           m_handlers.onAppended({.offset = offset.value(),
                                                  .key = encoded.key,
                                                  .value = encoded.value});
                       });
    }

    EventLoop &m_loop;
    StoreType &m_store;
    StoreView<Platform> &m_view;
    const FleetView &m_fleet;
    const SlotClient &m_slots;
    RolloutRunnerOptions m_options;
    RolloutRunnerHandlers m_handlers;
    RolloutLog m_log;
    StatusWriter<StoreType> m_statuses;
    VersionArrivals m_arrivals;
    std::map<ServiceId, KnownOrder> m_orders;
    std::map<ServiceId, VersionEvidence> m_evidence;
    std::map<ServiceId, std::uint64_t> m_evidenceRevisions;
    std::map<ServiceId, RolloutController> m_controllers; ///< empty unless this VM holds the claim
    bool m_appending = false;
    TimePoint m_tickedAt;
};

} // namespace figlanding
