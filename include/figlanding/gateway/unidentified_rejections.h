#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/key_ownership.h"

#include <cstddef>
#include <map>

/// @file
/// Servers that rejected a request without returning its id.

namespace figlanding {

/// Settings of UnidentifiedRejections.
struct UnidentifiedRejectionsOptions
{
    milliseconds memory{5000}; ///< a rejection is recent for this time
    std::size_t maxServers = 1024; ///< limit for the servers that are remembered, at least 1

    auto operator==(const UnidentifiedRejectionsOptions &) const -> bool = default;
};

/// Decides which requests need a new connection after a server has rejected one without its id.
///
/// Such a rejection proves that its request did not run only as the first response of its
/// connection. On a kept connection, it may be bytes that a faulty server sent after an earlier
/// response; the request then runs all the same. Requests that must run at most once are therefore
/// sent to the server over new connections for a time, so that few rejections prove nothing. Of the
/// idempotent requests, one checks whether the server does reject, as nothing else that an unproven
/// rejection says is used.
///
/// A server that is forgotten early costs outcomes that stay unknown, never a second run.
class UnidentifiedRejections
{
public:
    explicit UnidentifiedRejections(const UnidentifiedRejectionsOptions &options = {});

    /// Records a rejection without an id. If too many servers are remembered, the one whose last
    /// rejection is the oldest is forgotten.
    /// @param proven whether it was the first response of its connection
    auto add(const ServerIncarnation &server, bool proven, TimePoint now) -> void;
    /// Returns whether the next request to a server needs a new connection. For an idempotent one,
    /// that is so once after each unproven rejection.
    [[nodiscard]] auto takeNewConnection(const ServerIncarnation &server,
                                         Repeatability repeatability, TimePoint now) -> bool;
    /// Forgets the servers whose rejections are no longer recent.
    auto expire(TimePoint now) -> void;
    /// Returns the number of servers that are remembered.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Rejection
    {
        TimePoint at;
        bool unchecked = false; // unproven, and no request has used a new connection since
    };

    [[nodiscard]] auto isRecent(const Rejection &rejection, TimePoint now) const -> bool;

    UnidentifiedRejectionsOptions m_options;
    std::map<ServerIncarnation, Rejection> m_rejections;
};

} // namespace figlanding
