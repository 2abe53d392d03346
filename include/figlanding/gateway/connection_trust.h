#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/key_ownership.h"

#include <cstddef>
#include <map>

/// @file
/// Servers whose kept connections may carry bytes that belong to no request.

namespace figlanding {

/// Settings of ConnectionTrust.
struct ConnectionTrustOptions
{
    milliseconds memory{5000}; ///< what a server sent counts for this time
    std::size_t maxServers = 1024; ///< limit for the servers that are remembered, at least 1

    auto operator==(const ConnectionTrustOptions &) const -> bool = default;
};

/// Decides which requests need a new connection after a server has sent a response that cannot be
/// matched with its request.
///
/// Nothing precedes the first response of a connection. On a kept connection, a faulty server may
/// send bytes after an earlier response, and the request there gets them in place of its own
/// response or in front of it. Its outcome is then unknown, so requests that must run at most once
/// are sent to such a server over new connections for a time. A rejection without an id may be of
/// that kind or not, and nothing else that it says is used; of the idempotent requests, one checks
/// whether the server does reject.
///
/// A server that is forgotten early costs outcomes that stay unknown, never a second run.
class ConnectionTrust
{
public:
    explicit ConnectionTrust(const ConnectionTrustOptions &options = {});

    /// Records a rejection without an id. If too many servers are remembered, the one whose last
    /// record is the oldest is forgotten.
    /// @param proven whether it was the first response of its connection
    auto addRejection(const ServerIncarnation &server, bool proven, TimePoint now) -> void;
    /// Records a response that belongs to another request or breaks the rules of HTTP. The limit
    /// for the servers holds as for rejections.
    auto addViolation(const ServerIncarnation &server, TimePoint now) -> void;
    /// Returns whether the next request to a server needs a new connection. For an idempotent one,
    /// that is so once after each unproven rejection.
    [[nodiscard]] auto takeNewConnection(const ServerIncarnation &server,
                                         Repeatability repeatability, TimePoint now) -> bool;
    /// Forgets the servers of which nothing recent is recorded.
    auto expire(TimePoint now) -> void;
    /// Returns the number of servers that are remembered.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Doubt
    {
        TimePoint at;
        bool unchecked = false; // a rejection is unproven, and no new connection was used since
    };

    auto add(const ServerIncarnation &server, Doubt doubt) -> void;
    [[nodiscard]] auto isRecent(const Doubt &doubt, TimePoint now) const -> bool;

    ConnectionTrustOptions m_options;
    std::map<ServerIncarnation, Doubt> m_doubts;
};

} // namespace figlanding
