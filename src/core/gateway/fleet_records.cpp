#include "figlanding/gateway/fleet_records.h"

#include "core/cbor.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace figlanding {

namespace {

using nlohmann::json;

constexpr std::string_view memberPrefix = "member/";
constexpr std::string_view tablePrefix = "table/";
constexpr std::string_view changePrefix = "change/";
constexpr std::string_view rolloutPrefix = "rollout/";
constexpr std::string_view claimKey = "claim";

auto toBytes(const json &value) -> std::string
{
    const auto bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

auto encode(const MemberRecord &record) -> EncodedRecord
{
    return {.key = std::string(memberPrefix) + record.vm.value(),
            .value = toBytes({record.incarnation, toText(record.address)})};
}

auto encode(const ControllerClaim &claim) -> EncodedRecord
{
    auto fields = json{claim.term, claim.vm.value(), claim.incarnation};
    if (claim.earlier) {
        auto earlier = json::array();
        for (const auto &process : *claim.earlier) {
            earlier.push_back(json::array({process.vm.value(), process.incarnation}));
        }
        fields.push_back(std::move(earlier));
    }
    return {.key = std::string(claimKey), .value = toBytes(fields)};
}

// Releases that do not list earlier controllers omit them.
auto earlierControllersOf(const json &claim) -> std::optional<std::vector<ControllerProcess>>
{
    if (claim.size() < 4) {
        return std::nullopt;
    }
    auto result = std::vector<ControllerProcess>{};
    for (const auto &row : claim.at(3)) {
        result.push_back({.vm = VmId(row.at(0).get<std::string>()),
                          .incarnation = row.at(1).get<std::string>()});
    }
    return result;
}

auto toRows(const std::vector<OwnedRange> &ranges) -> json
{
    auto rows = json::array();
    for (const auto &range : ranges) {
        rows.push_back({range.keys.from, range.keys.to, range.owner.server.value(),
                        range.owner.startedUnixMs, range.fence, range.handOver});
    }
    return rows;
}

auto encode(const TableRecord &record) -> EncodedRecord
{
    return {.key = std::string(tablePrefix) + record.service.value(),
            .value = toBytes(toRows(record.table.ranges))};
}

auto encode(const TableChange &change) -> EncodedRecord
{
    return {.key = std::string(changePrefix) + change.service.value(),
            .value = toBytes(toRows(change.ranges))};
}

template <typename Tag>
auto toTexts(const std::vector<Name<Tag>> &names) -> json
{
    auto texts = json::array();
    for (const auto &name : names) {
        texts.push_back(name.value());
    }
    return texts;
}

template <typename NameType>
auto namesOf(const json &texts) -> std::vector<NameType>
{
    auto names = std::vector<NameType>{};
    for (const auto &text : texts) {
        names.emplace_back(text.get<std::string>());
    }
    return names;
}

auto encode(const RolloutRecord &record) -> EncodedRecord
{
    return {.key = std::string(rolloutPrefix) + record.service.value(),
            .value = toBytes({{"version", record.version.value()},
                              {"order", record.order},
                              {"revision", record.revision},
                              {"phase", static_cast<int>(record.phase)},
                              {"share", record.share},
                              {"trial_servers", toTexts(record.trialServers)},
                              {"base", record.base.value()},
                              {"withheld", toTexts(record.withheld)},
                              {"ordered", record.orderedUnixMs},
                              {"duration", record.duration.count()},
                              {"reason", record.reason}})};
}

auto decodeRollout(const ServiceId &service, const json &fields) -> Result<FleetRecord>
{
    const auto phase = fields.at("phase").get<int>();
    const auto share = fields.at("share").get<double>();
    if (phase < 0 || phase > static_cast<int>(RolloutPhase::RolledBack) || !(share >= 0.0)
        || share > 1.0) {
        return fail(ErrorCode::InvalidValue,
                    "roll-out of service " + service.value() + " has an unknown phase or share");
    }
    return FleetRecord(
        RolloutRecord{.service = service,
                      .version = ServerVersion(fields.at("version").get<std::string>()),
                      .order = fields.at("order").get<LogOffset>(),
                      .revision = fields.at("revision").get<std::uint64_t>(),
                      .phase = static_cast<RolloutPhase>(phase),
                      .share = share,
                      .trialServers = namesOf<BackendServerId>(fields.at("trial_servers")),
                      .base = ServerVersion(fields.at("base").get<std::string>()),
                      .withheld = namesOf<ServerVersion>(fields.at("withheld")),
                      .orderedUnixMs = fields.at("ordered").get<std::int64_t>(),
                      .duration = milliseconds(fields.at("duration").get<std::int64_t>()),
                      .reason = fields.at("reason").get<std::string>()});
}

auto rangesOf(const json &rows) -> std::vector<OwnedRange>
{
    auto ranges = std::vector<OwnedRange>{};
    for (const auto &row : rows) {
        ranges.push_back({.keys = {row.at(0).get<ShardKey>(), row.at(1).get<ShardKey>()},
                          .owner = {.server = BackendServerId(row.at(2).get<std::string>()),
                                    .startedUnixMs = row.at(3).get<std::int64_t>()},
                          .fence = row.at(4).get<FencingToken>(),
                          .handOver = row.at(5).get<std::string>()});
    }
    return ranges;
}

auto decodeTable(const ServiceId &service, const json &rows) -> Result<FleetRecord>
{
    auto table = OwnershipTable{.ranges = rangesOf(rows)};
    if (!isComplete(table)) {
        return fail(ErrorCode::InvalidValue,
                    "ownership table of service " + service.value() + " does not cover all keys");
    }
    return FleetRecord(TableRecord{.service = service, .table = std::move(table)});
}

} // namespace

auto encodeFleetRecord(const FleetRecord &record) -> EncodedRecord
{
    return std::visit([](const auto &content) { return encode(content); }, record);
}

auto decodeFleetRecord(const KeyedRecord &record) -> Result<FleetRecord>
{
    BOOST_LEAF_AUTO(value, parseCbor(record.value.value_or("")));
    try {
        if (record.key.starts_with(memberPrefix)) {
            BOOST_LEAF_AUTO(address, parseSocketAddress(value.at(1).get<std::string>()));
            return FleetRecord(MemberRecord{.vm = VmId(record.key.substr(memberPrefix.size())),
                                            .incarnation = value.at(0).get<std::string>(),
                                            .address = std::move(address)});
        }
        if (record.key == claimKey) {
            return FleetRecord(ControllerClaim{.term = value.at(0).get<Term>(),
                                               .vm = VmId(value.at(1).get<std::string>()),
                                               .incarnation = value.at(2).get<std::string>(),
                                               .earlier = earlierControllersOf(value)});
        }
        if (record.key.starts_with(tablePrefix)) {
            return decodeTable(ServiceId(record.key.substr(tablePrefix.size())), value);
        }
        if (record.key.starts_with(rolloutPrefix)) {
            return decodeRollout(ServiceId(record.key.substr(rolloutPrefix.size())), value);
        }
        if (record.key.starts_with(changePrefix)) {
            return FleetRecord(
                TableChange{.service = ServiceId(record.key.substr(changePrefix.size())),
                            .ranges = rangesOf(value)});
        }
    } catch (const json::exception &error) {
        return fail(ErrorCode::InvalidValue,
                    "malformed record " + record.key + ": " + error.what());
    }
    return fail(ErrorCode::InvalidValue, "record key " + record.key + " has no known type");
}

auto concernsOwnership(std::string_view key) -> bool
{
    return key == claimKey || key.starts_with(tablePrefix) || key.starts_with(changePrefix);
}

auto asTableChange(const KeyedRecord &record, const std::map<ServiceId, OwnershipTable> &tables)
    -> std::optional<KeyedRecord>
{
    if (!record.value || !record.key.starts_with(tablePrefix)) {
        return std::nullopt;
    }
    const auto previous = tables.find(ServiceId(record.key.substr(tablePrefix.size())));
    const auto decoded = settle([&] { return decodeFleetRecord(record); });
    if (previous == tables.end() || !decoded) {
        return std::nullopt;
    }
    const auto &next = std::get<TableRecord>(decoded.value());
    auto encoded = encode(TableChange{.service = next.service,
                                      .ranges = changedRanges(previous->second, next.table)});
    constexpr auto minSaving = std::size_t{2}; // as a factor; a whole table depends on no other
    if (encoded.value.size() * minSaving > record.value->size()) {
        return std::nullopt;
    }
    return KeyedRecord{
        .offset = record.offset, .key = std::move(encoded.key), .value = std::move(encoded.value)};
}

} // namespace figlanding
