#pragma once

#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/store.h"
#include "io/event_loop.h"
#include "io/log.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

/// @file
/// Carries out what KeyController decides.

namespace figlanding {

/// Sends orders to servers.
template <typename Type>
concept ServerOrderSender = requires(Type sender, GrantOrder grant, ReleaseOrder release,
                                     milliseconds span)
{
    sender.grant(grant, span, span, std::function<void(OrderEnd)>());
    sender.release(release, span, std::function<void(OrderEnd, std::string)>());
};

/// Settings of KeyDuty.
struct KeyDutyOptions
{
    KeyControllerOptions controller;
    std::string topic; ///< of the ownership records
    milliseconds releaseTimeout{3000}; ///< running work may take this long to end
    milliseconds joinInterval{700}; ///< two tries within a membership's time to live
    milliseconds memberLifetime{2200}; ///< the duty passes on after this silence
};

/// Events of KeyDuty.
struct KeyDutyHandlers
{
    /// Returns whether this VM should offer itself; a few of the fleet are enough.
    std::function<bool()> isCandidate;
    /// There may be something to decide before the next tick.
    std::function<void()> onProgress;
    std::function<void(const KeyedRecord &)> onAppended;
};

/// The controller's link to the store and to the servers.
template <Store StoreType, ServerOrderSender Orders>
class KeyDuty
{
public:
    KeyDuty(EventLoop &loop, StoreType &store, Orders &orders, KeyDutyOptions options,
            KeyDutyHandlers handlers)
        : m_loop(loop)
        , m_store(store)
        , m_orders(orders)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_controller(m_options.controller)
        , m_joinTimer(loop, [this] { join(); })
    { }
    KeyDuty(const KeyDuty &) = delete;
    auto operator=(const KeyDuty &) -> KeyDuty & = delete;

    auto start() -> void
    {
        join();
        m_joinTimer.startRepeating(m_options.joinInterval);
    }
    /// Gives the duty up for good.
    auto leave() -> void
    {
        m_joinTimer.stop();
        m_left = true;
        m_controller.setDuty(false);
        m_store.leaveGroup(groupRequest());
    }
    auto onView(const OwnershipView &view) -> void
    {
        m_controller.onView(view, m_loop.now());
    }
    auto onStoreContact(TimePoint sentAt) -> void
    {
        m_controller.onStoreContact(sentAt);
    }
    auto onSuspended() -> void
    {
        m_controller.onSuspended();
    }
    [[nodiscard]] auto active() const -> bool
    {
        return m_controller.active();
    }
    /// Decides and acts.
    auto tick(const ControllerInputs &inputs) -> void
    {
        const auto wasActive = m_controller.active();
        for (const auto &action : m_controller.tick(inputs, m_loop.now())) {
            std::visit([this](const auto &content) { this->act(content); }, action);
        }
        if (wasActive != m_controller.active()) {
            logEvent(LogLevel::Info, "controller-duty", {{"active", m_controller.active()}});
        }
        if (m_controller.shouldResign(m_loop.now()) && !std::exchange(m_resigned, true)) {
            logEvent(LogLevel::Warning, "controller-resigns",
                     {{"reason", "most servers do not answer this VM"}});
            m_controller.setDuty(false);
            m_store.leaveGroup(groupRequest());
        }
    }

private:
    [[nodiscard]] auto groupRequest() const -> GroupRequest
    {
        return {.group = m_options.topic + "-controller",
                .member =
                    m_options.controller.self.value() + "-" + m_options.controller.incarnation,
                .topic = m_options.topic,
                .timeToLive = m_options.memberLifetime};
    }

    auto join() -> void
    {
        if (std::exchange(m_resigned, false)) {
            return; // another member takes the duty in the meantime
        }
        if (!m_controller.active() && !m_handlers.isCandidate()) {
            m_controller.setDuty(false);
            return; // a membership that is not renewed ends
        }
        m_store.joinGroup(groupRequest(),
                          [this, sentAt = m_loop.now()](const Settled<bool> &holds) {
                              if (holds && !m_left) {
                                  m_controller.onStoreContact(sentAt);
                                  m_controller.setDuty(holds.value());
                              }
                          });
    }

    auto append(const FleetRecord &record, LogOffset expectedEnd) -> void
    {
        const auto encoded = encodeFleetRecord(record);
        m_store.append(
            {.topic = m_options.topic,
             .key = encoded.key,
             .value = encoded.value,
             .expectedEnd = expectedEnd},
            [this, encoded, expectedEnd](const Settled<LogOffset> &offset) {
                const auto now = m_loop.now();
                if (offset) {
                    m_controller.onAppend(AppendEnd::Appended, expectedEnd, now);
                    m_handlers.onAppended(
                        {.offset = offset.value(), .key = encoded.key, .value = encoded.value});
                    m_handlers.onProgress();
                    return;
                }
                const auto conflict = offset.error().code == ErrorCode::VersionConflict;
                logEvent(LogLevel::Info, "ownership-append-failed",
                         {{"error", describe(offset.error())}});
                m_controller.onAppend(conflict ? AppendEnd::Conflict : AppendEnd::Unknown,
                                      expectedEnd, now);
            });
    }

    auto act(const AppendClaim &action) -> void
    {
        logEvent(LogLevel::Info, "controller-claims",
                 {{"term", action.claim.term}, {"end", action.expectedEnd}});
        append(action.claim, action.expectedEnd);
    }
    auto act(const AppendTable &action) -> void
    {
        logEvent(LogLevel::Info, "ownership-record",
                 {{"service", action.service.value()},
                  {"ranges", action.table.ranges.size()},
                  {"end", action.expectedEnd}});
        append(TableRecord{.service = action.service, .table = action.table}, action.expectedEnd);
    }
    auto act(const GrantOrder &order) -> void
    {
        const auto &options = m_options.controller;
        m_orders.grant(order, options.lease, options.callTimeout, [this, order](OrderEnd end) {
            logFailure("grant", order.to, order.keys, order.fence, end);
            m_controller.onGrant(order.id, end, m_loop.now());
        });
    }
    auto act(const ReleaseOrder &order) -> void
    {
        m_orders.release(order, m_options.releaseTimeout,
                         [this, order](OrderEnd end, const std::string &token) {
                             logFailure("release", order.from, order.keys, order.fence, end);
                             m_controller.onRelease(order.id, end, token, m_loop.now());
                             m_handlers.onProgress();
                         });
    }

    static auto logFailure(const char *kind, const ServerLife &life, const KeyRange &keys,
                           FencingToken fence, OrderEnd end) -> void
    {
        if (end != OrderEnd::Accepted) {
            logEvent(LogLevel::Info, "order-failed",
                     {{"order", kind},
                      {"server", life.server.value()},
                      {"from", keys.from},
                      {"to", keys.to},
                      {"fence", fence},
                      {"end", static_cast<int>(end)}});
        }
    }

    EventLoop &m_loop;
    StoreType &m_store;
    Orders &m_orders;
    KeyDutyOptions m_options;
    KeyDutyHandlers m_handlers;
    KeyController m_controller;
    Timer m_joinTimer;
    bool m_left = false;
    bool m_resigned = false;
};

} // namespace figlanding
