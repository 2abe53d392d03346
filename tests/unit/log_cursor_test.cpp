#include "figlanding/log_cursor.h"

#include "random_records.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;

namespace {

// A log that has dropped the records before @ref first.
struct StoredLog
{
    InMemoryLog log;
    LogOffset first = 1;

    [[nodiscard]] auto page(const LogRead &read) const -> LogPage
    {
        auto page = LogPage{.first = first, .tail = log.state().offset};
        for (auto offset = std::max(read.from, first); offset <= page.tail; ++offset) {
            if (page.records.size() < read.maxRecords) {
                page.records.push_back(log.records().at(offset - 1));
            }
        }
        return page;
    }

    // Appends the first @p count chunks of a snapshot of @p state.
    auto publish(const ClusterState &state, const char *id, std::size_t count) -> void
    {
        const auto chunks =
            makeSnapshot(state, {.term = 1, .snapshotId = id, .maxChunkBytes = 400});
        for (std::size_t index = 0; index < std::min(count, chunks.size()); ++index) {
            log.append(chunks[index]);
        }
    }
};

// Reads until the cursor has caught up. Returns its offset, or the error that stopped it.
auto readUntilCaughtUp(LogCursor &cursor, const StoredLog &stored) -> Settled<LogOffset>
{
    return settle([&]() -> Result<LogOffset> {
        do {
            const auto read = cursor.nextRead();
            BOOST_LEAF_CHECK(cursor.accept(read, stored.page(read)));
        } while (!cursor.caughtUp());
        return cursor.state().offset;
    });
}

auto acceptError(LogCursor &cursor, const LogPage &page) -> Error
{
    const auto outcome = settle([&] { return cursor.accept(cursor.nextRead(), page); });
    return outcome ? Error{} : outcome.error();
}

constexpr std::size_t allChunks = 10'000;

} // namespace

TEST_CASE("a cursor follows a log that drops records and restores from snapshots")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto random = RandomRecords(seed);
        auto stored = StoredLog{.log = smallClusterLog()};
        auto cursor = LogCursor({}, {.maxRecords = 1 + random.below(40)});
        for (std::uint32_t round = 0; round < 4; ++round) {
            for (std::uint32_t step = random.below(60); step > 0; --step) {
                random.appendTo(stored.log);
            }
            const auto covered = stored.log.state();
            random.appendTo(stored.log);
            stored.publish(covered, "whole", allChunks);
            stored.publish(stored.log.state(), "torn", random.below(2));
            random.appendTo(stored.log);
            stored.first = std::max<LogOffset>(stored.first, covered.offset + 1 - random.below(3));
            REQUIRE(readUntilCaughtUp(cursor, stored));
            REQUIRE(cursor.state() == stored.log.state());
            REQUIRE(cursor.snapshotOffset() == covered.offset);
        }
    }
}

TEST_CASE("a gap without a complete snapshot is an error until a snapshot is published")
{
    auto stored = StoredLog{.log = smallClusterLog()};
    auto cursor = LogCursor({}, {.maxRecords = 3});
    REQUIRE(readUntilCaughtUp(cursor, stored));
    const auto before = cursor.state();
    stored.publish(stored.log.state(), "torn", 1);
    stored.log.append(TermClaim{.term = 2, .vm = VmId("vm-2")});
    stored.log.append(TermClaim{.term = 3, .vm = VmId("vm-2")});
    stored.first = 5;
    const auto outcome = readUntilCaughtUp(cursor, stored);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::SnapshotIncomplete);
    CHECK(outcome.error().detail.find("offsets 5 to 5") != std::string::npos);
    CHECK(cursor.state() == before);
    stored.publish(stored.log.state(), "whole", allChunks);
    REQUIRE(readUntilCaughtUp(cursor, stored));
    CHECK(cursor.state() == stored.log.state());
}

TEST_CASE("if the newest snapshot cannot be decoded, an older one is restored")
{
    auto stored = StoredLog{.log = smallClusterLog()};
    stored.publish(stored.log.state(), "good", allChunks);
    auto bad = makeSnapshot(stored.log.state(), {.term = 1, .snapshotId = "bad"});
    bad.front().covers = stored.log.state().offset;
    stored.log.append(bad.front());
    stored.first = 3;
    auto cursor = LogCursor({}, {.maxRecords = 2});
    REQUIRE(readUntilCaughtUp(cursor, stored));
    CHECK(cursor.state() == stored.log.state());
}

TEST_CASE("pages that violate the log's protocol are rejected and change nothing")
{
    auto stored = StoredLog{.log = smallClusterLog()};
    auto cursor = LogCursor{};
    REQUIRE(readUntilCaughtUp(cursor, stored));
    const auto before = cursor.state();
    const auto &records = stored.log.records();
    auto next = records.front();
    next.offset = 3;
    auto skipped = next;
    skipped.offset = 4;
    struct Row
    {
        LogPage page;
        const char *detail;
    };
    for (const auto &row : std::vector<Row>{
             {{.first = 1, .tail = 1}, "tail went back from 2 to 1"},
             {{.first = 5, .tail = 3}, "first offset 5 is beyond its tail 3"},
             {{.first = 1, .tail = 3}, "returned no record at offset 3"},
             {{.first = 1, .tail = 4, .records = {skipped}}, "offset 4 in place of 3"},
             {{.first = 1, .tail = 3, .records = {next, next}}, "offset 3 in place of 4"},
             {{.first = 1, .tail = 3, .records = {next, skipped}}, "offset 4 beyond its tail 3"},
             {{.first = 1, .tail = 2, .records = {records.back()}}, "offset 2 in place of 3"},
         }) {
        const auto failure = acceptError(cursor, row.page);
        CHECK(failure.code == ErrorCode::ProtocolViolation);
        CHECK_MESSAGE(failure.detail.find(row.detail) != std::string::npos, failure.detail);
        CHECK(cursor.state() == before);
        CHECK(cursor.tail() == 2);
    }
    const auto late = settle([&] { return cursor.accept(LogRead{.from = 1}, LogPage{}); });
    REQUIRE_FALSE(late);
    CHECK(late.error().code == ErrorCode::ProtocolViolation);
}

TEST_CASE("a cursor is caught up with an empty log but not with one that dropped all records")
{
    auto cursor = LogCursor{};
    REQUIRE(cursor.accept(cursor.nextRead(), LogPage{}));
    CHECK(cursor.caughtUp());
    CHECK(acceptError(cursor, {.first = 9, .tail = 8}) == Error{});
    CHECK(cursor.searching());
    CHECK(acceptError(cursor, {.first = 9, .tail = 8}).code == ErrorCode::SnapshotIncomplete);
}

TEST_CASE("a state from another VM is installed only if it is newer")
{
    auto log = smallClusterLog();
    auto cursor = LogCursor{};
    REQUIRE(cursor.installState(log.state()));
    CHECK(cursor.nextRead().from == 3);
    const auto again = settle([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(cursor.installState(log.state()));
        return true;
    });
    REQUIRE_FALSE(again);
    CHECK(again.error().code == ErrorCode::InvalidTransition);
}
