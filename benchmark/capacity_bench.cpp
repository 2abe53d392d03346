#include "figlanding/codec.h"
#include "figlanding/controller.h"
#include "figlanding/freshness.h"
#include "figlanding/peer_messages.h"
#include "figlanding/sharding.h"
#include "figlanding/state_machine.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>

/// @file
/// Measures how the cost of the control plane grows with the number of nodes: memory of the cluster
/// state, heartbeats, controller ticks and the choice of a dispatching VM. Half of the nodes are
/// VMs, the other half backend servers. Prints one line per figure: name, value, unit and baseline
/// value, which is always "-" since there is no baseline.

namespace {

using namespace figlanding;
using Clock = std::chrono::steady_clock;

constexpr auto nodeCounts = std::to_array<std::uint32_t>({290, 1450, 2900});
constexpr std::uint32_t shards = 65'536;
constexpr std::uint32_t heartbeats = 2'000;
constexpr std::uint32_t lookups = 2'000;
constexpr std::uint32_t ticks = 20;

auto microsecondsSince(Clock::time_point start) -> double
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

auto makeVmId(std::uint32_t index) -> VmId
{
    return VmId("vm-" + std::to_string(index));
}

auto makeAddress(std::uint32_t index) -> SocketAddress
{
    return {.ip = "10.1." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250),
            .port = 7001};
}

auto makeMember(std::uint32_t index) -> Member
{
    return {.vm = makeVmId(index),
            .zone = AvailabilityZoneId("zone-" + std::to_string(index % 6)),
            .peerAddress = makeAddress(index),
            .incarnation = "incarnation-" + std::to_string(index),
            .since = 10};
}

auto makeState(std::uint32_t nodes) -> ClusterState
{
    ClusterState state;
    state.offset = 100;
    state.term = 1;
    state.controller = makeVmId(0);
    state.membersSince = 10;
    const auto service = ServiceId("rooms");
    state.services[service].object = {
        .id = service, .mode = ServiceMode::Exclusive, .shardCount = shards};
    auto &assignments = state.assignments[service].shards;
    assignments.resize(shards);
    for (std::uint32_t index = 0; index < nodes / 2; ++index) {
        state.members[makeVmId(index)] = makeMember(index);
        const auto id = BackendServerId("server-" + std::to_string(index));
        state.servers[id].object = {.id = id,
                                    .zone = AvailabilityZoneId("zone-" + std::to_string(index % 6)),
                                    .address = makeAddress(index),
                                    .labels = {{"service", "rooms"}}};
    }
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        assignments[shard] = {
            .owner = BackendServerId("server-" + std::to_string(shard % (nodes / 2))), .fence = 50};
    }
    return state;
}

auto makeReport(std::uint32_t index) -> PeerReport
{
    const auto member = makeMember(index);
    return {.vm = member.vm,
            .zone = member.zone,
            .peerAddress = member.peerAddress,
            .adminAddress = member.peerAddress,
            .incarnation = member.incarnation,
            .appliedOffset = 100,
            .drainedOffset = 100,
            .canConfirm = true};
}

auto print(const char *name, std::uint32_t nodes, double value, const char *unit) -> void
{
    std::printf("%s_%u %.2f %s -\n", name, nodes, value, unit);
}

auto benchHeartbeats(const ClusterState &state, std::uint32_t nodes) -> void
{
    auto freshness = ViewFreshness({.self = makeVmId(0), .incarnation = "incarnation-0"});
    freshness.onState(state);
    const auto vms = nodes / 2;
    const auto now = Clock::now();
    std::size_t bytes = 0;
    for (std::uint32_t index = 0; index < heartbeats; ++index) {
        const auto text = encodePeerReport(makeReport(index % vms));
        const auto report = settle([&] { return decodePeerReport(text); });
        freshness.onConfirmation({.vm = report.value().vm,
                                  .incarnation = report.value().incarnation,
                                  .probeSentAt = now,
                                  .appliedOffset = 100,
                                  .canConfirm = true});
        bytes += text.size();
    }
    print("heartbeat_time", nodes, microsecondsSince(now) / heartbeats, "us");
    print("heartbeat_size", nodes, static_cast<double>(bytes) / heartbeats, "bytes");
    const auto start = Clock::now();
    auto fresh = 0U;
    for (std::uint32_t index = 0; index < lookups; ++index) {
        fresh += freshness.isFresh(start) ? 1U : 0U;
    }
    print("is_fresh_time", nodes, microsecondsSince(start) / lookups,
          fresh > 0 ? "us" : "us(stale)");
}

auto benchController(const ClusterState &state, std::uint32_t nodes) -> void
{
    const auto begin = Clock::now();
    auto controller = Controller({.self = makeVmId(0),
                                  .incarnation = "incarnation-0",
                                  .writer = "vm-0-controller",
                                  .startedAt = begin});
    for (std::uint32_t index = 0; index < nodes / 2; ++index) {
        controller.onReport(makeReport(index), begin);
    }
    const auto view = ControllerView{.state = state, .fresh = true, .logReachable = true};
    const auto start = Clock::now();
    for (std::uint32_t index = 0; index < ticks; ++index) {
        static_cast<void>(controller.tick(view, begin));
    }
    print("controller_tick_time", nodes, microsecondsSince(start) / ticks, "us");
}

auto benchDispatcherChoice(const ClusterState &state, std::uint32_t nodes) -> void
{
    const auto start = Clock::now();
    std::size_t found = 0;
    for (std::uint32_t index = 0; index < lookups; ++index) {
        const auto server = BackendServerId("server-" + std::to_string(index % (nodes / 2)));
        found += dispatcherOf(state, server).has_value() ? 1 : 0;
    }
    print("dispatcher_choice_time", nodes, microsecondsSince(start) / static_cast<double>(found),
          "us");
}

} // namespace

auto main() -> int
{
    for (const auto nodes : nodeCounts) {
        const auto before = mallinfo2().uordblks;
        const auto state = makeState(nodes);
        print("state_memory", nodes, static_cast<double>(mallinfo2().uordblks - before) / 1e6,
              "MB");
        print("state_encoded", nodes, static_cast<double>(encodeState(state).size()) / 1e6, "MB");
        benchHeartbeats(state, nodes);
        benchController(state, nodes);
        benchDispatcherChoice(state, nodes);
    }
    return 0;
}
