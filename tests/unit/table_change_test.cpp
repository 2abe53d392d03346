#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_records.h"
#include "figlanding/random.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");

auto incarnation(std::uint64_t number) -> ServerIncarnation
{
    return {.server = BackendServerId("i-" + std::to_string(0x7c225b1a96 + number * 7919)),
            .startedUnixMs = static_cast<std::int64_t>(1'700'000'000'000 + number)};
}

auto tableWith(std::size_t ranges) -> OwnershipTable
{
    auto table = OwnershipTable{};
    for (std::size_t i = 0; i < ranges; ++i) {
        table.ranges.push_back(
            {.keys = {static_cast<ShardKey>(i * shardKeyCount / ranges),
                      static_cast<ShardKey>((i + 1) * shardKeyCount / ranges - 1)},
             .owner = incarnation(i),
             .fence = i + 1,
             .handOver = std::to_string(0x5c0e7a21d94b36f8ULL - i)});
    }
    return table;
}

auto toRecord(const OwnershipTable &table, LogOffset offset) -> KeyedRecord
{
    const auto encoded = encodeFleetRecord(TableRecord{.service = service, .table = table});
    return {.offset = offset, .key = encoded.key, .value = encoded.value};
}

auto datagramBytes(const KeyedRecord &record) -> std::size_t
{
    return encodeFleetMessage({.from = VmId("vm"),
                               .incarnation = "1",
                               .payload = TopicUpdate{.topic = "t", .records = {record}}})
        .size();
}

// Joins, splits and moves ranges at random, and renews some.
auto changedAtRandom(OwnershipTable table, RandomEngine &random) -> OwnershipTable
{
    auto key = std::uniform_int_distribution<ShardKey>(0, shardKeyCount - 1);
    for (auto i = 0; i < 8; ++i) {
        const auto from = key(random);
        const auto to = std::min<ShardKey>(shardKeyCount - 1, from + key(random) % 900);
        table = withMove(std::move(table), {.keys = {from, to}, .to = incarnation(key(random))});
        const auto at = key(random) % (table.ranges.size() - 1);
        table.ranges[at].keys.to = table.ranges[at + 1].keys.to;
        table.ranges.erase(table.ranges.begin() + static_cast<std::ptrdiff_t>(at) + 1);
        table.ranges[key(random) % table.ranges.size()].fence += 1000;
    }
    return table;
}

} // namespace

TEST_CASE("a VM that relays one moved range of a large table does not send the whole table")
{
    const auto before = tableWith(450);
    const auto after = withMove(before, {.keys = {30'000, 30'010}, .to = incarnation(900)});
    const auto whole = toRecord(after, 7);
    const auto relayed = asTableChange(whole, {{service, before}}).value_or(whole);
    CHECK(relayed.offset == 7);
    CHECK(datagramBytes(relayed) * 20 < datagramBytes(whole));
}

TEST_CASE("relayed changes lead to exactly the table that the store has")
{
    auto random = RandomEngine(3);
    auto table = tableWith(200);
    auto received = table;
    for (auto round = 0; round < 200; ++round) {
        const auto next = changedAtRandom(table, random);
        REQUIRE(isComplete(next));
        const auto relayed = asTableChange(toRecord(next, 1), {{service, table}});
        REQUIRE(relayed);
        const auto change = settle([&] { return decodeFleetRecord(*relayed); });
        REQUIRE(change);
        received = withChanges(received, std::get<TableChange>(change.value()).ranges);
        REQUIRE(received == next);
        table = next;
    }
}

TEST_CASE("a table is relayed whole if the receiver may lack the one before, or most of it changed")
{
    const auto before = tableWith(100);
    auto after = before;
    CHECK_FALSE(asTableChange(toRecord(before, 1), {}).has_value());
    for (auto &range : after.ranges) {
        range.fence += 1;
    }
    CHECK_FALSE(asTableChange(toRecord(after, 1), {{service, before}}).has_value());
}

TEST_CASE("builds that know only whole records do not take a shortened update for a whole one")
{
    const auto update = TopicUpdate{.topic = "t", .from = 1, .next = 2, .shortened = true};
    auto whole = update;
    whole.shortened = false;
    const auto encode = [](const TopicUpdate &payload) {
        return encodeFleetMessage({.from = VmId("vm"), .incarnation = "1", .payload = payload});
    };
    CHECK(encode(update) != encode(whole));
    const auto unchanged = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(decoded, decodeFleetMessage(encode(update)));
            return decoded.payload == FleetPayload(update);
        },
        [](const Error &) { return false; });
    CHECK(unchanged);
}
