#pragma once

#include "figlanding/clock.h"
#include "figlanding/decaying.h"
#include "figlanding/names.h"

#include <map>
#include <optional>

/// @file
/// What a server asks of its callers in its responses, and the pace that follows from it.

namespace figlanding {

/// The terms that a server states in a response. They hold until a later response states others.
struct ServerTerms
{
    /// Requests per second that it accepts from all VMs together; empty: no limit.
    std::optional<double> requestsPerSecond = std::nullopt;
    std::optional<milliseconds> pause = std::nullopt; ///< it wants no request of this VM so long
    bool leaving = false; ///< it shuts down soon; final for its incarnation

    auto operator==(const ServerTerms &) const -> bool = default;
};

/// What another VM reports of a server's limit.
struct LimitReport
{
    double requestsPerSecond = 0.0; ///< that the server accepts from all VMs together
    double used = 0.0; ///< requests per second that the reporting VM sends

    auto operator==(const LimitReport &) const -> bool = default;
};

/// Paces the requests to a server that states a limit, on a VM that allocates the server's slots.
///
/// Several VMs may allocate the slots of one server at a time, because VMs without a response from
/// one turn to the next. Each reports the limits that it paces by and what it uses of them, and
/// leaves that to the others.
///
/// Responses may arrive out of order. A limit ends with a response without one only if its request
/// was granted after the limit became known: a response that was sent earlier says nothing about
/// it.
class StatedLimit
{
public:
    StatedLimit();

    /// Takes over the terms of a response.
    /// @param grantedAt when its request was granted a slot
    auto onTerms(const ServerTerms &terms, TimePoint grantedAt, TimePoint now) -> void;
    /// Takes over a limit that the server stated to another VM, which also sends requests to it. It
    /// ends unless it is reported again; a limit that the server stated here has precedence.
    auto onReport(const VmId &from, const LimitReport &report, TimePoint now) -> void;
    /// Returns the report for the other VMs; empty unless the server stated its limit here within
    /// the last seconds.
    [[nodiscard]] auto report(TimePoint now) const -> std::optional<LimitReport>;

    /// Returns the limit in requests per second; empty if there is none. A server that accepts
    /// almost none still gets some, so that the end of its limit is noticed.
    [[nodiscard]] auto requestsPerSecond(TimePoint now) const -> std::optional<double>;
    /// Returns the part of the limit that this VM may use, in requests per second; empty if there
    /// is no limit.
    /// @param share factor on that part, in (0, 1]
    [[nodiscard]] auto pace(double share, TimePoint now) const -> std::optional<double>;
    /// Returns whether this VM may send a request now.
    /// @param share as for pace()
    [[nodiscard]] auto accepts(double share, TimePoint now) const -> bool;
    /// Counts a request against the limit.
    /// @param share as for pace()
    auto onRequest(double share, TimePoint now) -> void;

private:
    struct ReceivedReport
    {
        TimePoint at;
        double used = 0.0;
    };

    [[nodiscard]] auto tokens(double share, TimePoint now) const -> double;
    auto set(double requestsPerSecond, TimePoint now) -> void;

    std::optional<double> m_requestsPerSecond;
    bool m_reported = false; ///< known from another VM only
    TimePoint m_knownSince;
    TimePoint m_heardAt;
    TimePoint m_newestGrantAt; ///< of the requests whose responses stated the limit
    std::map<VmId, ReceivedReport> m_reports; ///< the last of each other VM
    DecayingRate m_used; ///< requests of this VM
    double m_tokens = 0.0; ///< at m_countedAt
    TimePoint m_countedAt;
};

} // namespace figlanding
