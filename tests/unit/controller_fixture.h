#pragma once

#include "figlanding/controller.h"
#include "figlanding/sharding.h"
#include "figlanding/state_machine.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Simulation of the controllers of several VMs that share an in-memory log, in steps of 50 ms.

namespace figlanding {

/// A fleet of VMs vm-1 to vm-3 and servers s1 to s3, with the service "rooms" of 12 shards.
class ControllerFleet
{
public:
    struct Vm
    {
        Controller controller;
        std::string incarnation;
        ClusterState state;
        bool silent = false; ///< sends no heartbeats, reads no log and does not tick
        bool leaving = false;
        std::vector<Record> delayedAppends; ///< appends that have not reached the log
        bool delaysAppends = false; ///< appends go to delayedAppends
    };

    explicit ControllerFleet(bool checksFence = false)
    {
        auto change = ConfigChange{.author = "ann"};
        const auto declare = [&](DeclaredObject object) {
            auto ref = refOf(object);
            change.changes.push_back({.ref = std::move(ref), .object = std::move(object)});
        };
        for (const auto *zone : {"a", "b"}) {
            declare(AvailabilityZone{.id = AvailabilityZoneId(zone)});
        }
        std::uint16_t port = 1;
        for (const auto *name : {"s1", "s2", "s3"}) {
            declare(BackendServer{.id = BackendServerId(name),
                                  .zone = AvailabilityZoneId(port == 3 ? "b" : "a"),
                                  .address = {.ip = "127.0.0.1", .port = port},
                                  .checksFence = checksFence});
            ++port;
        }
        declare(Service{.id = rooms, .mode = ServiceMode::Exclusive, .shardCount = 12});
        append({.id = {.writer = "ann", .sequence = 1}, .payload = std::move(change)});
        for (const auto *name : {"vm-1", "vm-2", "vm-3"}) {
            start(name);
        }
    }

    /// Starts a VM, or restarts it with a new incarnation.
    auto start(const std::string &name) -> void
    {
        const auto incarnation = name + "/" + std::to_string(++m_starts);
        vms.insert_or_assign(VmId(name),
                             Vm{.controller = Controller({.self = VmId(name),
                                                          .incarnation = incarnation,
                                                          .writer = incarnation + "/controller",
                                                          .startedAt = now}),
                                .incarnation = incarnation});
    }

    /// Advances the simulation by @p duration.
    auto run(milliseconds duration) -> void
    {
        for (const auto end = now + duration; now < end;) {
            now += milliseconds(50);
            for (auto &[id, vm] : vms) {
                applyRecords(vm);
            }
            exchangeReports();
            for (auto &[id, vm] : vms) {
                tickController(vm);
            }
        }
    }

    /// Advances the simulation until isServed().
    /// @return the simulated time that passed, at most @p limit rounded up to a step
    auto runUntilServed(milliseconds limit) -> milliseconds
    {
        auto passed = milliseconds::zero();
        while (passed < limit && !isServed()) {
            run(milliseconds(50));
            passed += milliseconds(50);
        }
        return passed;
    }

    /// Returns whether no shard is moving and every shard has an available owner that is not in
    /// downServers.
    [[nodiscard]] auto isServed() const -> bool
    {
        const auto &shards = state.assignments.at(rooms).shards;
        return std::all_of(shards.begin(), shards.end(), [&](const Assignment &assignment) {
            return !assignment.moving() && !assignment.owner.empty()
                && !downServers.contains(assignment.owner)
                && isAvailable(state, state.servers.at(assignment.owner).object);
        });
    }

    /// Returns the number of accepted records of a kind, by its payload name.
    [[nodiscard]] auto accepted(const std::string &kind) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count(m_accepted.begin(), m_accepted.end(), kind));
    }

    /// Returns the number of actions of a kind: append, revoke, grant or probe.
    [[nodiscard]] auto countOf(const std::string &action) const -> std::size_t
    {
        const auto found = m_actions.find(action);
        return found == m_actions.end() ? 0 : found->second;
    }

    /// Appends a record to the log and applies it to the state.
    auto append(Record record) -> void
    {
        const auto name = std::string(payloadName(record.payload));
        records.push_back({.offset = records.size() + 1, .record = std::move(record)});
        const auto audits = state.audit.size();
        state = apply(std::move(state), records.back());
        if (state.audit.size() > audits && state.audit.back().accepted) {
            m_accepted.push_back(name);
        }
    }

    /// Appends the delayed records of a VM to the log and stops delaying.
    auto deliverDelayedAppends(const VmId &id) -> void
    {
        auto &vm = vms.at(id);
        vm.delaysAppends = false;
        for (auto &record : std::exchange(vm.delayedAppends, {})) {
            append(std::move(record));
        }
    }

    const ServiceId rooms{"rooms"};
    TimePoint now = TimePoint{} + seconds(10);
    ClusterState state; ///< result of applying all records of the log
    std::vector<LogRecord> records;
    std::map<VmId, Vm> vms;
    std::set<BackendServerId> downServers; ///< do not respond at all
    std::set<BackendServerId> serversIgnoringCommands; ///< respond to probes only
    bool logDown = false;

private:
    auto applyRecords(Vm &vm) const -> void
    {
        while (!vm.silent && !logDown && vm.state.offset < records.size()) {
            vm.state = apply(std::move(vm.state), records[vm.state.offset]);
        }
    }

    auto reportOf(const VmId &id, const Vm &vm) const -> PeerReport
    {
        auto report = PeerReport{.vm = id,
                                 .incarnation = vm.incarnation,
                                 .appliedOffset = vm.state.offset,
                                 .drainedOffset = vm.state.offset,
                                 .canConfirm = vm.state.offset > 0,
                                 .leaving = vm.leaving,
                                 .logReachable = !logDown};
        for (const auto &server : downServers) {
            if (dispatcherOf(vm.state, server) == id) {
                report.suspects.push_back(server);
            }
        }
        report.suspectedVms = vm.controller.silentMembers(vm.state, now);
        return report;
    }

    auto exchangeReports() -> void
    {
        for (const auto &[sender, from] : vms) {
            if (from.silent) {
                continue;
            }
            const auto report = reportOf(sender, from);
            for (auto &[receiver, to] : vms) {
                to.controller.onReport(report, now);
            }
        }
    }

    auto tickController(Vm &vm) -> void
    {
        if (vm.silent) {
            return;
        }
        const auto view =
            ControllerView{.state = vm.state, .fresh = true, .logReachable = !logDown};
        for (auto &action : vm.controller.tick(view, now)) {
            std::visit([&](auto &request) { execute(vm, request); }, action);
        }
    }

    auto execute(Vm &vm, AppendRecord &request) -> void
    {
        ++m_actions["append"];
        if (vm.delaysAppends) {
            vm.delayedAppends.push_back(std::move(request.record));
        } else if (!logDown) {
            append(std::move(request.record));
        }
    }

    auto execute(Vm &vm, RevokeShards &request) -> void
    {
        ++m_actions["revoke"];
        if (acknowledgesCommands(request.server)) {
            vm.controller.onRevoked({request.server, request.service, request.fence});
        }
    }

    auto execute(Vm &vm, GrantShards &request) -> void
    {
        ++m_actions["grant"];
        if (acknowledgesCommands(request.server)) {
            vm.controller.onGranted({request.server, request.service, request.fence});
        }
    }

    auto execute(Vm &vm, ProbeServer &request) -> void
    {
        ++m_actions["probe"];
        vm.controller.onProbe(request.server, !downServers.contains(request.server), now);
    }

    [[nodiscard]] auto acknowledgesCommands(const BackendServerId &server) const -> bool
    {
        return !downServers.contains(server) && !serversIgnoringCommands.contains(server);
    }

    int m_starts = 0;
    std::vector<std::string> m_accepted;
    std::map<std::string, std::size_t> m_actions;
};

} // namespace figlanding
