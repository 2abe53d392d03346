#pragma once

#include "figlanding/controller.h"
#include "figlanding/fold.h"
#include "figlanding/sharding.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Controllers of several VMs on one log in memory, in steps of 50 ms.

namespace figlanding {

/// VMs vm-1 to vm-3, servers s1 to s3 and the service "rooms" with 12 shards.
class ControllerFleet
{
public:
    struct Vm
    {
        Controller controller;
        std::string incarnation;
        ClusterState state;
        bool silent = false; ///< sends no heartbeats and does not act
        bool leaving = false;
        std::vector<Record> held; ///< appends that reach the log later
        bool holdsAppends = false;
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

    /// Starts a VM, or starts it again with a new incarnation.
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

    /// Lets time pass.
    auto run(milliseconds duration) -> void
    {
        for (const auto end = now + duration; now < end;) {
            now += milliseconds(50);
            for (auto &[id, vm] : vms) {
                fold(vm);
            }
            exchangeReports();
            for (auto &[id, vm] : vms) {
                act(vm);
            }
        }
    }

    /// Lets time pass until all shards have an owner that may serve.
    /// @return the time that it took, or @p limit
    auto runUntilServed(milliseconds limit) -> milliseconds
    {
        auto passed = milliseconds::zero();
        while (passed < limit && !isServed()) {
            run(milliseconds(50));
            passed += milliseconds(50);
        }
        return passed;
    }

    [[nodiscard]] auto isServed() const -> bool
    {
        const auto &shards = state.assignments.at(rooms).shards;
        return std::all_of(shards.begin(), shards.end(), [&](const Assignment &assignment) {
            return !assignment.moving() && !assignment.owner.empty()
                && !downServers.contains(assignment.owner)
                && isAvailable(state, state.servers.at(assignment.owner).object);
        });
    }

    [[nodiscard]] auto accepted(const std::string &kind) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count(m_accepted.begin(), m_accepted.end(), kind));
    }

    [[nodiscard]] auto countOf(const std::string &action) const -> std::size_t
    {
        const auto found = m_actions.find(action);
        return found == m_actions.end() ? 0 : found->second;
    }

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

    /// Lets the held appends of a VM reach the log.
    auto releaseAppends(const VmId &id) -> void
    {
        auto &vm = vms.at(id);
        vm.holdsAppends = false;
        for (auto &record : std::exchange(vm.held, {})) {
            append(std::move(record));
        }
    }

    const ServiceId rooms{"rooms"};
    TimePoint now = TimePoint{} + seconds(10);
    ClusterState state; ///< fold of the whole log
    std::vector<LogRecord> records;
    std::map<VmId, Vm> vms;
    std::set<BackendServerId> downServers; ///< answer nothing
    std::set<BackendServerId> deafServers; ///< answer probes but no orders
    bool logDown = false;

private:
    auto fold(Vm &vm) const -> void
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

    auto act(Vm &vm) -> void
    {
        if (vm.silent) {
            return;
        }
        const auto view =
            ControllerView{.state = vm.state, .fresh = true, .logReachable = !logDown};
        for (auto &action : vm.controller.tick(view, now)) {
            std::visit([&](auto &order) { carryOut(vm, order); }, action);
        }
    }

    auto carryOut(Vm &vm, AppendRecord &order) -> void
    {
        ++m_actions["append"];
        if (vm.holdsAppends) {
            vm.held.push_back(std::move(order.record));
        } else if (!logDown) {
            append(std::move(order.record));
        }
    }

    auto carryOut(Vm &vm, RevokeShards &order) -> void
    {
        ++m_actions["revoke"];
        if (answersOrders(order.server)) {
            vm.controller.onRevoked({order.server, order.service, order.fence});
        }
    }

    auto carryOut(Vm &vm, GrantShards &order) -> void
    {
        ++m_actions["grant"];
        if (answersOrders(order.server)) {
            vm.controller.onGranted({order.server, order.service, order.fence});
        }
    }

    auto carryOut(Vm &vm, ProbeServer &order) -> void
    {
        ++m_actions["probe"];
        vm.controller.onProbe(order.server, !downServers.contains(order.server), now);
    }

    [[nodiscard]] auto answersOrders(const BackendServerId &server) const -> bool
    {
        return !downServers.contains(server) && !deafServers.contains(server);
    }

    int m_starts = 0;
    std::vector<std::string> m_accepted;
    std::map<std::string, std::size_t> m_actions;
};

} // namespace figlanding
