#pragma once

#include "figlanding/error.h"
#include "figlanding/gateway/key_controller.h"
#include "figlanding/gateway/store.h"

#include <string>
#include <variant>

/// @file
/// The router's own records in the store: members, the controller's claim, and key ownership.
/// Each is the newest record of its key, in CBOR.

namespace figlanding {

/// Where the process of a VM is reached by other VMs.
struct MemberRecord
{
    VmId vm;
    std::string incarnation;
    SocketAddress address;

    auto operator==(const MemberRecord &) const -> bool = default;
};

/// Who owns the keys of a service.
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
/// Decodes a record of the store.
/// @return InvalidSyntax or InvalidValue if it is none, or a table that is not complete
[[nodiscard]] auto decodeFleetRecord(const KeyedRecord &record) -> Result<FleetRecord>;

} // namespace figlanding
