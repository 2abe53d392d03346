#include "figlanding/codec.h"

#include "base64.h"
#include "json_fields.h"
#include "variant_tools.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlanding {

namespace {

using Json = nlohmann::json;

constexpr auto payloadNames = std::to_array<std::string_view>({
    "ConfigChange",
    "TermClaim",
    "MemberChange",
    "ServerStatusChange",
    "BeginMoves",
    "CommitMoves",
    "KeyIsolation",
    "QuarantineChange",
    "SnapshotChunk",
    "UnreadableRecord",
});
static_assert(payloadNames.size() == std::variant_size_v<RecordPayload>);

auto toJson(const ObjectChange &change) -> Json
{
    auto json = Json{{"kind", toText(change.ref.kind)}, {"name", change.ref.name}};
    if (change.object) {
        json["object"] = figlanding::toJson(*change.object);
    }
    if (change.expectedVersion) {
        json["expected_version"] = *change.expectedVersion;
    }
    return json;
}

auto toJson(const Move &move) -> Json
{
    auto json = Json{{"to", move.to.value()}};
    if (move.key.empty()) {
        json["shard"] = move.shard;
    } else {
        json["key"] = move.key;
    }
    return json;
}

template <typename Element>
auto toJsonArray(const std::vector<Element> &elements) -> Json
{
    auto json = Json::array();
    for (const auto &element : elements) {
        json.push_back(toJson(element));
    }
    return json;
}

auto payloadJson(const ConfigChange &change) -> Json
{
    return {{"author", change.author},
            {"reason", change.reason},
            {"changes", toJsonArray(change.changes)}};
}

auto payloadJson(const TermClaim &claim) -> Json
{
    return {{"term", claim.term}, {"vm", claim.vm.value()}};
}

auto payloadJson(const MemberChange &change) -> Json
{
    auto json = Json{{"term", change.term},
                     {"vm", change.vm.value()},
                     {"join", change.join},
                     {"zone", change.zone.value()},
                     {"incarnation", change.incarnation}};
    if (!change.peerAddress.ip.empty()) {
        json["peer_address"] = toText(change.peerAddress);
    }
    return json;
}

auto payloadJson(const ServerStatusChange &change) -> Json
{
    return {{"term", change.term},
            {"server", change.server.value()},
            {"up", change.up},
            {"evidence", change.evidence}};
}

auto payloadJson(const BeginMoves &begin) -> Json
{
    return {{"term", begin.term},
            {"service", begin.service.value()},
            {"moves", toJsonArray(begin.moves)}};
}

auto payloadJson(const CommitMoves &commit) -> Json
{
    return {{"term", commit.term}, {"service", commit.service.value()}, {"begin", commit.begin}};
}

auto payloadJson(const KeyIsolation &isolation) -> Json
{
    return {{"term", isolation.term},
            {"service", isolation.service.value()},
            {"key", isolation.key},
            {"isolate", isolation.isolate}};
}

auto payloadJson(const QuarantineChange &change) -> Json
{
    return {{"author", change.author},
            {"request_digest", change.requestDigest},
            {"quarantine", change.quarantine},
            {"evidence", change.evidence},
            {"until_unix_ms", change.untilUnixMs}};
}

auto payloadJson(const UnreadableRecord &record) -> Json
{
    return {{"reason", record.reason}};
}

auto payloadJson(const SnapshotChunk &chunk) -> Json
{
    return {{"term", chunk.term},
            {"snapshot_id", chunk.snapshotId},
            {"covers", chunk.covers},
            {"index", chunk.index},
            {"count", chunk.count},
            {"checksum", chunk.checksum},
            {"data", encodeBase64(chunk.data)}};
}

auto readKind(const Json &json, ObjectKind &kind) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    return failureOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(kind, parseObjectKind(text));
        return {};
    });
}

auto readElement(const Json &json, ObjectChange &change) -> ReadFailure
{
    auto reader = FieldReader(json, "");
    reader.read("kind", true, [&](const Json &field) { return readKind(field, change.ref.kind); })
        .required("name", change.ref.name)
        .read("object", false,
              [&](const Json &field) {
                  return failureOf([&]() -> Result<void> {
                      BOOST_LEAF_ASSIGN(change.object, objectFromJson(field));
                      return {};
                  });
              })
        .read("expected_version", false, [&](const Json &field) {
            return readValue(field, change.expectedVersion.emplace());
        });
    return failureOf([&] { return reader.finish(); });
}

auto readElement(const Json &json, Move &move) -> ReadFailure
{
    auto reader = FieldReader(json, "");
    reader.required("to", move.to).optional("shard", move.shard).optional("key", move.key);
    if (json.is_object() && json.contains("shard") == json.contains("key")) {
        return Error{ErrorCode::InvalidValue, "a move names either a shard or a key"};
    }
    return failureOf([&] { return reader.finish(); });
}

template <typename Element>
auto readList(const Json &json, std::vector<Element> &elements) -> ReadFailure
{
    return readElements(
        json, [&](const Json &element) { return readElement(element, elements.emplace_back()); });
}

auto readPayload(FieldReader &reader, ConfigChange &change) -> void
{
    reader.required("author", change.author)
        .optional("reason", change.reason)
        .read("changes", true, [&](const Json &json) { return readList(json, change.changes); });
}

auto readPayload(FieldReader &reader, TermClaim &claim) -> void
{
    reader.required("term", claim.term).required("vm", claim.vm);
}

auto readPayload(FieldReader &reader, MemberChange &change) -> void
{
    reader.required("term", change.term)
        .required("vm", change.vm)
        .required("join", change.join)
        .optional("zone", change.zone)
        .optional("peer_address", change.peerAddress)
        .optional("incarnation", change.incarnation);
}

auto readPayload(FieldReader &reader, ServerStatusChange &change) -> void
{
    reader.required("term", change.term)
        .required("server", change.server)
        .required("up", change.up)
        .optional("evidence", change.evidence);
}

auto readPayload(FieldReader &reader, BeginMoves &begin) -> void
{
    reader.required("term", begin.term)
        .required("service", begin.service)
        .read("moves", true, [&](const Json &json) { return readList(json, begin.moves); });
}

auto readPayload(FieldReader &reader, CommitMoves &commit) -> void
{
    reader.required("term", commit.term)
        .required("service", commit.service)
        .required("begin", commit.begin);
}

auto readPayload(FieldReader &reader, KeyIsolation &isolation) -> void
{
    reader.required("term", isolation.term)
        .required("service", isolation.service)
        .required("key", isolation.key)
        .required("isolate", isolation.isolate);
}

auto readPayload(FieldReader &reader, QuarantineChange &change) -> void
{
    reader.required("author", change.author)
        .required("request_digest", change.requestDigest)
        .required("quarantine", change.quarantine)
        .optional("evidence", change.evidence)
        .optional("until_unix_ms", change.untilUnixMs);
}

auto readBase64(const Json &json, std::string &data) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    return failureOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(data, decodeBase64(text));
        return {};
    });
}

auto readPayload(FieldReader &reader, SnapshotChunk &chunk) -> void
{
    reader.required("term", chunk.term)
        .required("snapshot_id", chunk.snapshotId)
        .required("covers", chunk.covers)
        .required("index", chunk.index)
        .required("count", chunk.count)
        .required("checksum", chunk.checksum)
        .read("data", true, [&](const Json &json) { return readBase64(json, chunk.data); });
}

auto readPayload(FieldReader &reader, UnreadableRecord &record) -> void
{
    reader.required("reason", record.reason);
}

auto readPayloadKind(const Json &json, RecordPayload &payload) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    const auto *const found = std::find(payloadNames.begin(), payloadNames.end(), text);
    if (found == payloadNames.end()) {
        return Error{ErrorCode::InvalidValue, "unknown record kind \"" + text + "\""};
    }
    payload =
        defaultAlternative<RecordPayload>(static_cast<std::size_t>(found - payloadNames.begin()));
    return std::nullopt;
}

auto readPayloadFields(const Json &json, RecordPayload &payload) -> ReadFailure
{
    auto reader = FieldReader(json, "");
    std::visit([&](auto &value) { readPayload(reader, value); }, payload);
    return failureOf([&] { return reader.finish(); });
}

} // namespace

auto payloadName(const RecordPayload &payload) -> std::string_view
{
    return payloadNames.at(payload.index());
}

auto toJson(const Record &record) -> Json
{
    return {{"writer", record.id.writer},
            {"sequence", record.id.sequence},
            {"kind", payloadName(record.payload)},
            {"payload",
             std::visit([](const auto &value) { return payloadJson(value); }, record.payload)}};
}

auto recordFromJson(const Json &json) -> Result<Record>
{
    auto record = Record{};
    auto reader = FieldReader(json, "");
    reader.required("writer", record.id.writer)
        .required("sequence", record.id.sequence)
        .read("kind", true, [&](const Json &kind) { return readPayloadKind(kind, record.payload); })
        .read("payload", true,
              [&](const Json &payload) { return readPayloadFields(payload, record.payload); });
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

} // namespace figlanding
