#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/rollout.h"
#include "figlanding/gateway/store.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// The router's own records in the store: members, the controller's claim, key ownership and
/// roll-outs.
/// Values are encoded as CBOR; the newest record of each key is the valid one.

namespace figlanding {

/// The address at which other VMs reach a VM's process.
struct MemberRecord
{
    VmId vm;
    std::string incarnation;
    SocketAddress address;

    auto operator==(const MemberRecord &) const -> bool = default;
};

/// The owners of a service's keys.
struct TableRecord
{
    ServiceId service;
    OwnershipTable table;

    auto operator==(const TableRecord &) const -> bool = default;
};

/// The ranges of a table that the previous record of the service lacks. VMs relay it to each other
/// in place of the whole table; the store has only whole tables.
struct TableChange
{
    ServiceId service;
    std::vector<OwnedRange> ranges;

    auto operator==(const TableChange &) const -> bool = default;
};

using FleetRecord =
    std::variant<MemberRecord, ControllerClaim, TableRecord, TableChange, RolloutRecord>;

/// A record's key and its encoded value.
struct EncodedRecord
{
    std::string key;
    std::string value;

    auto operator==(const EncodedRecord &) const -> bool = default;
};

/// Encodes a record for the store.
[[nodiscard]] auto encodeFleetRecord(const FleetRecord &record) -> EncodedRecord;
/// Decodes a record from the store.
/// @return InvalidSyntax or InvalidValue if the record is malformed, of unknown type, or a table
/// that does not cover all keys
[[nodiscard]] auto decodeFleetRecord(const KeyedRecord &record) -> Result<FleetRecord>;

/// Returns whether a record with this key says who owns which keys, or who may change that. A VM
/// that cannot read such a record must not write over it.
[[nodiscard]] auto concernsOwnership(std::string_view key) -> bool;

/// Returns a table record as the TableChange from the tables before it, or nothing if @p record is
/// no table or the change would be little shorter.
[[nodiscard]] auto asTableChange(const KeyedRecord &record,
                                 const std::map<ServiceId, OwnershipTable> &tables)
    -> std::optional<KeyedRecord>;

} // namespace figlanding
