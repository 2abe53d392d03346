#include "key_simulation.h"

#include "simulated_server.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace figlanding::tests {

namespace {

constexpr auto step = milliseconds(20);
constexpr auto controllerCount = 2;
constexpr auto timeToExpire = milliseconds(2600); ///< of the entry of a silent server
const auto service = ServiceId("rooms");

class Simulation
{
public:
    explicit Simulation(const KeySimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (auto i = std::size_t{0}; i < m_options.servers; ++i) {
            const auto name = std::string("s").append(std::to_string(i));
            m_servers.push_back(
                {.incarnation = {.server = BackendServerId(name), .startedUnixMs = 1},
                 .address = {.ip = name, .port = 1}});
        }
        m_controllers.resize(controllerCount);
        m_startedAt.resize(controllerCount);
        for (auto i = 0; i < controllerCount; ++i) {
            startController(i);
        }
        m_partitionedUntil.resize(controllerCount);
        m_readEnd.resize(controllerCount);
    }

    auto runToEnd() -> KeySimulationResult
    {
        m_start = m_now;
        const auto faultsEnd = m_now + m_options.faultDuration;
        const auto end = faultsEnd + m_options.recoveryDuration;
        while (m_now < end && m_outcome.violation.empty()) {
            m_now += step;
            if (m_now < faultsEnd) {
                injectFaults();
            } else {
                m_faultsEnded = true;
            }
            runDueEvents();
            runScheduledChanges();
            runControllers();
            exchangeProgress();
            checkSoleOwnership();
            recordUnowned();
        }
        m_outcome.unowned = countUnowned();
        m_outcome.records = m_view.end;
        m_outcome.terms = m_view.claim.term;
        return m_outcome;
    }

private:
    struct Event
    {
        TimePoint at;
        std::function<void()> run;
    };

    // Starts a controller's process, and ends the one before. What that one has sent may still
    // arrive.
    auto startController(int index) -> void
    {
        const auto i = static_cast<std::size_t>(index);
        auto settings =
            KeyControllerOptions{.self = VmId(std::string("vm").append(std::to_string(index))),
                                 .incarnation = std::to_string(++m_processes)};
        if (m_options.adjustOptions) {
            m_options.adjustOptions(settings);
        }
        m_lease = settings.lease;
        m_callTimeout = settings.callTimeout;
        if (m_controllers.at(i)) {
            m_endedControllers.push_back(std::move(m_controllers.at(i)));
        }
        m_controllers.at(i) = std::make_unique<KeyController>(settings);
        m_startedAt.at(i) = m_now;
    }

    // Delivers to each controller how far the others have read, with a delay.
    auto exchangeProgress() -> void
    {
        constexpr auto interval = milliseconds(500);
        if (m_now < m_progressAt) {
            return;
        }
        m_progressAt = m_now + interval;
        for (auto from = 0; from < controllerCount; ++from) {
            const auto i = static_cast<std::size_t>(from);
            const auto progress = ProcessProgress{
                .process = m_controllers.at(i)->process(),
                .uptime = std::chrono::duration_cast<milliseconds>(m_now - m_startedAt.at(i)),
                .ownershipEnd = m_readEnd.at(i)};
            const auto report =
                m_options.reportsLeases ? m_controllers.at(i)->leaseReport(m_now) : std::nullopt;
            schedule(randomDuration(1, 400), [this, from, progress, report] {
                auto &other = *m_controllers.at(static_cast<std::size_t>(1 - from));
                other.onProgress(progress, m_now);
                if (report) {
                    other.onLeaseReport(progress.process, *report, m_now);
                }
            });
        }
    }

    auto chance(double probability) -> bool
    {
        return !m_faultsEnded
            && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    auto randomDuration(int lowMs, int highMs) -> milliseconds
    {
        return milliseconds(std::uniform_int_distribution<int>(lowMs, highMs)(m_random));
    }
    auto schedule(Duration delay, std::function<void()> run) -> void
    {
        m_events.push_back({.at = m_now + delay, .run = std::move(run)});
    }

    auto runDueEvents() -> void
    {
        auto due = std::vector<Event>{};
        for (auto &event : m_events) {
            if (event.at <= m_now) {
                due.push_back(std::move(event));
            }
        }
        std::erase_if(m_events, [&](const Event &event) { return event.at <= m_now; });
        for (const auto &event : due) {
            event.run();
        }
    }

    auto injectFaults() -> void
    {
        const auto &faults = m_options.faults;
        constexpr auto perStep = 0.004; // one fault of each kind every five seconds on average
        if (faults.leaderChanges && chance(perStep)) {
            m_leader = 1 - m_leader;
        }
        for (auto i = 0; i < controllerCount; ++i) {
            if (faults.controllerRestarts && chance(perStep)) {
                startController(i);
            }
        }
        for (auto &partitionedUntil : m_partitionedUntil) {
            if (faults.storePartitions && chance(perStep)) {
                partitionedUntil = m_now + randomDuration(500, 12'000);
            }
        }
        for (auto &server : m_servers) {
            if (faults.unreachableServers && chance(perStep)) {
                server.unreachableUntil = m_now + randomDuration(500, 12'000);
            }
            if (faults.refusingCuts && server.up && chance(perStep)) {
                cutOff(server);
            }
            if (faults.crashes && server.up && chance(perStep)) {
                const auto shortest = static_cast<int>(faults.minDowntime.count());
                server.crash(m_now + randomDuration(shortest, 8000));
                expireEntry(server.incarnation);
            }
        }
    }

    // The server goes on with its keys, but reaches neither the store nor the controllers.
    auto cutOff(SimulatedServer &server) -> void
    {
        const auto end = m_now + randomDuration(3000, 6000);
        server.refusesUntil = end;
        server.announcesAt = end + randomDuration(0, 1000);
        expireEntry(server.incarnation);
    }

    // The entry of a server that is silent from now on is removed, unless a later one replaces it.
    auto expireEntry(const ServerIncarnation &incarnation) -> void
    {
        schedule(timeToExpire, [this, incarnation] {
            const auto *known = m_registry.find(incarnation.server);
            if (known != nullptr && known->entry.startedUnixMs == incarnation.startedUnixMs) {
                m_registry.remove(incarnation.server, m_now);
                m_registry.expire(m_now);
            }
        });
    }

    auto runScheduledChanges() -> void
    {
        const auto before = m_now - step - m_start;
        const auto isDue = [&](Duration at) { return at > before && at <= m_now - m_start; };
        for (const auto at : m_options.leaderChangesAt) {
            if (isDue(at)) {
                electOther();
            }
        }
        for (const auto at : m_options.restartsAt) {
            for (auto i = 0; isDue(at) && i < controllerCount; ++i) {
                startController(i);
            }
        }
        if (m_options.loss.servers > 0 && isDue(m_options.loss.at)) {
            for (std::size_t i = 0; i < m_options.loss.servers; ++i) {
                silence(m_servers.at(i));
            }
        }
    }

    auto electOther() -> void
    {
        if (m_options.formerLeaderLosesStore) {
            m_partitionedUntil.at(static_cast<std::size_t>(m_leader)) = TimePoint::max();
        }
        m_leader = 1 - m_leader;
    }

    auto silence(SimulatedServer &server) -> void
    {
        server.unreachableUntil = TimePoint::max();
        server.announcesAt = TimePoint::max();
        expireEntry(server.incarnation);
    }

    auto recordUnowned() -> void
    {
        const auto &loss = m_options.loss;
        if (loss.servers > 0 && m_now >= m_start + loss.at && countUnowned() > 0) {
            m_outcome.ownedAgainAfter =
                std::chrono::duration_cast<milliseconds>(m_now - m_start - loss.at) + step;
        }
    }

    auto runControllers() -> void
    {
        for (auto &server : m_servers) {
            if (!server.up && m_now >= server.upAt) {
                server.up = true;
                server.announcesAt = std::max(m_now, server.refusesUntil) + randomDuration(0, 1000);
                m_needsCheck = true;
                server.incarnation.startedUnixMs += 1;
            }
            // VMs forward only announcements with changes, so the registry gets one for each
            // incarnation.
            const auto *known = m_registry.find(server.incarnation.server);
            if (server.up && m_now >= server.announcesAt
                && (known == nullptr
                    || known->entry.startedUnixMs != server.incarnation.startedUnixMs)) {
                m_sequence += 1;
                m_registry.announce({.id = server.incarnation.server,
                                     .startedUnixMs = server.incarnation.startedUnixMs,
                                     .service = service,
                                     .address = server.address,
                                     .zone = AvailabilityZoneId("a"),
                                     .slots = 2,
                                     .sequence = m_sequence},
                                    m_now);
            }
        }
        for (auto i = 0; i < controllerCount; ++i) {
            auto &controller = *m_controllers.at(static_cast<std::size_t>(i));
            const auto reachesStore = m_now >= m_partitionedUntil.at(static_cast<std::size_t>(i));
            if (reachesStore) {
                controller.setElected(i == m_leader);
                controller.onStoreContact(m_now);
                controller.onView(m_view, m_now);
                m_readEnd.at(static_cast<std::size_t>(i)) = m_view.end;
            }
            const auto inputs = ControllerInputs{.registry = m_registry,
                                                 .keyedServices = {service},
                                                 .loads = m_loads,
                                                 .serviceTimes = m_serviceTimes};
            for (const auto &action : controller.tick(inputs, m_now)) {
                std::visit([&](const auto &content) { perform(i, content); }, action);
            }
        }
        appendOtherRecord();
    }

    // Appends a record of another VM between what the controllers read and what they append.
    auto appendOtherRecord() -> void
    {
        constexpr auto stepsPerSecond = double{seconds(1) / step};
        if (chance(m_options.faults.otherRecords / stepsPerSecond)) {
            m_view.end += 1;
        }
    }

    template <typename Record>
    auto appendIf(LogOffset expectedEnd, const Record &record) -> bool
    {
        if (m_view.end != expectedEnd) {
            return false;
        }
        m_view.end += 1;
        if constexpr (std::is_same_v<Record, AppendClaim>) {
            m_view.claim = record.claim;
        } else {
            m_view.tables[record.service] = record.table;
        }
        return true;
    }

    template <typename Record>
    auto append(int controller, const Record &record) -> void
    {
        auto &writer = *m_controllers.at(static_cast<std::size_t>(controller));
        if (m_now < m_partitionedUntil.at(static_cast<std::size_t>(controller))) {
            schedule(milliseconds(900), [&writer, record, this] {
                writer.onAppend(AppendOutcome::Unknown, record.expectedEnd, m_now);
            });
            return;
        }
        if (chance(m_options.faults.unknownAppend)) {
            const auto delay = chance(0.5) ? randomDuration(1000, 6000) : milliseconds(4);
            schedule(delay, [=, this] { appendIf(record.expectedEnd, record); });
            schedule(milliseconds(900), [&writer, record, this] {
                writer.onAppend(AppendOutcome::Unknown, record.expectedEnd, m_now);
            });
            return;
        }
        schedule(milliseconds(4), [=, this, &writer] {
            const auto appended = appendIf(record.expectedEnd, record);
            writer.onAppend(appended ? AppendOutcome::Appended : AppendOutcome::Conflict,
                            record.expectedEnd, m_now);
        });
    }
    auto perform(int controller, const AppendClaim &record) -> void
    {
        append(controller, record);
    }
    auto perform(int controller, const AppendTable &record) -> void
    {
        append(controller, record);
    }

    auto find(const SocketAddress &address) -> SimulatedServer &
    {
        return *std::find_if(m_servers.begin(), m_servers.end(),
                             [&](const auto &server) { return server.address == address; });
    }

    auto applyGrant(SimulatedServer &server, const GrantCommand &command, TimePoint arrival)
        -> CommandOutcome
    {
        constexpr auto slowClock = 1.02;
        const auto lease = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(m_lease) * slowClock);
        const auto outcome = server.grant(command, arrival + lease);
        // A grant that takes effect after its lease has expired gives no ownership.
        if (outcome == CommandOutcome::Accepted && arrival + lease > m_now) {
            checkFence(server.incarnation, command);
        }
        m_needsCheck = m_needsCheck || outcome == CommandOutcome::Accepted;
        return outcome;
    }

    // Checks that another incarnation gets a key only with a fence above all earlier ones.
    auto checkFence(const ServerIncarnation &incarnation, const GrantCommand &command) -> void
    {
        for (auto i = 0U; i < sampledKeys; ++i) {
            if (!containsKey(command.keys, sampledKey(i))) {
                continue;
            }
            auto &last = m_lastOwners[sampledKey(i)];
            if (last.first != incarnation && command.fence <= last.second) {
                m_outcome.violation = std::string("key ")
                                          .append(std::to_string(sampledKey(i)))
                                          .append(" granted without a higher fence to ")
                                          .append(incarnation.server.value());
            }
            last = {last.second > command.fence ? last.first : incarnation,
                    std::max(last.second, command.fence)};
        }
    }

    auto perform(int controller, const GrantCommand &command) -> void
    {
        auto &sender = *m_controllers.at(static_cast<std::size_t>(controller));
        auto &server = find(command.address);
        // Without this fault no random number is drawn, so that seeds lead to the same runs.
        const auto copied = m_options.faults.copiedAcceptance > 0 && !command.needsProof
            && chance(m_options.faults.copiedAcceptance);
        const auto unanswered = copied ? CommandOutcome::Accepted : CommandOutcome::Lost;
        const auto responseLost = [&sender, unanswered, id = command.id, this] {
            sender.onGrant(id, unanswered, m_now);
        };
        const auto noResponseAfter = copied ? milliseconds(4) : m_callTimeout;
        const auto arrival = m_now + milliseconds(2);
        const auto incarnation = server.incarnation;
        const auto run = [=, this, &server] {
            // A queued command is lost when the process exits.
            return server.up && server.incarnation == incarnation
                ? applyGrant(server, command, arrival)
                : CommandOutcome::Lost;
        };
        if (server.refusesConnections(m_now) || chance(m_options.faults.refusedConnection)) {
            schedule(milliseconds(2), [&sender, id = command.id, this] {
                sender.onGrant(id, CommandOutcome::NotSent, m_now);
            });
        } else if (m_now < server.unreachableUntil) {
            schedule(m_callTimeout, [&sender, id = command.id, this] {
                sender.onGrant(id, CommandOutcome::NotSent, m_now);
            });
        } else if (chance(m_options.faults.lostCommand)) {
            schedule(noResponseAfter, responseLost);
        } else if (chance(m_options.faults.lateCommand)) {
            schedule(randomDuration(2000, 12'000), [run] { run(); });
            schedule(noResponseAfter, responseLost);
        } else if (chance(m_options.faults.lostResponse)) {
            schedule(milliseconds(2), [run] { run(); });
            schedule(noResponseAfter, responseLost);
        } else {
            schedule(milliseconds(4), [&sender, run, copied, id = command.id, this] {
                const auto outcome = run();
                sender.onGrant(id, copied ? CommandOutcome::Accepted : outcome, m_now);
            });
        }
    }

    auto perform(int controller, const ReleaseCommand &command) -> void
    {
        auto &sender = *m_controllers.at(static_cast<std::size_t>(controller));
        auto &server = find(command.address);
        const auto incarnation = server.incarnation;
        const auto lost = m_now < server.unreachableUntil || chance(m_options.faults.lostCommand);
        const auto responseLost = chance(m_options.faults.lostResponse);
        if (server.refusesConnections(m_now)) {
            schedule(milliseconds(2), [&sender, id = command.id, this] {
                sender.onRelease(id, CommandOutcome::NotSent, "", m_now);
            });
            return;
        }
        schedule(milliseconds(4), [=, this, &server, &sender] {
            const auto runs = !lost && server.up && server.incarnation == incarnation;
            if (runs) {
                server.release(command.keys);
            }
            if (runs && !responseLost) {
                sender.onRelease(command.id, CommandOutcome::Accepted, "token", m_now);
            }
        });
        if (lost || responseLost) {
            schedule(seconds(3), [&sender, id = command.id, this] {
                sender.onRelease(id, CommandOutcome::Lost, "", m_now);
            });
        }
    }

    // Checks that no key has two owners, after events that can cause it: a grant or a start.
    auto checkSoleOwnership() -> void
    {
        if (!std::exchange(m_needsCheck, false)) {
            return;
        }
        for (auto i = 0U; i < sampledKeys; ++i) {
            auto owners = std::string{};
            auto count = 0;
            for (const auto &server : m_servers) {
                if (server.owns(sampledKey(i), m_now)) {
                    owners.append(" ").append(server.incarnation.server.value());
                    ++count;
                }
            }
            if (count > 1) {
                const auto at = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
                m_outcome.violation = std::string("key ")
                                          .append(std::to_string(sampledKey(i)))
                                          .append(" held by")
                                          .append(owners)
                                          .append(" at ")
                                          .append(std::to_string(at.count()));
                return;
            }
        }
    }

    [[nodiscard]] auto countUnowned() const -> std::size_t
    {
        auto count = std::size_t{0};
        for (auto i = 0U; i < sampledKeys; ++i) {
            const auto serves = [&](const SimulatedServer &server) {
                return server.unreachableUntil != TimePoint::max()
                    && server.owns(sampledKey(i), m_now);
            };
            count += std::any_of(m_servers.begin(), m_servers.end(), serves) ? 0 : 1;
        }
        return count;
    }

    KeySimulationOptions m_options;
    RandomEngine m_random;
    TimePoint m_now = TimePoint{} + seconds(1000);
    TimePoint m_start;
    bool m_faultsEnded = false;
    bool m_needsCheck = false; ///< a grant or a start happened since the last check
    std::vector<SimulatedServer> m_servers;
    std::vector<std::unique_ptr<KeyController>> m_controllers;
    /// Ended processes; outcomes of what they have sent are still delivered to them.
    std::vector<std::unique_ptr<KeyController>> m_endedControllers;
    std::vector<TimePoint> m_startedAt;
    std::vector<LogOffset> m_readEnd; ///< offset up to which each controller has read
    TimePoint m_progressAt;
    int m_processes = 0;
    std::vector<TimePoint> m_partitionedUntil;
    int m_leader = 0;
    milliseconds m_lease{};
    milliseconds m_callTimeout{};
    OwnershipView m_view;
    ServerRegistry m_registry;
    std::uint64_t m_sequence = 0;
    std::map<ServiceId, std::vector<float>> m_loads;
    std::map<BackendServerId, milliseconds> m_serviceTimes;
    std::vector<Event> m_events;
    /// Incarnation with the highest fence of each sampled key.
    std::map<ShardKey, std::pair<ServerIncarnation, FencingToken>> m_lastOwners;
    KeySimulationResult m_outcome;
};

} // namespace

auto runKeySimulation(const KeySimulationOptions &options) -> KeySimulationResult
{
    return Simulation(options).runToEnd();
}

} // namespace figlanding::tests
