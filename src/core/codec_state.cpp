#include "cbor.h"
#include "figlanding/codec.h"
#include "figlanding/object_tables.h"
#include "json_fields.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using Json = nlohmann::json;

// Version of the encoding; states with another version are rejected.
constexpr std::uint64_t stateFormat = 1;
// An assignment is encoded as index of the owner, fencing token, index of the target, begin offset.
constexpr std::size_t numbersPerAssignment = 4;

// Assigns indexes to server names, so that the encoding holds each name only once.
class ServerNameTable
{
public:
    auto indexOf(const BackendServerId &server) -> std::size_t
    {
        const auto [entry, isNew] = m_indexes.try_emplace(server, m_names.size());
        if (isNew) {
            m_names.push_back(server.value());
        }
        return entry->second;
    }

    [[nodiscard]] auto toJson() const -> Json
    {
        return m_names;
    }

private:
    std::unordered_map<BackendServerId, std::size_t> m_indexes;
    std::vector<std::string> m_names;
};

auto appendAssignment(Json &numbers, const Assignment &assignment, ServerNameTable &names) -> void
{
    numbers.push_back(names.indexOf(assignment.owner));
    numbers.push_back(assignment.fence);
    numbers.push_back(names.indexOf(assignment.target));
    numbers.push_back(assignment.begin);
}

auto assignmentsJson(const ClusterState &state, ServerNameTable &names) -> Json
{
    auto json = Json::object();
    for (const auto &[service, assignments] : state.assignments) {
        auto shards = Json::array();
        for (const auto &assignment : assignments.shards) {
            appendAssignment(shards, assignment, names);
        }
        auto keys = Json::object();
        for (const auto &[key, assignment] : assignments.isolatedKeys) {
            appendAssignment(keys[key] = Json::array(), assignment, names);
        }
        json[service.value()] = {{"shards", std::move(shards)}, {"keys", std::move(keys)}};
    }
    return json;
}

auto objectsJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &entry : allObjects(state)) {
        json.push_back({{"version", entry.version}, {"object", toJson(entry.object)}});
    }
    return json;
}

auto membersJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &[vm, member] : state.members) {
        json.push_back({{"vm", vm.value()},
                        {"zone", member.zone.value()},
                        {"ip", member.peerAddress.ip},
                        {"port", member.peerAddress.port},
                        {"incarnation", member.incarnation},
                        {"since", member.since}});
    }
    return json;
}

auto statusJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &[server, status] : state.serverStatus) {
        json.push_back({{"server", server.value()},
                        {"up", status.up},
                        {"since", status.since},
                        {"evidence", status.evidence}});
    }
    return json;
}

auto quarantinesJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &[digest, quarantine] : state.quarantines) {
        json.push_back({{"digest", digest},
                        {"since", quarantine.since},
                        {"until_unix_ms", quarantine.untilUnixMs},
                        {"evidence", quarantine.evidence}});
    }
    return json;
}

auto writersJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &[writer, entry] : state.writers) {
        json.push_back(
            {{"writer", writer}, {"sequence", entry.first}, {"last_seen", entry.second}});
    }
    return json;
}

auto auditJson(const ClusterState &state) -> Json
{
    auto json = Json::array();
    for (const auto &entry : state.audit) {
        json.push_back(toJson(entry));
    }
    return json;
}

auto readObjects(const Json &json, ClusterState &state) -> ReadFailure
{
    return readElements(json, [&](const Json &element) {
        return failureOf([&]() -> Result<void> {
            auto entry = Versioned<DeclaredObject>{};
            auto reader = FieldReader(element, "");
            reader.required("version", entry.version).read("object", true, [&](const Json &object) {
                return failureOf([&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(entry.object, objectFromJson(object));
                    return {};
                });
            });
            BOOST_LEAF_CHECK(reader.finish());
            putObject(state, std::move(entry));
            return {};
        });
    });
}

auto readAssignments(const Json &numbers, const std::vector<std::string> &names,
                     std::vector<Assignment> &assignments) -> ReadFailure
{
    const auto malformed = Error{
        ErrorCode::InvalidValue,
        "assignments must be groups of server index, fencing token, server index and begin offset"};
    if (!numbers.is_array() || numbers.size() % numbersPerAssignment != 0) {
        return malformed;
    }
    for (std::size_t at = 0; at < numbers.size(); at += numbersPerAssignment) {
        auto values = std::array<std::uint64_t, numbersPerAssignment>{};
        for (std::size_t index = 0; index < numbersPerAssignment; ++index) {
            if (readValue(numbers[at + index], values[index])) {
                return malformed;
            }
        }
        if (values[0] >= names.size() || values[2] >= names.size()) {
            return malformed;
        }
        assignments.push_back({.owner = BackendServerId(names[values[0]]),
                               .fence = values[1],
                               .target = BackendServerId(names[values[2]]),
                               .begin = values[3]});
    }
    return std::nullopt;
}

auto readKeys(const Json &json, const std::vector<std::string> &names,
              std::map<std::string, Assignment> &keys) -> ReadFailure
{
    if (!json.is_object()) {
        return Error{ErrorCode::InvalidValue, "expected an object"};
    }
    for (const auto &[key, numbers] : json.items()) {
        auto assignments = std::vector<Assignment>{};
        if (auto failure = readAssignments(numbers, names, assignments)) {
            return failure;
        }
        if (assignments.size() != 1) {
            return Error{ErrorCode::InvalidValue,
                         "key \"" + key + "\" must have exactly one assignment"};
        }
        keys.emplace(key, std::move(assignments.front()));
    }
    return std::nullopt;
}

// Checks that exactly the exclusive services have assignments, one per shard.
auto checkAssignments(const ClusterState &state) -> ReadFailure
{
    auto exclusive = std::size_t{0};
    for (const auto &[id, entry] : state.services) {
        if (entry.object.mode != ServiceMode::Exclusive) {
            continue;
        }
        ++exclusive;
        const auto found = state.assignments.find(id);
        if (found == state.assignments.end()
            || found->second.shards.size() != entry.object.shardCount) {
            return Error{ErrorCode::InvalidValue,
                         "service \"" + id.value()
                             + "\" is exclusive but does not have one assignment per shard"};
        }
    }
    if (exclusive != state.assignments.size()) {
        return Error{ErrorCode::InvalidValue,
                     "assignments exist for a service that is unknown or not exclusive"};
    }
    return std::nullopt;
}

auto readServices(const Json &json, const std::vector<std::string> &names, ClusterState &state)
    -> ReadFailure
{
    if (!json.is_object()) {
        return Error{ErrorCode::InvalidValue, "expected an object"};
    }
    for (const auto &[service, content] : json.items()) {
        auto &assignments = state.assignments[ServiceId(service)];
        auto reader = FieldReader(content, service);
        reader
            .read("shards", true,
                  [&](const Json &shards) {
                      return readAssignments(shards, names, assignments.shards);
                  })
            .read("keys", true, [&](const Json &keys) {
                return readKeys(keys, names, assignments.isolatedKeys);
            });
        if (auto failure = failureOf([&] { return reader.finish(); })) {
            return failure;
        }
    }
    return checkAssignments(state);
}

auto readMember(const Json &json, ClusterState &state) -> ReadFailure
{
    auto member = Member{};
    auto port = std::uint32_t{0};
    auto reader = FieldReader(json, "");
    reader.required("vm", member.vm)
        .required("zone", member.zone)
        .required("ip", member.peerAddress.ip)
        .required("port", port)
        .required("incarnation", member.incarnation)
        .required("since", member.since);
    member.peerAddress.port = static_cast<std::uint16_t>(port);
    state.members[member.vm] = member;
    return failureOf([&] { return reader.finish(); });
}

auto readServerStatus(const Json &json, ClusterState &state) -> ReadFailure
{
    auto server = BackendServerId{};
    auto status = ServerStatus{};
    auto reader = FieldReader(json, "");
    reader.required("server", server)
        .required("up", status.up)
        .required("since", status.since)
        .required("evidence", status.evidence);
    state.serverStatus[server] = status;
    return failureOf([&] { return reader.finish(); });
}

auto readQuarantine(const Json &json, ClusterState &state) -> ReadFailure
{
    auto digest = std::string{};
    auto quarantine = Quarantine{};
    auto reader = FieldReader(json, "");
    reader.required("digest", digest)
        .required("since", quarantine.since)
        .required("until_unix_ms", quarantine.untilUnixMs)
        .required("evidence", quarantine.evidence);
    state.quarantines[digest] = quarantine;
    return failureOf([&] { return reader.finish(); });
}

auto readWriter(const Json &json, ClusterState &state) -> ReadFailure
{
    auto writer = std::string{};
    auto entry = std::pair<std::uint64_t, LogOffset>{};
    auto reader = FieldReader(json, "");
    reader.required("writer", writer)
        .required("sequence", entry.first)
        .required("last_seen", entry.second);
    state.writers[writer] = entry;
    return failureOf([&] { return reader.finish(); });
}

auto readAudit(const Json &json, ClusterState &state) -> ReadFailure
{
    auto entry = AuditEntry{};
    auto reader = FieldReader(json, "");
    reader.required("offset", entry.offset)
        .required("unix_ms", entry.unixMs)
        .required("author", entry.author)
        .required("summary", entry.summary)
        .required("accepted", entry.accepted)
        .optional("refusal", entry.refusal);
    state.audit.push_back(entry);
    return failureOf([&] { return reader.finish(); });
}

// Reads an array; each element adds one entry to the state.
auto readEntries(FieldReader &reader, const char *name, ClusterState &state,
                 ReadFailure (*read)(const Json &, ClusterState &)) -> void
{
    reader.read(name, true, [&](const Json &json) {
        return readElements(json, [&](const Json &element) { return read(element, state); });
    });
}

auto readNames(const Json &json, std::vector<std::string> &names) -> ReadFailure
{
    return readElements(json,
                        [&](const Json &name) { return readValue(name, names.emplace_back()); });
}

auto stateFromJson(const Json &json) -> Result<ClusterState>
{
    auto state = ClusterState{};
    auto format = std::uint64_t{0};
    auto names = std::vector<std::string>{};
    auto reader = FieldReader(json, "");
    reader.required("format", format)
        .required("offset", state.offset)
        .required("unix_ms", state.unixMs)
        .required("term", state.term)
        .required("controller", state.controller)
        .required("term_since", state.termSince)
        .required("members_since", state.membersSince)
        .read("objects", true, [&](const Json &objects) { return readObjects(objects, state); })
        .read("servers", true, [&](const Json &servers) { return readNames(servers, names); })
        .read("assignments", true,
              [&](const Json &services) { return readServices(services, names, state); });
    readEntries(reader, "members", state, readMember);
    readEntries(reader, "status", state, readServerStatus);
    readEntries(reader, "quarantines", state, readQuarantine);
    readEntries(reader, "writers", state, readWriter);
    readEntries(reader, "audit", state, readAudit);
    BOOST_LEAF_CHECK(reader.finish());
    if (format != stateFormat) {
        return fail(ErrorCode::InvalidValue, "unsupported state format " + std::to_string(format));
    }
    return state;
}

} // namespace

auto toJson(const AuditEntry &entry) -> Json
{
    auto json = Json{{"offset", entry.offset},
                     {"unix_ms", entry.unixMs},
                     {"author", entry.author},
                     {"summary", entry.summary},
                     {"accepted", entry.accepted}};
    if (!entry.refusal.empty()) {
        json["refusal"] = entry.refusal;
    }
    return json;
}

auto encodeState(const ClusterState &state) -> std::string
{
    auto names = ServerNameTable{};
    auto json = Json{{"format", stateFormat},
                     {"offset", state.offset},
                     {"unix_ms", state.unixMs},
                     {"term", state.term},
                     {"controller", state.controller.value()},
                     {"term_since", state.termSince},
                     {"members_since", state.membersSince},
                     {"objects", objectsJson(state)},
                     {"assignments", assignmentsJson(state, names)},
                     {"members", membersJson(state)},
                     {"status", statusJson(state)},
                     {"quarantines", quarantinesJson(state)},
                     {"writers", writersJson(state)},
                     {"audit", auditJson(state)}};
    json["servers"] = names.toJson();
    auto bytes = std::string{};
    Json::to_cbor(json, bytes);
    return bytes;
}

auto decodeState(std::string_view bytes) -> Result<ClusterState>
{
    BOOST_LEAF_AUTO(json, parseCbor(bytes));
    return stateFromJson(json);
}

} // namespace figlanding
