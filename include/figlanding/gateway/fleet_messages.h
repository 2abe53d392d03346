#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/slot_types.h"
#include "figlanding/gateway/store.h"
#include "figlanding/gateway/team_limits.h"
#include "figlanding/gateway/version_evidence.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// Datagrams exchanged between VMs. Times are encoded as durations relative to the time of sending,
/// because the clocks of two VMs differ.

namespace figlanding {

/// Bound of the times that datagrams give of a request: how long it has waited and may still wait.
/// Senders limit the times of requests that may wait longer.
inline constexpr milliseconds maxRequestTime = std::chrono::hours(24);
/// Bound of the time for which a process has run.
inline constexpr milliseconds maxUptime = std::chrono::hours(24 * 365 * 10);
/// Bound of the age of relayed records, which a read of the store obtained.
inline constexpr milliseconds maxUpdateAge = std::chrono::hours(1);
/// Bound of the age of a reported grant. Older ones are not reported, as their leases are over.
inline constexpr milliseconds maxGrantAge = std::chrono::minutes(1);
/// Bound of the time in which a grant that was reported may still arrive.
inline constexpr milliseconds maxGrantDelay = std::chrono::seconds(10);

/// Number of requests for one key since the sender's last report.
struct KeyCount
{
    ServiceId service;
    ShardKey key = 0;
    std::uint32_t requests = 0;

    auto operator==(const KeyCount &) const -> bool = default;
};

/// Sent to all VMs periodically.
struct Heartbeat
{
    bool leaving = false; ///< the sender is shutting down
    double capacity = 1.0; ///< CPU capacity of the sender, in cores
    /// Offsets up to which the sender has read, by topic.
    std::map<std::string, LogOffset> topicEnds;
    std::map<TeamId, TeamUsage> usageByTeam; ///< see TeamLimits::takeUsage()
    /// Number of server groups of each service, see SlotClient::groupCounts().
    std::map<ServiceId, std::size_t> groupCounts;
    /// Limits that servers stated to the sender, see SlotClient::statedLimits().
    std::vector<ServerLimit> serverLimits;
    milliseconds uptime{}; ///< since the sender's process started; zero if it does not tell
    /// Room in the server groups whose slots the sender allocates, of services with several groups.
    std::map<ServiceId, GroupRoom> groupRooms;

    auto operator==(const Heartbeat &) const -> bool = default;
};

/// Sent periodically, at a short interval, to the VM that assigns keys.
struct WorkReport
{
    std::vector<KeyCount> keys;
    /// Average service times of the servers whose slots the sender allocates.
    std::map<BackendServerId, milliseconds> serviceTimes;

    auto operator==(const WorkReport &) const -> bool = default;
};

/// Requests a slot from the broker of a server group. Fields correspond to those of SlotRequest.
struct SlotAcquire
{
    std::uint64_t ticket = 0;
    ServiceId service;
    BackendServerId owner;
    std::vector<BackendServerId> excluded;
    std::uint32_t priority = 0;
    AvailabilityZoneId zone;
    milliseconds waited{}; ///< time since the request arrived
    milliseconds objectiveIn{}; ///< time until the latency objective; negative if it has passed
    milliseconds deadlineIn{}; ///< time until the deadline
    RouteId route; ///< empty from VMs of earlier releases

    auto operator==(const SlotAcquire &) const -> bool = default;
};

/// State of a ticket at the broker.
enum class SlotState {
    Granted,
    Refused,
    Queued,
    Released, ///< confirms a SlotRelease; VMs of earlier releases neither send nor need it
};

/// The broker's response to a SlotAcquire or a SlotRelease.
struct SlotResponse
{
    std::uint64_t ticket = 0;
    std::string process; ///< incarnation of the process that requested the slot
    SlotState state = SlotState::Queued;
    ServerIncarnation server; ///< valid if granted
    milliseconds retryAfter{}; ///< valid if refused
    std::optional<GroupRoom> room = std::nullopt; ///< in the group of the ticket

    auto operator==(const SlotResponse &) const -> bool = default;
};

/// Releases a slot, or cancels a queued SlotAcquire. Repeated until it is confirmed.
struct SlotRelease
{
    std::uint64_t ticket = 0;
    SlotEnd end = SlotEnd::Served;
    milliseconds elapsed{}; ///< time spent at the server
    std::optional<LoadReport> load;
    std::optional<ServerTerms> terms;

    auto operator==(const SlotRelease &) const -> bool = default;
};

/// Relays records that the sender has read from the store to VMs that have not read them.
struct TopicUpdate
{
    std::string topic;
    LogOffset from = 0; ///< first offset that the update covers
    LogOffset next = 0; ///< offset after the last one that it covers
    /// The records between the two offsets that change the receiver's state.
    std::vector<KeyedRecord> records;
    /// Upper bound of the time since the store had no further record in the topic.
    milliseconds age{};
    bool complete = true; ///< false: a record that belongs in the update is too large to be relayed
    /// A record states only what changed since the one before it. Builds that do not know this form
    /// drop the datagram and read the store.
    bool shortened = false;

    auto operator==(const TopicUpdate &) const -> bool = default;
};

using FleetPayload = std::variant<Heartbeat, SlotAcquire, SlotResponse, SlotRelease, TopicUpdate,
                                  WorkReport, LeaseReport, RolloutReport>;

/// A datagram with its sender.
struct FleetMessage
{
    VmId from;
    std::string incarnation; ///< of the sender's process
    FleetPayload payload;

    auto operator==(const FleetMessage &) const -> bool = default;
};

/// Encodes a message as CBOR; larger messages are compressed.
[[nodiscard]] auto encodeFleetMessage(const FleetMessage &message) -> std::string;
/// Decodes a datagram.
/// @return InvalidSyntax or InvalidValue if @p bytes are not a valid message, or if one of its
/// durations is outside the bounds above
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> Result<FleetMessage>;

} // namespace figlanding
