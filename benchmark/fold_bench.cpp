#include "figlanding/codec.h"
#include "figlanding/sharding.h"
#include "figlanding/snapshot.h"
#include "figlanding/state_machine.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>

/// @file
/// Measures how fast log records are applied to the cluster state, keys are located and snapshots
/// are encoded and decoded, and how much memory a large state takes. Prints one line per figure:
/// name, value, unit and baseline value, or "-" if there is no baseline.

namespace {

using namespace figlanding;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t smallServers = 32;
constexpr std::uint32_t smallShards = 256;
constexpr std::uint32_t largeNodes = 2900;
constexpr std::uint32_t largeShards = 65'536;
constexpr std::uint32_t appliedRecords = 200'000;
// Records applied for the baseline, which copies the state before each record.
constexpr std::uint32_t copiedRecords = 5'000;
constexpr std::uint32_t locatedKeys = 2'000'000;

auto secondsSince(Clock::time_point start) -> double
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

auto makeServerId(std::uint32_t index) -> BackendServerId
{
    return BackendServerId("server-" + std::to_string(index));
}

auto roomsService() -> ServiceId
{
    return ServiceId("rooms");
}

auto makeServer(std::uint32_t index) -> BackendServer
{
    auto server = BackendServer{};
    server.id = makeServerId(index);
    server.zone = AvailabilityZoneId("zone-" + std::to_string(index % 3));
    server.address = {.ip = "10.0." + std::to_string(index / 250) + "."
                          + std::to_string(1 + index % 250),
                      .port = 8080};
    server.labels = {{"tier", index % 2 == 0 ? "gold" : "plain"}, {"role", "rooms"}};
    return server;
}

auto declaredObjects(std::uint32_t servers, std::uint32_t shards) -> std::vector<DeclaredObject>
{
    auto objects = std::vector<DeclaredObject>{};
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        objects.emplace_back(
            AvailabilityZone{.id = AvailabilityZoneId("zone-" + std::to_string(zone))});
    }
    for (std::uint32_t index = 0; index < servers; ++index) {
        objects.emplace_back(makeServer(index));
    }
    objects.emplace_back(
        Service{.id = roomsService(), .mode = ServiceMode::Exclusive, .shardCount = shards});
    return objects;
}

/// Builds a cluster state by applying payloads, each as the next record of the log.
class StateBuilder
{
public:
    auto append(RecordPayload payload) -> void
    {
        auto record = LogRecord{.offset = m_state.offset + 1};
        record.appendedUnixMs = static_cast<std::int64_t>(record.offset);
        record.record.id = {.writer = "vm-1", .sequence = record.offset};
        record.record.payload = std::move(payload);
        m_state = apply(std::move(m_state), record);
    }

    auto state() const -> const ClusterState &
    {
        return m_state;
    }

private:
    ClusterState m_state;
};

auto addMembers(StateBuilder &builder, std::uint32_t count) -> void
{
    for (std::uint32_t index = 0; index < count; ++index) {
        auto join = MemberChange{};
        join.term = 1;
        join.vm = VmId("vm-" + std::to_string(index));
        join.zone = AvailabilityZoneId("zone-" + std::to_string(index % 3));
        join.peerAddress = {.ip = "10.1.0.1", .port = 7001};
        join.incarnation = "incarnation-" + std::to_string(index);
        builder.append(std::move(join));
    }
}

auto buildState(std::uint32_t servers, std::uint32_t shards, std::uint32_t members) -> ClusterState
{
    auto builder = StateBuilder{};
    auto change = ConfigChange{.author = "bench"};
    for (auto &object : declaredObjects(servers, shards)) {
        auto &item = change.changes.emplace_back();
        item.ref = refOf(object);
        item.object = std::move(object);
    }
    builder.append(std::move(change));
    builder.append(TermClaim{.term = 1, .vm = VmId("vm-1")});
    addMembers(builder, members);
    auto begin = BeginMoves{.term = 1, .service = roomsService()};
    for (ShardIndex shard = 0; shard < shards; ++shard) {
        begin.moves.push_back({.shard = shard, .to = makeServerId(shard % servers)});
    }
    builder.append(std::move(begin));
    builder.append(
        CommitMoves{.term = 1, .service = roomsService(), .begin = builder.state().offset});
    return builder.state();
}

// Returns the records that controllers and operators write most often: server status changes, moves
// and label changes.
auto makeTypicalRecords(LogOffset offset, std::uint32_t count) -> std::vector<LogRecord>
{
    auto records = std::vector<LogRecord>(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        auto &record = records[index];
        record.offset = ++offset;
        record.record.id = {.writer = "vm-1", .sequence = offset};
        if (index % 3 == 0) {
            record.record.payload =
                ServerStatusChange{.term = 1, .server = makeServerId(index % smallServers)};
        } else if (index % 3 == 1) {
            auto begin = BeginMoves{.term = 1, .service = roomsService()};
            begin.moves.push_back({.shard = index % smallShards, .to = makeServerId(index % 7)});
            record.record.payload = std::move(begin);
        } else {
            auto change = ConfigChange{.author = "bench"};
            auto &item = change.changes.emplace_back();
            item.object = makeServer(index % smallServers);
            item.ref = refOf(*item.object);
            record.record.payload = std::move(change);
        }
    }
    return records;
}

auto benchApply() -> void
{
    const auto start = buildState(smallServers, smallShards, 11);
    const auto records = makeTypicalRecords(start.offset, appliedRecords);
    auto state = start;
    const auto applyStart = Clock::now();
    for (const auto &record : records) {
        state = apply(std::move(state), record);
    }
    const auto rate = appliedRecords / secondsSince(applyStart);
    auto copied = start;
    const auto copyStart = Clock::now();
    for (std::uint32_t index = 0; index < copiedRecords; ++index) {
        const auto before = copied;
        copied = apply(before, records[index]);
    }
    const auto copyRate = copiedRecords / secondsSince(copyStart);
    std::printf("fold_rate %.0f records/s %.0f\n", rate, copyRate);
}

auto benchLocate(const ClusterState &state) -> void
{
    auto keys = std::vector<std::string>{};
    for (std::uint32_t index = 0; index < 1024; ++index) {
        keys.push_back("room-" + std::to_string(index));
    }
    auto fences = FencingToken{0};
    const auto start = Clock::now();
    for (std::uint32_t index = 0; index < locatedKeys; ++index) {
        fences += assignmentForKey(state, roomsService(), keys[index % keys.size()])->fence;
    }
    const auto nanoseconds = secondsSince(start) * 1e9 / locatedKeys;
    std::printf("locate_key %.1f ns %s\n", nanoseconds, fences == 0 ? "no-owner" : "-");
}

auto benchSnapshot(const ClusterState &state) -> void
{
    const auto encodeStart = Clock::now();
    const auto chunks = makeSnapshot(state, {.term = 1, .snapshotId = "bench"});
    std::printf("snapshot_encode %.1f ms -\n", secondsSince(encodeStart) * 1e3);
    auto whole = AssembledSnapshot{.covers = state.offset};
    for (const auto &chunk : chunks) {
        whole.bytes += chunk.data;
    }
    std::printf("snapshot_size %zu bytes -\n", whole.bytes.size());
    std::printf("snapshot_chunks %zu records -\n", chunks.size());
    const auto decodeStart = Clock::now();
    const auto decoded = settle([&] { return decodeSnapshot(whole); });
    std::printf("snapshot_decode %.1f ms %s\n", secondsSince(decodeStart) * 1e3,
                decoded && decoded.value() == state ? "-" : "wrong-state");
}

auto heapBytes() -> std::size_t
{
    const auto usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

auto benchLargeState() -> void
{
    const auto built = buildState(largeNodes, largeShards, largeNodes);
    const auto before = heapBytes();
    // Measures a copy, so that memory left over from building the state is not counted.
    const auto copies = std::vector<ClusterState>(1, built);
    constexpr auto bytesPerMegabyte = 1e6;
    std::printf("state_resident %.1f MB 32\n",
                static_cast<double>(heapBytes() - before) / bytesPerMegabyte);
    benchLocate(copies.front());
    benchSnapshot(copies.front());
}

} // namespace

auto main() -> int
{
    benchApply();
    benchLargeState();
    return 0;
}
