#include "figlanding/idempotency.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace figlanding;
using enum IdempotencyOutcome;

namespace {

constexpr auto start = TimePoint{} + seconds(100);

auto scope(const std::string &key, const std::string &team = "north") -> IdempotencyScope
{
    return {.team = TeamId(team), .service = ServiceId("bookings"), .key = key};
}

auto answer(const std::string &body) -> StoredAnswer
{
    return {.status = 201, .headers = {{"x", "y"}}, .body = body};
}

} // namespace

TEST_CASE("the outcome of a duplicate follows from the outcome of the first request")
{
    struct Row
    {
        std::optional<Verdict> verdict; ///< nothing while in flight
        IdempotencyOutcome outcome;
    };
    const auto rows = std::vector<Row>{{std::nullopt, InFlight},
                                       {Verdict::NotRun, Run},
                                       {Verdict::MayHaveRun, OutcomeUnknown},
                                       {Verdict::Ran, Replay}};
    for (const auto &row : rows) {
        auto store = IdempotencyStore({}, start);
        REQUIRE(store.begin(scope("k"), "d1", start).outcome == Run);
        if (row.verdict) {
            store.finish(scope("k"), *row.verdict, answer("booked"), start);
        }
        const auto again = store.begin(scope("k"), "d1", start);
        CHECK(again.outcome == row.outcome);
        CHECK((again.answer != nullptr) == (row.outcome == Replay));
        if (again.answer) {
            CHECK(*again.answer == answer("booked"));
        }
        CHECK(store.begin(scope("k", "south"), "d1", start).outcome == Run);
        if (row.outcome != Run) {
            CHECK(store.begin(scope("k"), "d2", start).outcome == KeyReused);
        }
    }
}

TEST_CASE("entries expire after the retention, entries in flight never do")
{
    auto store = IdempotencyStore({.retention = seconds(10)}, start);
    REQUIRE(store.begin(scope("running"), "d", start).outcome == Run);
    REQUIRE(store.begin(scope("ran"), "d", start).outcome == Run);
    store.finish(scope("ran"), Verdict::Ran, answer("a"), start);
    CHECK(store.begin(scope("ran"), "d", start + milliseconds(9999)).outcome == Replay);
    CHECK(store.begin(scope("ran"), "d", start + seconds(10)).outcome == Run);
    CHECK(store.begin(scope("running"), "d", start + seconds(99)).outcome == InFlight);
    CHECK(store.completeSince() == start);
}

TEST_CASE("responses and entries are bounded, and an entry outlives its response")
{
    const auto options =
        IdempotencyOptions{.maxEntries = 3, .maxAnswerBytes = 100, .maxTotalBytes = 150};
    auto store = IdempotencyStore(options, start);
    for (const auto *key : {"a", "b", "long"}) {
        REQUIRE(store.begin(scope(key), "d", start).outcome == Run);
    }
    store.finish(scope("a"), Verdict::Ran, answer(std::string(90, 'a')), start);
    store.finish(scope("b"), Verdict::Ran, answer(std::string(90, 'b')), start);
    store.finish(scope("long"), Verdict::Ran, answer(std::string(101, 'c')), start);
    CHECK(store.answerBytes() == 92);
    CHECK(store.begin(scope("a"), "d", start).outcome == AnswerLost);
    CHECK(store.begin(scope("b"), "d", start).outcome == Replay);
    CHECK(store.begin(scope("long"), "d", start).outcome == AnswerLost);

    const auto later = start + seconds(1);
    CHECK(store.begin(scope("e"), "d", later).outcome == Run);
    CHECK(store.begin(scope("f"), "d", later).outcome == Run);
    CHECK(store.begin(scope("g"), "d", later).outcome == Run);
    CHECK(store.begin(scope("h"), "d", later).outcome == StoreFull);
    CHECK(store.size() == 3);
    CHECK(store.answerBytes() == 0);
    CHECK(store.completeSince() == later);
}

TEST_CASE("a successor does not rerun requests that its predecessor sent")
{
    auto old = IdempotencyStore({}, start);
    for (const auto *key : {"running", "ran", "unknown"}) {
        REQUIRE(old.begin(scope(key), "d", start).outcome == Run);
    }
    old.finish(scope("ran"), Verdict::Ran, answer("a"), start);
    old.finish(scope("unknown"), Verdict::MayHaveRun, {}, start);
    auto successor = IdempotencyStore({}, start + seconds(1));
    REQUIRE(successor.begin(scope("own"), "d", start).outcome == Run);
    for (const auto &replica : old.replicaEntries()) {
        successor.importReplica(replica, start + seconds(1));
    }
    successor.importReplica({.scope = scope("own"), .digest = "d", .phase = IdempotencyPhase::Ran},
                            start);
    CHECK(successor.begin(scope("running"), "d", start).outcome == OutcomeUnknown);
    CHECK(successor.begin(scope("ran"), "d", start).outcome == AnswerLost);
    CHECK(successor.begin(scope("unknown"), "d", start).outcome == OutcomeUnknown);
    CHECK(successor.begin(scope("own"), "d", start).outcome == InFlight);

    // Replicated entries of one request may arrive repeatedly and in any order.
    successor.importReplica(
        {.scope = scope("running"), .digest = "d", .phase = IdempotencyPhase::Ran}, start);
    successor.importReplica({.scope = scope("running"), .digest = "d"}, start);
    CHECK(successor.begin(scope("running"), "d", start).outcome == AnswerLost);
    successor.removeImported(scope("unknown"));
    successor.removeImported(scope("own"));
    CHECK(successor.begin(scope("unknown"), "d", start).outcome == Run);
    CHECK(successor.begin(scope("own"), "d", start).outcome == InFlight);
}
