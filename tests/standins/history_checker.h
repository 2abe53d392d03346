#pragma once

#include "figlanding/verdict.h"
#include "standins/execution_history.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// Checks the execution histories of backend servers against the responses that callers got.

namespace figlanding::standins {

/// A request and its result as seen by the caller. Times are CLOCK_MONOTONIC nanoseconds.
struct CallerRecord
{
    std::string requestId; ///< header figlanding-request-id of the response; empty without one
    std::string idempotencyKey;
    std::string method;
    std::string target;
    std::string team; ///< empty on open routes
    Verdict verdict = Verdict::MayHaveRun;
    int status = 0; ///< HTTP status; 0 without a response
    std::string echoedRequestId; ///< in the response body; empty if the body has none
    std::string echoedTarget; ///< in the response body
    std::int64_t sentNs = 0;
    std::int64_t endNs = 0;

    auto operator==(const CallerRecord &) const -> bool = default;
};

/// Invariants that a history can violate.
enum class ViolationKind {
    TwoOwners, ///< executions of one shard overlap on two servers
    StaleFence, ///< a server ran a request under a fence no newer than one used elsewhere
    RanTwice, ///< a non-idempotent request ran more than once
    LostAcknowledged, ///< a request reported as run is in no history
    WrongTeam, ///< a request ran for a team other than the caller's
    SawCredential, ///< a server received an authorization header
    FalseNotRun, ///< a request reported as not run did run
    ServerOverload, ///< a server got more requests than its slots or its cold limit
    WrongResponse, ///< a caller got the response to another request
};

/// Returns the name of a kind, such as "two-owners".
[[nodiscard]] auto toText(ViolationKind kind) -> std::string_view;

/// One violation of an invariant.
struct InvariantViolation
{
    ViolationKind kind = ViolationKind::TwoOwners;
    std::string detail; ///< the executions or requests concerned

    auto operator==(const InvariantViolation &) const -> bool = default;
};

/// Options of a check.
struct CheckOptions
{
    std::size_t maxListedPerKind = 20; ///< further ones are counted but not listed
};

/// The result of a check.
struct CheckReport
{
    std::vector<InvariantViolation> violations; ///< limited by CheckOptions
    std::map<ViolationKind, std::size_t> counts; ///< all violations, by kind
    std::size_t executions = 0; ///< number of executions checked
    std::size_t callerRecords = 0; ///< number of caller records checked

    /// Returns whether no invariant is violated.
    [[nodiscard]] auto clean() const -> bool
    {
        return counts.empty();
    }
};

/// Checks all invariants. An execution without a recorded end (its process was killed) is treated
/// as ended at its start. One that missed its deadline or lost its lease is treated as ended no
/// later than its deadline.
[[nodiscard]] auto checkHistories(const Histories &histories,
                                  const std::vector<CallerRecord> &callers, CheckOptions options)
    -> CheckReport;

} // namespace figlanding::standins
