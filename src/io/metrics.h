#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/rollout.h"
#include "figlanding/gateway/slot_types.h"
#include "figlanding/held_bytes.h"
#include "figlanding/http_message.h"
#include "figlanding/names.h"
#include "figlanding/refusal.h"
#include "figlanding/verdict.h"

#include <cstdint>
#include <memory>
#include <string>

/// @file
/// Metrics of the daemon, exported in the Prometheus text format.

namespace figlanding {

/// Measurements of one request that got a response.
struct RequestMetric
{
    RouteId route; ///< empty if no route matched
    Verdict verdict = Verdict::NotRun;
    int status = 0; ///< HTTP status of the response
    Duration elapsed{}; ///< from the receipt of the complete request to the response
};

/// Decision of one request filter.
enum class FilterOutcome { Passed, Refused };

/// What a VM follows of a service's roll-out.
struct RolloutMetric
{
    ServiceId service;
    ServerVersion version;
    RolloutPhase phase = RolloutPhase::Trial;
    double share = 0.0; ///< fraction of the requests for the version

    auto operator==(const RolloutMetric &) const -> bool = default;
};

/// Registry of all metrics of the daemon.
class Metrics
{
public:
    /// @param vm this VM, exported as a label of figlanding_vm_info
    explicit Metrics(const VmId &vm);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    /// Counts a request that got a response and records its latency.
    auto countRequest(const RequestMetric &request) -> void;
    /// Counts the decision of one request filter.
    /// @param filter name, such as "authenticate"
    auto countFilterDecision(const std::string &filter, FilterOutcome outcome) -> void;
    /// Counts a refused request.
    auto countRefusal(RefusalReason reason) -> void;
    /// Counts a slot or a ticket that does not belong to the request that uses it.
    /// @param kind what does not match: "acquire", "response" or "service"
    auto countSlotMismatch(const std::string &kind) -> void;
    /// Adds requests that servers rejected to VMs for which this VM allocates slots.
    /// @param kind what the rejections say, such as "full" or "shedding"
    auto addRejections(const std::string &kind, std::uint64_t count) -> void;
    /// Adds time in which servers got no request after their rejections.
    auto addRest(Duration rest) -> void;
    /// Adds the waits for slots of requests that got one: as expected on arrival, and the actual
    /// ones.
    auto addSlotWaits(Duration expected, Duration actual) -> void;
    /// Counts a server's response that was passed on to a caller.
    auto countResponse(BodyEnd end) -> void;
    /// Counts a connection to a server that had input while no request used it.
    auto countUnexpectedInput() -> void;
    /// Counts a read of the store that was replaced while it was in flight.
    /// @param topic "configuration", "servers" or "fleet"
    auto countReplacedRead(const std::string &topic) -> void;
    /// Counts a time in which records that another VM has were missing.
    /// @param topic "configuration", "servers" or "fleet"
    auto countMissingRecords(const std::string &topic) -> void;
    /// Sets the bytes that are held, and how often bytes did not fit, by kind.
    auto setHeldBytes(const HeldBytes &heldBytes) -> void;
    /// Sets the number of connections of callers that were closed because they stalled.
    auto setStalledConnections(std::uint64_t connections) -> void;
    /// Sets the number of keys without a live owner, as this VM knows it as the key controller.
    /// @param wait what they wait for: "store", "release", "lease", "candidate" or "record"
    auto setUnservedKeys(const std::string &wait, std::size_t keys) -> void;
    /// Counts how requests chose among the server groups of a service.
    /// @param kind "informed", "uninformed", "moved-waiting" or "moved-refused"
    auto countGroupChoices(const std::string &kind, std::uint64_t choices) -> void;
    /// Sets what this VM knows of a server group.
    /// @param age time since the group's broker told it
    auto setGroupRoom(const ServiceId &group, const GroupRoom &room, Duration age) -> void;
    /// Sets phase and share of a service's roll-out.
    auto setRollout(const RolloutMetric &rollout) -> void;
    /// Counts a second or later attempt at a request.
    /// @param cause reason for the retry, such as "not-run" or "hedge"
    auto countRetry(const std::string &cause) -> void;
    /// Counts a request that this VM sent to a backend server and records its latency.
    /// @param elapsed time from sending the request to the server's response
    auto countDispatch(const BackendServerId &server, Verdict verdict, Duration elapsed) -> void;

    /// Sets the number of requests that are queued for a slot of a backend server.
    auto setQueueLength(const BackendServerId &server, std::size_t requests) -> void;
    /// Sets the number of requests of this VM that a backend server is running.
    auto setRunning(const BackendServerId &server, std::size_t requests) -> void;
    /// Sets the age of the view of the cluster state that this VM dispatches on.
    auto setViewAge(Duration age) -> void;
    /// Sets whether this VM's view is fresh, that is, whether it may dispatch.
    auto setViewFresh(bool fresh) -> void;
    /// Sets the offset of the last log record applied to this VM's state.
    auto setLogOffset(LogOffset offset) -> void;
    /// Sets whether this VM holds the current controller term.
    auto setIsController(bool controller) -> void;
    /// Sets the number of requests that this VM has received and not yet responded to.
    auto setPendingRequests(std::size_t requests) -> void;

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Media type of Metrics::text().
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace figlanding
