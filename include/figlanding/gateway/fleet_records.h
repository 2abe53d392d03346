#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/store.h"

#include <string>
#include <variant>

/// @file
/// The router's own records in the store: members, the controller's claim, and key ownership.
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

using FleetRecord = std::variant<MemberRecord, ControllerClaim, TableRecord>;

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
/// @return InvalidSyntax or InvalidValue if the record is malformed or of unknown type, or if it is
/// a
///     table that does not cover all keys
[[nodiscard]] auto decodeFleetRecord(const KeyedRecord &record) -> Result<FleetRecord>;

} // namespace figlanding
