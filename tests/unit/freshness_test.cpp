#include "figlanding/freshness.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);

auto at(int ms) -> TimePoint
{
    return start + milliseconds(ms);
}

auto stateAt(LogOffset offset, std::size_t members = 3) -> ClusterState
{
    ClusterState state;
    state.offset = offset;
    for (std::size_t i = 1; i <= members; ++i) {
        const auto vm = VmId("vm-" + std::to_string(i));
        state.members[vm] = Member{.vm = vm, .incarnation = "a", .since = 5};
    }
    return state;
}

auto view(bool logReadsAreFresh = false, const char *incarnation = "a") -> ViewFreshness
{
    return ViewFreshness({.self = VmId("vm-1"),
                          .incarnation = incarnation,
                          .startedAt = start,
                          .logReadsAreFresh = logReadsAreFresh});
}

auto answer(const char *vm, int sentAt, LogOffset applied) -> Confirmation
{
    return {.vm = VmId(vm),
            .incarnation = "a",
            .probeSentAt = at(sentAt),
            .appliedOffset = applied,
            .canConfirm = true};
}

struct ConfirmationCase
{
    const char *name;
    Confirmation confirmation;
    bool counts;
};

const ConfirmationCase confirmationCases[] = {
    {"same offset", answer("vm-2", 100, 10), true},
    {"older offset", answer("vm-2", 100, 7), true},
    {"newer offset", answer("vm-2", 100, 11), false},
    {"older than the peer's join", answer("vm-2", 100, 4), false},
    {"not a member", answer("vm-9", 100, 10), false},
    {"other incarnation", {VmId("vm-2"), "b", at(100), 10, true}, false},
    {"peer has not read the log", {VmId("vm-2"), "a", at(100), 10, false}, false},
};

} // namespace

TEST_CASE("only confirmations of current members with applied offsets count towards the majority")
{
    for (const auto &row : confirmationCases) {
        CAPTURE(row.name);
        auto freshness = view();
        freshness.onState(stateAt(10));
        freshness.onLogRead(at(0), 10);
        CHECK_FALSE(freshness.isFresh(at(150)));
        freshness.onConfirmation(row.confirmation);
        CHECK(freshness.isFresh(at(150)) == row.counts);
        CHECK(freshness.isFresh(at(699)) == row.counts);
        CHECK_FALSE(freshness.isFresh(at(700)));
    }
}

TEST_CASE("a VM that has not read the log since its start does not count itself")
{
    auto freshness = view();
    freshness.onState(stateAt(10));
    freshness.onConfirmation(answer("vm-2", 100, 10));
    CHECK_FALSE(freshness.canConfirm());
    CHECK_FALSE(freshness.isFresh(at(150)));
    freshness.onConfirmation(answer("vm-3", 120, 10));
    CHECK(freshness.freshUntil(at(150)) == at(700));
    freshness.onLogRead(at(-1), 10);
    CHECK_FALSE(freshness.canConfirm());
    freshness.onLogRead(at(0), 10);
    CHECK(freshness.canConfirm());
}

TEST_CASE("a restarted VM does not count itself before it has rejoined")
{
    auto freshness = view(false, "b");
    freshness.onState(stateAt(10));
    freshness.onLogRead(at(0), 10);
    freshness.onConfirmation(answer("vm-2", 100, 10));
    CHECK_FALSE(freshness.isFresh(at(150)));
    CHECK_FALSE(freshness.mayDispatch(at(150)));
    freshness.onConfirmation(answer("vm-3", 100, 10));
    CHECK(freshness.isFresh(at(150)));
    CHECK_FALSE(freshness.mayDispatch(at(150)));
}

TEST_CASE("a log read counts from its send time once its tail is applied, if log reads are fresh")
{
    for (const auto logReadsAreFresh : {true, false}) {
        auto freshness = view(logReadsAreFresh);
        freshness.onState(stateAt(10));
        freshness.onLogRead(at(50), 12);
        CHECK_FALSE(freshness.isFresh(at(60)));
        CHECK_FALSE(freshness.canConfirm());
        freshness.onState(stateAt(12));
        CHECK(freshness.canConfirm());
        CHECK(freshness.isFresh(at(649)) == logReadsAreFresh);
        CHECK(freshness.mayDispatch(at(649)) == logReadsAreFresh);
        CHECK_FALSE(freshness.isFresh(at(650)));
    }
}

TEST_CASE("a confirmation of a newer offset counts once that offset is applied")
{
    auto freshness = view();
    freshness.onState(stateAt(10));
    freshness.onLogRead(at(0), 10);
    freshness.onConfirmation(answer("vm-2", 100, 11));
    freshness.onConfirmation(answer("vm-2", 200, 12));
    freshness.onState(stateAt(11));
    CHECK(freshness.freshUntil(at(250)) == at(700));
}

TEST_CASE("with five members the third newest confirmation decides")
{
    auto freshness = view();
    freshness.onState(stateAt(10, 5));
    freshness.onLogRead(at(0), 10);
    freshness.onConfirmation(answer("vm-2", 100, 10));
    freshness.onConfirmation(answer("vm-3", 200, 10));
    freshness.onConfirmation(answer("vm-4", 300, 10));
    CHECK(freshness.freshUntil(at(350)) == at(800));
}
