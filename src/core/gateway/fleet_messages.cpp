#include "figlanding/gateway/fleet_messages.h"

#include "core/cbor.h"
#include "core/compression.h"
#include "core/gateway/fleet_codec.h"
#include "core/gateway/rollout_codec.h"
#include "core/gateway/slot_message_codec.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <utility>

namespace figlanding {

namespace {

using nlohmann::json;
using namespace fleet_codec;

// Slot messages and heartbeats are smaller; larger messages hold records of servers and owners,
// which compress to half their size or less.
constexpr std::size_t minCompressedSize = 1500;
constexpr std::size_t maxMessageBytes = std::size_t{1024} * 1024;
constexpr char compressedMark = 1; ///< first byte; no CBOR array begins with it

auto toJson(const Heartbeat &message) -> json
{
    auto usageByTeam = json::array();
    for (const auto &[team, use] : message.usageByTeam) {
        usageByTeam.push_back({team.value(), use.admitted, toFloatPrecision(use.demand),
                               toFloatPrecision(use.admittedRate)});
    }
    auto groupCounts = json::array();
    for (const auto &[service, count] : message.groupCounts) {
        groupCounts.push_back({service.value(), count});
    }
    auto limits = json::array();
    for (const auto &limit : message.serverLimits) {
        limits.push_back({limit.server.server.value(), limit.server.startedUnixMs,
                          toFloatPrecision(limit.limit.requestsPerSecond),
                          toFloatPrecision(limit.limit.used)});
    }
    auto rooms = json::array();
    for (const auto &[group, room] : message.groupRooms) {
        rooms.push_back({group.value(), fleet_codec::toJson(room)});
    }
    return {static_cast<int>(Kind::Heartbeat),
            message.leaving,
            message.topicEnds,
            std::move(usageByTeam),
            message.capacity,
            std::move(groupCounts),
            std::move(limits),
            message.uptime.count(),
            std::move(rooms)};
}

auto toJson(const WorkReport &message) -> json
{
    auto keys = json::array();
    for (const auto &count : message.keys) {
        keys.push_back({count.service.value(), count.key, count.requests});
    }
    auto times = json::array();
    for (const auto &[server, time] : message.serviceTimes) {
        times.push_back({server.value(), time.count()});
    }
    return {static_cast<int>(Kind::Work), std::move(keys), std::move(times)};
}

auto toJson(const LeaseReport &message) -> json
{
    auto grants = json::array();
    for (const auto &grant : message.grants) {
        grants.push_back(
            {grant.server.server.value(), grant.server.startedUnixMs, grant.ago.count()});
    }
    return {static_cast<int>(Kind::Leases), message.term, std::move(grants)};
}

auto toJson(const TopicUpdate &message) -> json
{
    auto records = json::array();
    for (const auto &record : message.records) {
        auto row = json{record.offset - message.from, record.key};
        if (record.value) {
            row.push_back(json::binary({record.value->begin(), record.value->end()}));
        }
        records.push_back(std::move(row));
    }
    return {static_cast<int>(message.shortened ? Kind::ShortenedTopic : Kind::Topic),
            message.topic,
            message.from,
            message.next,
            std::move(records),
            message.complete,
            message.age.count()};
}

constexpr auto uptimeBounds = DurationBounds{.max = maxUptime};
constexpr auto updateAgeBounds = DurationBounds{.max = maxUpdateAge};
constexpr auto grantAgeBounds = DurationBounds{.min = -maxGrantDelay, .max = maxGrantAge};

auto decodeHeartbeat(const json &fields) -> Result<Heartbeat>
{
    auto message = Heartbeat{.leaving = fields.at(1).get<bool>(),
                             .capacity = fields.at(4).get<double>(),
                             .topicEnds = fields.at(2).get<std::map<std::string, LogOffset>>()};
    for (const auto &row : fields.at(3)) {
        message.usageByTeam.emplace(TeamId(row.at(0).get<std::string>()),
                                    TeamUsage{.admitted = row.at(1).get<std::uint64_t>(),
                                              .demand = row.at(2).get<double>(),
                                              .admittedRate = row.at(3).get<double>()});
    }
    // VMs of earlier releases omit it.
    for (const auto &row : fields.size() > 5 ? fields.at(5) : json::array()) {
        message.groupCounts.emplace(ServiceId(row.at(0).get<std::string>()),
                                    row.at(1).get<std::size_t>());
    }
    for (const auto &row : fields.size() > 6 ? fields.at(6) : json::array()) {
        message.serverLimits.push_back(
            {.server = {.server = BackendServerId(row.at(0).get<std::string>()),
                        .startedUnixMs = row.at(1).get<std::int64_t>()},
             .limit = {.requestsPerSecond = row.at(2).get<double>(),
                       .used = row.at(3).get<double>()}});
    }
    constexpr auto uptimeField = std::size_t{7};
    if (fields.size() > uptimeField) {
        BOOST_LEAF_ASSIGN(message.uptime,
                          decodeDuration(fields.at(uptimeField), "uptime", uptimeBounds));
    }
    constexpr auto roomsField = std::size_t{8}; // VMs of earlier releases omit it
    for (const auto &row : fields.size() > roomsField ? fields.at(roomsField) : json::array()) {
        BOOST_LEAF_AUTO(room, decodeGroupRoom(row.at(1)));
        message.groupRooms.emplace(ServiceId(row.at(0).get<std::string>()), room);
    }
    return message;
}

auto decodeWorkReport(const json &fields) -> Result<WorkReport>
{
    auto message = WorkReport{};
    for (const auto &row : fields.at(1)) {
        const auto key = row.at(1).get<ShardKey>();
        if (key < shardKeyCount) {
            message.keys.push_back({.service = ServiceId(row.at(0).get<std::string>()),
                                    .key = key,
                                    .requests = row.at(2).get<std::uint32_t>()});
        }
    }
    for (const auto &row : fields.at(2)) {
        BOOST_LEAF_AUTO(time, decodeDuration(row.at(1), "service time", requestTimeBounds));
        message.serviceTimes.emplace(BackendServerId(row.at(0).get<std::string>()), time);
    }
    return message;
}

auto decodeLeaseReport(const json &fields) -> Result<LeaseReport>
{
    auto message = LeaseReport{.term = fields.at(1).get<Term>(), .grants = {}};
    for (const auto &row : fields.at(2)) {
        BOOST_LEAF_AUTO(ago, decodeDuration(row.at(2), "age of a grant", grantAgeBounds));
        message.grants.push_back(
            {.server = {.server = BackendServerId(row.at(0).get<std::string>()),
                        .startedUnixMs = row.at(1).get<std::int64_t>()},
             .ago = ago});
    }
    return message;
}

auto decodeTopicUpdate(const json &fields) -> Result<TopicUpdate>
{
    BOOST_LEAF_AUTO(age, decodeDuration(fields.at(6), "age", updateAgeBounds));
    auto message = TopicUpdate{.topic = fields.at(1).get<std::string>(),
                               .from = fields.at(2).get<LogOffset>(),
                               .next = fields.at(3).get<LogOffset>(),
                               .age = age,
                               .complete = fields.at(5).get<bool>(),
                               .shortened = static_cast<Kind>(fields.at(0).get<int>())
                                   == Kind::ShortenedTopic};
    for (const auto &row : fields.at(4)) {
        auto record = KeyedRecord{.offset = message.from + row.at(0).get<LogOffset>(),
                                  .key = row.at(1).get<std::string>()};
        if (row.size() > 2) {
            const auto &bytes = row.at(2).get_binary();
            record.value = std::string(bytes.begin(), bytes.end());
        }
        message.records.push_back(std::move(record));
    }
    return message;
}

// Wraps a decoded message.
template <typename Message>
auto asPayload(Result<Message> decoded) -> Result<FleetPayload>
{
    BOOST_LEAF_AUTO(message, std::move(decoded));
    return FleetPayload(std::move(message));
}

auto decodePayload(const json &fields) -> Result<FleetPayload>
{
    switch (static_cast<Kind>(fields.at(0).get<int>())) {
    case Kind::Heartbeat:
        return asPayload(decodeHeartbeat(fields));
    case Kind::Acquire:
        return asPayload(decodeAcquire(fields));
    case Kind::Response:
        return asPayload(decodeResponse(fields));
    case Kind::Release:
        return asPayload(decodeRelease(fields));
    case Kind::Topic:
    case Kind::ShortenedTopic:
        return asPayload(decodeTopicUpdate(fields));
    case Kind::Work:
        return asPayload(decodeWorkReport(fields));
    case Kind::Leases:
        return asPayload(decodeLeaseReport(fields));
    case Kind::Rollout:
        return asPayload(decodeRolloutReport(fields));
    }
    return fail(ErrorCode::InvalidValue, "unknown datagram kind");
}

} // namespace

auto encodeFleetMessage(const FleetMessage &message) -> std::string
{
    auto payload = std::visit([](const auto &content) { return toJson(content); }, message.payload);
    const auto cbor =
        json::to_cbor(json{message.from.value(), message.incarnation, std::move(payload)});
    auto bytes = std::string(cbor.begin(), cbor.end());
    if (bytes.size() < minCompressedSize) {
        return bytes;
    }
    return std::string(1, compressedMark).append(compress(bytes));
}

auto decodeFleetMessage(std::string_view bytes) -> Result<FleetMessage>
{
    auto decompressed = std::string{};
    if (!bytes.empty() && bytes.front() == compressedMark) {
        BOOST_LEAF_ASSIGN(decompressed, decompress(bytes.substr(1), maxMessageBytes));
        bytes = decompressed;
    }
    BOOST_LEAF_AUTO(fields, parseCbor(bytes));
    try {
        BOOST_LEAF_AUTO(payload, decodePayload(fields.at(2)));
        return FleetMessage{.from = VmId(fields.at(0).get<std::string>()),
                            .incarnation = fields.at(1).get<std::string>(),
                            .payload = std::move(payload)};
    } catch (const json::exception &error) {
        return fail(ErrorCode::InvalidValue, std::string("malformed datagram: ") + error.what());
    }
}

} // namespace figlanding
