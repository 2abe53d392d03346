#pragma once

#include "figlanding/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// @file
/// Selection of the connection to a backend server that a request uses. ServerAdmission limits the
/// number of connections; it runs on the one VM that dispatches to the server.

namespace figlanding {

/// Settings for connection reuse, closing and probing.
struct ConnectionOptions
{
    milliseconds maxIdle{30'000}; ///< a connection idle for longer is closed
    milliseconds maxAge{300'000}; ///< a connection older than this is closed when idle
    /// A request that is not idempotent reuses only a connection on which the server has sent data
    /// within this time.
    milliseconds maxSilenceIfNotIdempotent{500};
    /// The corresponding bound for an idempotent request.
    milliseconds maxSilenceIfIdempotent{5000};
    milliseconds probeAfter{200}; ///< an idle connection without data for longer is probed

    auto operator==(const ConnectionOptions &) const -> bool = default;
};

/// An idle connection.
struct IdleConnection
{
    std::uint64_t id = 0;
    TimePoint openedAt;
    TimePoint idleSince;
    TimePoint lastReceivedAt; ///< time of the last data from the server, or of the connect

    auto operator==(const IdleConnection &) const -> bool = default;
};

/// How a request obtains its connection.
enum class ConnectionAction {
    Reuse,
    OpenNew,
    ReplaceIdle, ///< close the named idle connection, then open a new one
    Wait, ///< the connection limit is reached and none is idle
};

/// Result of chooseConnection().
struct ConnectionChoice
{
    ConnectionAction action = ConnectionAction::Wait;
    std::uint64_t connection = 0; ///< connection to reuse or to close

    auto operator==(const ConnectionChoice &) const -> bool = default;
};

/// Chooses the connection for a request.
/// @param idle idle connections to the server
/// @param idempotent whether the request may be sent again
/// @param mayOpen whether the connection limit allows another connection
[[nodiscard]] auto chooseConnection(std::span<const IdleConnection> idle, bool idempotent,
                                    bool mayOpen, TimePoint now, const ConnectionOptions &options)
    -> ConnectionChoice;

/// Returns the ids of the idle connections that exceed maxIdle or maxAge.
[[nodiscard]] auto connectionsToClose(std::span<const IdleConnection> idle, TimePoint now,
                                      const ConnectionOptions &options)
    -> std::vector<std::uint64_t>;

/// Returns the id of the idle connection on which to send the next health probe.
/// @return the connection that has received no data for longest, or nothing if that is not longer
/// than probeAfter
[[nodiscard]] auto connectionToProbe(std::span<const IdleConnection> idle, TimePoint now,
                                     const ConnectionOptions &options)
    -> std::optional<std::uint64_t>;

/// Returns the ids of the idle connections that may be broken after a request timed out on another
/// connection: those that have received no data since that request was sent. Close them, or probe
/// them before use.
/// @param sentAt time at which the timed-out request was sent
[[nodiscard]] auto suspectConnections(std::span<const IdleConnection> idle, TimePoint sentAt)
    -> std::vector<std::uint64_t>;

} // namespace figlanding
