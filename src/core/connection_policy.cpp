#include "figlanding/connection_policy.h"

#include <algorithm>

namespace figlanding {

namespace {

auto isExpired(const IdleConnection &connection, TimePoint now, const ConnectionOptions &options)
    -> bool
{
    return now - connection.idleSince > options.maxIdle
        || now - connection.openedAt > options.maxAge;
}

auto receivedEarlier(const IdleConnection &a, const IdleConnection &b) -> bool
{
    return a.lastReceivedAt < b.lastReceivedAt;
}

} // namespace

auto chooseConnection(std::span<const IdleConnection> idle, bool idempotent, bool mayOpen,
                      TimePoint now, const ConnectionOptions &options) -> ConnectionChoice
{
    // The connection that received data last is the most likely to work. The others stay idle until
    // they expire and are closed.
    const auto latest = std::max_element(idle.begin(), idle.end(), receivedEarlier);
    const auto maxSilence =
        idempotent ? options.maxSilenceIfIdempotent : options.maxSilenceIfNotIdempotent;
    if (latest != idle.end() && now - latest->lastReceivedAt <= maxSilence
        && !isExpired(*latest, now, options)) {
        return {.action = ConnectionAction::Reuse, .connection = latest->id};
    }
    if (mayOpen) {
        return {.action = ConnectionAction::OpenNew};
    }
    if (idle.empty()) {
        return {.action = ConnectionAction::Wait};
    }
    const auto oldest = std::min_element(idle.begin(), idle.end(), receivedEarlier);
    return {.action = ConnectionAction::ReplaceIdle, .connection = oldest->id};
}

auto connectionsToClose(std::span<const IdleConnection> idle, TimePoint now,
                        const ConnectionOptions &options) -> std::vector<std::uint64_t>
{
    auto result = std::vector<std::uint64_t>{};
    for (const auto &connection : idle) {
        if (isExpired(connection, now, options)) {
            result.push_back(connection.id);
        }
    }
    return result;
}

auto connectionToProbe(std::span<const IdleConnection> idle, TimePoint now,
                       const ConnectionOptions &options) -> std::optional<std::uint64_t>
{
    const auto oldest = std::min_element(idle.begin(), idle.end(), receivedEarlier);
    if (oldest == idle.end() || now - oldest->lastReceivedAt <= options.probeAfter) {
        return std::nullopt;
    }
    return oldest->id;
}

auto suspectConnections(std::span<const IdleConnection> idle, TimePoint sentAt)
    -> std::vector<std::uint64_t>
{
    auto result = std::vector<std::uint64_t>{};
    for (const auto &connection : idle) {
        if (connection.lastReceivedAt <= sentAt) {
            result.push_back(connection.id);
        }
    }
    return result;
}

} // namespace figlanding
