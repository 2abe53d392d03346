#pragma once

#include "figlanding/gateway/fleet_records.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/store.h"
#include "io/event_loop.h"
#include "io/log.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Runs the key controller: executes its actions against the store and the servers.

namespace figlanding {

/// Sends grant and release commands to servers. The callback of a command gets its outcome; for a
/// release it also gets the token that the server returned.
template <typename Type>
concept ServerCommandSender = requires(Type sender, GrantCommand grant, ReleaseCommand release,
                                       milliseconds span)
{
    sender.grant(grant, span, span, std::function<void(CommandOutcome)>());
    sender.release(release, span, std::function<void(CommandOutcome, std::string)>());
};

/// Settings of KeyControllerRunner.
struct KeyControllerRunnerOptions
{
    KeyControllerOptions controller;
    std::string topic; ///< topic of the ownership records
    /// Time for the requests that still run at the server to end.
    milliseconds releaseTimeout{3000};
    milliseconds joinInterval{700}; ///< allows two attempts within a membership's time to live
    /// Lifetime of a membership without renewal; after it another VM becomes the controller.
    milliseconds memberLifetime{2200};
};

/// Callbacks of KeyControllerRunner.
struct KeyControllerRunnerHandlers
{
    /// Returns whether this VM should join the group of controller candidates; a few VMs of the
    /// fleet are enough.
    std::function<bool()> isCandidate;
    /// Called when the controller may have something to do before the next regular tick.
    std::function<void()> onProgress;
    /// Called with each record that was appended to the topic.
    std::function<void(const KeyedRecord &)> onAppended;
};

/// Takes part in the election of the controller through the store's group membership, and executes
/// the actions of KeyController.
template <Store StoreType, ServerCommandSender CommandSender>
class KeyControllerRunner
{
public:
    KeyControllerRunner(EventLoop &loop, StoreType &store, CommandSender &commandSender,
                        KeyControllerRunnerOptions options, KeyControllerRunnerHandlers handlers)
        : m_loop(loop)
        , m_store(store)
        , m_commandSender(commandSender)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_controller(m_options.controller)
        , m_joinTimer(loop, [this] { join(); })
    { }
    KeyControllerRunner(const KeyControllerRunner &) = delete;
    auto operator=(const KeyControllerRunner &) -> KeyControllerRunner & = delete;

    /// Joins the group of controller candidates while this VM is a candidate, and renews the
    /// membership.
    auto start() -> void
    {
        join();
        m_joinTimer.startRepeating(m_options.joinInterval);
    }
    /// Gives up the controller role and leaves the group; does not join again.
    auto leave() -> void
    {
        m_joinTimer.stop();
        m_left = true;
        m_controller.setElected(false);
        m_store.leaveGroup(groupRequest());
    }
    auto onView(const OwnershipView &view) -> void
    {
        m_controller.onView(view, m_loop.now());
    }
    /// Records that a read of the ownership topic, sent at @p sentAt, brought this VM's view up to
    /// date. Reads of other topics do not show whether another VM has claimed ownership.
    auto onOwnershipRead(TimePoint sentAt) -> void
    {
        m_controller.onStoreContact(sentAt);
    }
    auto onProgress(const ProcessProgress &progress) -> void
    {
        m_controller.onProgress(progress, m_loop.now());
    }
    [[nodiscard]] auto leaseReport() const -> std::optional<LeaseReport>
    {
        return m_controller.leaseReport(m_loop.now());
    }
    auto onLeaseReport(const ControllerProcess &from, const LeaseReport &report) -> void
    {
        m_controller.onLeaseReport(from, report, m_loop.now());
    }
    auto onSuspended() -> void
    {
        m_controller.onSuspended();
    }
    [[nodiscard]] auto unservedRanges() const -> std::vector<UnservedRange>
    {
        return m_controller.unservedRanges(m_loop.now());
    }
    [[nodiscard]] auto active() const -> bool
    {
        return m_controller.active();
    }
    /// Runs one step of the controller and executes its actions.
    auto tick(const ControllerInputs &inputs) -> void
    {
        const auto wasActive = m_controller.active();
        for (const auto &action : m_controller.tick(inputs, m_loop.now())) {
            std::visit([this](const auto &content) { this->execute(content); }, action);
        }
        if (wasActive != m_controller.active()) {
            logEvent(LogLevel::Info, "controller-duty", {{"active", m_controller.active()}});
        }
        if (m_controller.shouldResign(m_loop.now()) && !std::exchange(m_resigned, true)) {
            logEvent(LogLevel::Warning, "controller-resigns",
                     {{"reason", "most servers do not respond to commands of this VM"}});
            m_controller.setElected(false);
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
            return; // skips one interval, so that another member becomes the controller
        }
        if (!m_controller.active() && !m_handlers.isCandidate()) {
            m_controller.setElected(false);
            return; // without renewal the membership expires
        }
        m_store.joinGroup(groupRequest(),
                          [this, sentAt = m_loop.now()](const Settled<bool> &elected) {
                              if (!elected || m_left) {
                                  return;
                              }
                              // If another VM is elected, it may have claimed ownership since.
                              if (elected.value()) {
                                  m_controller.onStoreContact(sentAt);
                              }
                              m_controller.setElected(elected.value());
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
                    m_controller.onAppend(AppendOutcome::Appended, expectedEnd, now);
                    m_handlers.onAppended(
                        {.offset = offset.value(), .key = encoded.key, .value = encoded.value});
                    m_handlers.onProgress();
                    return;
                }
                const auto conflict = offset.error().code == ErrorCode::VersionConflict;
                logEvent(LogLevel::Info, "ownership-append-failed",
                         {{"error", describe(offset.error())}});
                m_controller.onAppend(conflict ? AppendOutcome::Conflict : AppendOutcome::Unknown,
                                      expectedEnd, now);
            });
    }

    auto execute(const AppendClaim &action) -> void
    {
        logEvent(LogLevel::Info, "controller-claims",
                 {{"term", action.claim.term}, {"end", action.expectedEnd}});
        append(action.claim, action.expectedEnd);
    }
    auto execute(const AppendTable &action) -> void
    {
        logEvent(LogLevel::Info, "ownership-record",
                 {{"service", action.service.value()},
                  {"ranges", action.table.ranges.size()},
                  {"end", action.expectedEnd}});
        append(TableRecord{.service = action.service, .table = action.table}, action.expectedEnd);
    }
    auto execute(const GrantCommand &command) -> void
    {
        const auto &options = m_options.controller;
        m_commandSender.grant(command, options.lease, options.callTimeout,
                              [this, command](CommandOutcome end) {
                                  logFailure("grant", command.to, command.keys, command.fence, end);
                                  m_controller.onGrant(command.id, end, m_loop.now());
                              });
    }
    auto execute(const ReleaseCommand &command) -> void
    {
        m_commandSender.release(command, m_options.releaseTimeout,
                                [this, command](CommandOutcome end, const std::string &token) {
                                    logFailure("release", command.from, command.keys, command.fence,
                                               end);
                                    m_controller.onRelease(command.id, end, token, m_loop.now());
                                    m_handlers.onProgress();
                                });
    }

    static auto logFailure(const char *kind, const ServerIncarnation &incarnation,
                           const KeyRange &keys, FencingToken fence, CommandOutcome end) -> void
    {
        if (end != CommandOutcome::Accepted) {
            logEvent(LogLevel::Info, "order-failed",
                     {{"order", kind},
                      {"server", incarnation.server.value()},
                      {"from", keys.from},
                      {"to", keys.to},
                      {"fence", fence},
                      {"end", static_cast<int>(end)}});
        }
    }

    EventLoop &m_loop;
    StoreType &m_store;
    CommandSender &m_commandSender;
    KeyControllerRunnerOptions m_options;
    KeyControllerRunnerHandlers m_handlers;
    KeyController m_controller;
    Timer m_joinTimer;
    bool m_left = false;
    bool m_resigned = false;
};

} // namespace figlanding
