#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/slot_broker.h"
#include "figlanding/gateway/store.h"
#include "figlanding/gateway/team_limits.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// Datagrams between the VMs. Times travel as spans, since the clocks of two VMs differ.

namespace figlanding {

/// Requests for one key since the sender's last report.
struct KeyCount
{
    ServiceId service;
    ShardKey key = 0;
    std::uint32_t requests = 0;

    auto operator==(const KeyCount &) const -> bool = default;
};

/// Sent to all VMs at an interval.
struct Heartbeat
{
    bool leaving = false;
    double capacity = 1.0; ///< share of a core that the sender has
    std::map<std::string, LogOffset> topicEnds; ///< how far the sender has read each topic
    std::map<TeamId, TeamUse> uses; ///< of the teams' rates, where they changed since the last one

    auto operator==(const Heartbeat &) const -> bool = default;
};

/// Sent to the VM that assigns keys at a short interval.
struct WorkReport
{
    std::vector<KeyCount> keys;
    /// Average service times of the servers whose slots the sender hands out.
    std::map<BackendServerId, milliseconds> serviceTimes;

    auto operator==(const WorkReport &) const -> bool = default;
};

/// Asks the broker of a server group for a slot.
struct SlotAsk
{
    std::uint64_t ticket = 0;
    ServiceId service;
    BackendServerId owner;
    std::vector<BackendServerId> excluded;
    std::uint32_t priority = 0;
    AvailabilityZoneId zone;
    milliseconds waited{}; ///< since the request arrived
    milliseconds objectiveIn{}; ///< until the latency objective; negative if it has passed
    milliseconds deadlineIn{};

    auto operator==(const SlotAsk &) const -> bool = default;
};

/// Where a SlotAsk stands.
enum class SlotState { Granted, Refused, Queued };

/// Answers a SlotAsk.
struct SlotAnswer
{
    std::uint64_t ticket = 0;
    SlotState state = SlotState::Queued;
    ServerIncarnation server; ///< valid if granted
    milliseconds retryAfter{}; ///< valid if refused

    auto operator==(const SlotAnswer &) const -> bool = default;
};

/// Gives a slot back, or a place in the queue.
struct SlotDone
{
    std::uint64_t ticket = 0;
    SlotEnd end = SlotEnd::Served;
    milliseconds elapsed{};
    std::optional<LoadReport> load;

    auto operator==(const SlotDone &) const -> bool = default;
};

/// Records that the sender has read from the store, for members that have not.
struct TopicUpdate
{
    std::string topic;
    LogOffset from = 0; ///< first offset that the update covers
    LogOffset next = 0; ///< offset after the last one that it covers
    /// The records between the two that change anything.
    std::vector<KeyedRecord> records;
    milliseconds age{}; ///< since the sender read them
    bool whole = true; ///< false: a record that changes something is too large to be passed on

    auto operator==(const TopicUpdate &) const -> bool = default;
};

using FleetPayload =
    std::variant<Heartbeat, SlotAsk, SlotAnswer, SlotDone, TopicUpdate, WorkReport>;

/// A datagram.
struct FleetMessage
{
    VmId from;
    std::string incarnation;
    FleetPayload payload;

    auto operator==(const FleetMessage &) const -> bool = default;
};

/// Returns the CBOR form of a message.
[[nodiscard]] auto encodeFleetMessage(const FleetMessage &message) -> std::string;
/// Parses a datagram.
/// @return InvalidSyntax or InvalidValue if it is no message
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> Result<FleetMessage>;

} // namespace figlanding
