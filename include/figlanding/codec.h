#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"
#include "figlanding/record.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

/// @file
/// JSON and CBOR codecs of declarations, records and cluster states.

namespace figlanding {

/// Converts an object to its declaration: {"kind", "name", "labels", "spec"}.
[[nodiscard]] auto toJson(const DeclaredObject &object) -> nlohmann::json;
/// Parses and checks a declaration.
/// @return the object, or an error; a missing, unknown or unreadable field is named with its path
[[nodiscard]] auto objectFromJson(const nlohmann::json &json) -> Result<DeclaredObject>;

/// Converts a record to JSON, as the log stores it.
[[nodiscard]] auto toJson(const Record &record) -> nlohmann::json;
/// Parses a record. Does not throw on malformed input.
/// @return the record, or an error that names the path of the faulty field
[[nodiscard]] auto recordFromJson(const nlohmann::json &json) -> Result<Record>;

/// Converts an audit entry to JSON.
[[nodiscard]] auto toJson(const AuditEntry &entry) -> nlohmann::json;

/// Encodes a cluster state as CBOR.
[[nodiscard]] auto encodeState(const ClusterState &state) -> std::string;
/// Decodes a cluster state from CBOR. Does not throw on malformed input.
/// @return the state, or an error if the bytes are not one state of a supported format
[[nodiscard]] auto decodeState(std::string_view bytes) -> Result<ClusterState>;

} // namespace figlanding
