#include "simulated_server.h"

#include <algorithm>
#include <utility>

namespace figlanding::tests {

auto SimulatedServer::refusesConnections(TimePoint now) const -> bool
{
    return !up || now < refusesUntil;
}

auto SimulatedServer::owns(ShardKey key, TimePoint now) const -> bool
{
    return up && std::any_of(holds.begin(), holds.end(), [&](const HeldRange &hold) {
               return containsKey(hold.keys, key) && hold.until > now;
           });
}

auto SimulatedServer::grant(const GrantCommand &command, TimePoint until) -> CommandOutcome
{
    for (auto i = 0U; i < sampledKeys; ++i) {
        const auto key = sampledKey(i);
        if (containsKey(command.keys, key) && highestFences[key] > command.fence) {
            return CommandOutcome::Refused;
        }
    }
    for (auto i = 0U; i < sampledKeys; ++i) {
        if (containsKey(command.keys, sampledKey(i))) {
            highestFences[sampledKey(i)] = command.fence;
        }
    }
    std::erase_if(holds, [&](const HeldRange &hold) { return hold.keys == command.keys; });
    holds.push_back({.keys = command.keys, .fence = command.fence, .until = until});
    return CommandOutcome::Accepted;
}

auto SimulatedServer::release(const KeyRange &keys) -> void
{
    auto kept = std::vector<HeldRange>{};
    for (const auto &hold : holds) {
        for (const auto &part :
             splitAround({.ranges = {OwnedRange{.keys = hold.keys}}}, keys).ranges) {
            if (!keys.contains(part.keys)) {
                kept.push_back({.keys = part.keys, .fence = hold.fence, .until = hold.until});
            }
        }
    }
    holds = std::move(kept);
}

auto SimulatedServer::crash(TimePoint restartsAt) -> void
{
    up = false;
    upAt = restartsAt;
    holds.clear();
    highestFences.clear();
}

} // namespace figlanding::tests
