#include "figlanding/hot_keys.h"
#include "figlanding/planner.h"
#include "figlanding/sharding.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Measures load imbalance, churn and planning time of the shard assignment algorithms, and the
/// load imbalance under skewed key popularity before and after hot keys are isolated. Prints one
/// line per figure: name, value, unit and baseline value.

namespace {

using namespace figlanding;

// Rendezvous hashing without weights or bounds.
struct PlainRendezvous
{
    [[nodiscard]] auto assign(const std::vector<ServerShare> &servers,
                              const ShardOwners &owners) const -> ShardOwners
    {
        auto result = owners;
        for (std::size_t shard = 0; shard < owners.size(); ++shard) {
            std::uint64_t best = 0;
            for (std::size_t i = 0; i < servers.size(); ++i) {
                const auto score = keyHash(servers[i].server.value() + '/' + std::to_string(shard));
                if (score >= best) {
                    best = score;
                    result[shard] = static_cast<ServerIndex>(i);
                }
            }
        }
        return result;
    }
};

// Assigns a shard to the server whose index is the shard's number modulo the number of servers.
struct ModuloHashing
{
    [[nodiscard]] auto assign(const std::vector<ServerShare> &servers,
                              const ShardOwners &owners) const -> ShardOwners
    {
        auto result = owners;
        for (std::size_t shard = 0; shard < owners.size(); ++shard) {
            result[shard] = static_cast<ServerIndex>(shard % servers.size());
        }
        return result;
    }
};

auto makeServers(std::size_t count) -> std::vector<ServerShare>
{
    auto servers = std::vector<ServerShare>{};
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back({.server = BackendServerId("server-" + std::to_string(i))});
    }
    return servers;
}

auto maxToMean(const ShardOwners &owners, std::size_t servers) -> double
{
    auto loads = std::vector<double>(servers, 0);
    for (const auto owner : owners) {
        loads[owner] += 1;
    }
    const auto largest = *std::max_element(loads.begin(), loads.end());
    return largest * static_cast<double>(servers) / static_cast<double>(owners.size());
}

template <AssignmentAlgorithm Algorithm>
auto imbalance(std::size_t servers, std::size_t shards) -> double
{
    const auto owners = Algorithm{}.assign(makeServers(servers), ShardOwners(shards, noServer));
    return maxToMean(owners, servers);
}

// Returns the number of shards that change owner when the first server leaves, relative to the
// number that it owned. 1 is optimal.
template <AssignmentAlgorithm Algorithm>
auto churn(std::size_t serverCount, std::size_t shards) -> double
{
    auto servers = makeServers(serverCount);
    const auto before = Algorithm{}.assign(servers, ShardOwners(shards, noServer));
    servers.erase(servers.begin());
    // Without the first server the indexes of all others are one lower.
    auto current = before;
    for (auto &owner : current) {
        owner = owner == 0 ? noServer : owner - 1;
    }
    const auto after = Algorithm{}.assign(servers, current);
    double moved = 0;
    double share = 0;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        moved += after[shard] + 1 != before[shard] ? 1 : 0;
        share += before[shard] == 0 ? 1 : 0;
    }
    return moved / share;
}

template <AssignmentAlgorithm Algorithm>
auto assignMilliseconds(std::size_t serverCount, std::size_t shards) -> double
{
    const auto servers = makeServers(serverCount);
    const auto start = std::chrono::steady_clock::now();
    const auto owners = Algorithm{}.assign(servers, ShardOwners(shards, noServer));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return owners.empty() ? 0 : std::chrono::duration<double, std::milli>(elapsed).count();
}

auto makeCluster(std::size_t serverCount, std::uint32_t shards) -> ClusterState
{
    ClusterState state;
    const auto zone = AvailabilityZoneId("a");
    state.zones[zone].object.id = zone;
    for (const auto &share : makeServers(serverCount)) {
        state.servers[share.server].object = BackendServer{.id = share.server, .zone = zone};
    }
    const auto service = ServiceId("rooms");
    state.services[service].object =
        Service{.id = service, .mode = ServiceMode::Exclusive, .shardCount = shards};
    state.assignments[service].shards.resize(shards);
    return state;
}

auto executeMoves(ServiceAssignments &assignments, const std::vector<Move> &moves) -> void
{
    for (const auto &move : moves) {
        auto &assignment =
            move.key.empty() ? assignments.shards[move.shard] : assignments.isolatedKeys[move.key];
        assignment.owner = move.to;
    }
}

// Returns the time that planMoves() takes for a service whose shards all lack an owner.
auto planMilliseconds(std::size_t serverCount, std::uint32_t shards) -> double
{
    const auto state = makeCluster(serverCount, shards);
    const auto &service = state.services.begin()->second.object;
    const auto start = std::chrono::steady_clock::now();
    const auto plan = planMoves(state, service, StableLeastLoaded{});
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return plan.required.empty() ? 0 : std::chrono::duration<double, std::milli>(elapsed).count();
}

// Request rates of keys whose popularity follows Zipf's law.
class ZipfKeys
{
public:
    ZipfKeys(std::size_t count, double exponent, double requestsPerSecond)
    {
        double total = 0;
        for (std::size_t rank = 1; rank <= count; ++rank) {
            m_rates.push_back(std::pow(static_cast<double>(rank), -exponent));
            total += m_rates.back();
        }
        for (auto &rate : m_rates) {
            rate *= requestsPerSecond / total;
        }
    }

    [[nodiscard]] auto loadOf(const ClusterState &state, const ServiceId &service) const
        -> ServiceLoad
    {
        auto load = ServiceLoad{};
        for (std::size_t i = 0; i < m_rates.size(); ++i) {
            load.servers[assignmentForKey(state, service, nameOf(i))->owner] += m_rates[i];
        }
        return load;
    }

    // Returns the estimated rates of the most frequent keys, in requests per second, from a sketch
    // of ten seconds of requests.
    [[nodiscard]] auto sketchedRates() const -> std::map<std::string, double>
    {
        constexpr std::size_t sampledRequests = 130000;
        auto random = std::mt19937_64(7);
        auto rank = std::discrete_distribution<std::size_t>(m_rates.begin(), m_rates.end());
        auto hitters = HeavyHitters{};
        for (std::size_t i = 0; i < sampledRequests; ++i) {
            hitters.add(nameOf(rank(random)));
        }
        auto rates = std::map<std::string, double>{};
        for (const auto &entry : hitters.top()) {
            rates[entry.key] = static_cast<double>(entry.count - entry.error) / 10;
        }
        return rates;
    }

private:
    static auto nameOf(std::size_t index) -> std::string
    {
        return "key-" + std::to_string(index);
    }

    std::vector<double> m_rates;
};

auto loadImbalance(const ServiceLoad &load, std::size_t servers) -> double
{
    double total = 0;
    double largest = 0;
    for (const auto &[server, rate] : load.servers) {
        total += rate;
        largest = std::max(largest, rate);
    }
    return largest * static_cast<double>(servers) / total;
}

struct SkewResult
{
    double before = 0;
    double after = 0;
    std::size_t moves = 0;
};

// Runs the hot-key policy under constant load for ten simulated minutes.
auto simulateHotKeyPolicy(double exponent) -> SkewResult
{
    constexpr std::size_t servers = 13;
    auto state = makeCluster(servers, 256);
    const auto service = state.services.begin()->second.object;
    auto &assignments = state.assignments[service.id];
    executeMoves(assignments, planMoves(state, service, StableLeastLoaded{}).required);
    const auto keys = ZipfKeys(10000, exponent, 13000);
    const auto hotKeyRates = keys.sketchedRates();
    auto policy = HotKeyPolicy{};
    auto result = SkewResult{.before = loadImbalance(keys.loadOf(state, service.id), servers)};
    for (auto now = TimePoint{}; now < TimePoint{} + seconds(600); now += seconds(10)) {
        auto load = keys.loadOf(state, service.id);
        load.keys = hotKeyRates;
        const auto decisions = policy.decide(state, service, load, now);
        for (const auto &isolation : decisions.isolations) {
            assignments.isolatedKeys[isolation.key] =
                *assignmentForKey(state, service.id, isolation.key);
        }
        executeMoves(assignments, decisions.moves);
        result.moves += decisions.moves.size();
    }
    result.after = loadImbalance(keys.loadOf(state, service.id), servers);
    return result;
}

auto print(const std::string &name, double value, std::string_view unit, double baseline) -> void
{
    std::cout << name << ' ' << value << ' ' << unit << ' ' << baseline << '\n';
}

auto printSkew(const std::string &name, double exponent) -> void
{
    const auto result = simulateHotKeyPolicy(exponent);
    print(name + "_imbalance_after_hot_key_moves", result.after, "max/mean", result.before);
    print(name + "_hot_key_moves", static_cast<double>(result.moves), "moves", 0);
}

} // namespace

auto main() -> int
{
    print("churn_13_least_loaded", churn<StableLeastLoaded>(13, 256), "moves/share",
          churn<PlainRendezvous>(13, 256));
    print("churn_13_bounded_rendezvous", churn<BoundedRendezvous>(13, 256), "moves/share",
          churn<ModuloHashing>(13, 256));
    print("imbalance_13_least_loaded", imbalance<StableLeastLoaded>(13, 256), "max/mean",
          imbalance<PlainRendezvous>(13, 256));
    print("imbalance_13_bounded_rendezvous", imbalance<BoundedRendezvous>(13, 256), "max/mean",
          imbalance<ModuloHashing>(13, 256));
    print("imbalance_2900_least_loaded", imbalance<StableLeastLoaded>(2900, 65536), "max/mean",
          imbalance<ModuloHashing>(2900, 65536));
    print("imbalance_2900_bounded_rendezvous", imbalance<BoundedRendezvous>(2900, 65536),
          "max/mean", imbalance<ModuloHashing>(2900, 65536));
    print("assign_2900_least_loaded", assignMilliseconds<StableLeastLoaded>(2900, 65536), "ms",
          assignMilliseconds<BoundedRendezvous>(2900, 65536));
    print("plan_2900", planMilliseconds(2900, 65536), "ms", 0);
    printSkew("zipf_0.8", 0.8);
    printSkew("zipf_1.0", 1.0);
    return 0;
}
