#pragma once

#include "figlanding/clock.h"

#include <optional>

/// @file
/// What a server asks of its callers in its responses, and the pace that follows from it.

namespace figlanding {

/// The terms that a server states in a response. They hold until a later response states others.
struct ServerTerms
{
    /// Requests per second that it accepts from all VMs together; empty: no limit.
    std::optional<double> requestsPerSecond = std::nullopt;

    auto operator==(const ServerTerms &) const -> bool = default;
};

/// Paces the requests of all VMs to a server that states a limit.
///
/// Responses may arrive out of order. A limit ends with a response without one only if its request
/// was granted after the limit became known: a response that was sent earlier says nothing about
/// it.
class StatedLimit
{
public:
    /// Takes over the terms of a response.
    /// @param grantedAt when its request was granted a slot
    auto onTerms(const ServerTerms &terms, TimePoint grantedAt, TimePoint now) -> void;
    /// Takes over a limit that the server stated to another VM. It ends unless it is reported
    /// again; a limit that the server stated here has precedence.
    auto onReport(double requestsPerSecond, TimePoint now) -> void;
    /// Returns the rate at which requests are sent, per second; empty if there is no limit. A
    /// server that accepts almost none still gets some, so that the end of its limit is noticed.
    [[nodiscard]] auto requestsPerSecond(TimePoint now) const -> std::optional<double>;
    /// Returns whether the server stated its limit here within the last seconds.
    [[nodiscard]] auto isRecent(TimePoint now) const -> bool;
    /// Returns whether the server accepts a request now.
    /// @param share part of the limit that may be used here, in (0, 1]
    [[nodiscard]] auto accepts(double share, TimePoint now) const -> bool;
    /// Counts a request against the limit.
    /// @param share as for accepts()
    auto onRequest(double share, TimePoint now) -> void;

private:
    [[nodiscard]] auto tokens(double share, TimePoint now) const -> double;
    auto start(double requestsPerSecond, TimePoint now) -> void;

    std::optional<double> m_requestsPerSecond;
    bool m_reported = false; ///< known from another VM only
    TimePoint m_knownSince;
    TimePoint m_heardAt;
    TimePoint m_newestGrantAt; ///< of the requests whose responses stated the limit
    double m_tokens = 0.0; ///< at m_countedAt
    TimePoint m_countedAt;
};

} // namespace figlanding
