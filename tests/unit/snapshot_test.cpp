#include "figlanding/snapshot.h"

#include "random_records.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;

namespace {

auto addError(SnapshotAssembler &assembler, const SnapshotChunk &chunk) -> ErrorCode
{
    return valueOrElse(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(assembler.add(chunk));
            return ErrorCode::Internal;
        },
        [](const Error &error) { return error.code; });
}

auto chunksOf(const ClusterState &state, const char *id) -> std::vector<SnapshotChunk>
{
    return makeSnapshot(state, {.term = 1, .snapshotId = id, .maxChunkBytes = 100});
}

} // namespace

TEST_CASE("a snapshot and the records after it give the same state as the complete log")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto random = RandomRecords(seed);
        auto log = smallClusterLog();
        const auto cut = 5 + random.below(150);
        auto restored = ClusterState{};
        for (std::uint32_t step = 0; step < 200; ++step) {
            random.appendTo(log);
            restored = apply(std::move(restored), log.records().back());
            if (step == cut) {
                auto assembler = SnapshotAssembler{};
                for (const auto &chunk : chunksOf(log.state(), "s")) {
                    REQUIRE(assembler.add(chunk));
                }
                restored = decodeSnapshot(assembler.newest().value()).value();
            }
        }
        CHECK(restored == log.state());
        const auto &audit = log.state().audit;
        CHECK(std::any_of(audit.begin(), audit.end(), [](const auto &it) { return it.accepted; }));
    }
}

TEST_CASE("snapshots are assembled from shuffled, repeated and interleaved chunks")
{
    auto log = smallClusterLog();
    auto chunks = chunksOf(log.state(), "old");
    const auto old = log.state();
    log.append(TermClaim{.term = 2, .vm = VmId("vm-2")});
    for (const auto *writer : {"new-1", "new-2"}) {
        const auto more = chunksOf(log.state(), writer);
        chunks.insert(chunks.end(), more.begin(), more.end());
    }
    const auto repeated = chunks;
    chunks.insert(chunks.end(), repeated.begin(), repeated.end());
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto engine = RandomEngine(seed);
        std::shuffle(chunks.begin(), chunks.end(), engine);
        auto assembler = SnapshotAssembler{};
        for (const auto &chunk : chunks) {
            REQUIRE(assembler.add(chunk));
        }
        CHECK(decodeSnapshot(assembler.newest().value()).value() == log.state());
        CHECK(assembler.describePending().empty());
    }
}

TEST_CASE("incomplete snapshots are described and corrupt ones are rejected")
{
    const auto chunks = chunksOf(smallClusterLog().state(), "s");
    auto assembler = SnapshotAssembler{};
    for (std::size_t index = 1; index < chunks.size(); ++index) {
        REQUIRE(assembler.add(chunks[index]));
    }
    CHECK_FALSE(assembler.newest());
    const auto all = std::to_string(chunks.size());
    CHECK(assembler.describePending()
          == "snapshot \"s\" up to offset 2 has " + std::to_string(chunks.size() - 1) + " of " + all
              + " chunks");
    auto damaged = chunks.front();
    damaged.data.front() = static_cast<char>(damaged.data.front() ^ 1);
    CHECK(addError(assembler, damaged) == ErrorCode::ChecksumMismatch);
    CHECK_FALSE(assembler.newest());
    for (const auto &chunk : chunks) {
        REQUIRE(assembler.add(chunk));
    }
    CHECK(assembler.newest());
}

TEST_CASE("invalid chunks and snapshots beyond the limits are rejected")
{
    auto assembler = SnapshotAssembler({.maxPending = 2, .maxChunks = 10, .maxBytes = 100});
    const auto chunk = SnapshotChunk{.snapshotId = "s", .covers = 1, .count = 2, .data = "x"};
    auto row = chunk;
    row.count = 11;
    CHECK(addError(assembler, row) == ErrorCode::LimitExceeded);
    row = chunk;
    row.data = std::string(101, 'x');
    CHECK(addError(assembler, row) == ErrorCode::LimitExceeded);
    row = chunk;
    row.index = 2;
    CHECK(addError(assembler, row) == ErrorCode::InvalidValue);
    row = chunk;
    row.covers = 0;
    CHECK(addError(assembler, row) == ErrorCode::InvalidValue);
    for (const auto *id : {"a", "b", "c"}) {
        row = chunk;
        row.snapshotId = id;
        REQUIRE(assembler.add(row));
    }
    CHECK(assembler.describePending().find("\"a\"") == std::string::npos);
}

TEST_CASE("a snapshot whose chunks and state disagree on the offset is rejected")
{
    auto chunks = chunksOf(smallClusterLog().state(), "s");
    auto assembler = SnapshotAssembler{};
    for (auto &chunk : chunks) {
        chunk.covers = 7;
        REQUIRE(assembler.add(chunk));
    }
    const auto refused = settle([&] { return decodeSnapshot(assembler.newest().value()); });
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::ProtocolViolation);
}

TEST_CASE("a new snapshot is due before the log drops records that the old one needs")
{
    struct Row
    {
        SnapshotStatus status;
        bool due;
    };
    const auto policy = SnapshotPolicy{.minRecords = 100, .maxAge = seconds(60)};
    for (const auto &row : {
             Row{{.first = 0, .tail = 0, .age = seconds(90)}, false},
             Row{{.first = 1, .tail = 50}, false},
             Row{{.first = 1, .tail = 50, .age = seconds(60)}, true},
             Row{{.first = 1, .tail = 100}, true},
             Row{{.first = 1, .tail = 1000, .covers = 600}, false},
             Row{{.first = 1, .tail = 1000, .covers = 500}, true},
             Row{{.first = 400, .tail = 1000, .covers = 600}, true},
             Row{{.first = 950, .tail = 1000, .covers = 949}, false},
             Row{{.first = 950, .tail = 1000, .covers = 948}, true},
             Row{{.first = 1001, .tail = 1000, .covers = 1000}, false},
             Row{{.first = 1002, .tail = 1001, .covers = 1000}, true},
         }) {
        CAPTURE(row.status.first);
        CAPTURE(row.status.covers);
        CHECK(isSnapshotDue(row.status, policy) == row.due);
    }
}
