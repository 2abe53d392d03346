#include "gateway/topic_follower.h"
#include "run_until.h"
#include "scripted_store.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace figlanding;
using figlanding::testing::ScriptedStore;

namespace {

// A follower of rank @ref rank with its store.
struct Following
{
    EventLoop loop;
    ScriptedStore store{loop};
    std::vector<std::string> applied;
    std::vector<TopicUpdate> relayed;
    int snapshots = 0;
    std::size_t rank = 0;
    std::function<void()> onRecord = [] {};
    TopicFollower<ScriptedStore> follower{
        loop,
        store,
        {.topic = "t", .wait = milliseconds(200), .pause = milliseconds(0)},
        {.onSnapshot = [this](const auto &) { ++snapshots; },
         .onRecord =
             [this](const KeyedRecord &record) {
                 applied.push_back(record.key);
                 onRecord();
                 return true;
             },
         .onRead = [](TimePoint, LogOffset) {},
         .relay = [this](const TopicUpdate &update) { relayed.push_back(update); },
         .rank = [this](const std::string &) { return rank; }}};

    // Runs the loop until a condition holds, or for at most @p limit.
    auto runUntil(const std::function<bool()> &condition, milliseconds limit) -> bool
    {
        return figlanding::testing::runUntil(loop, condition, limit);
    }
    auto relay(LogOffset from, LogOffset next) -> void
    {
        follower.onRelayReceived({.topic = "t", .from = from, .next = next});
    }
    // Answers the read in flight with no record beyond @p end, and waits for the next read.
    auto respondEmpty(LogOffset end) -> void
    {
        store.respond(Settled<KeyedPage>(KeyedPage{.end = end, .next = store.lastRead().from}));
        REQUIRE(runUntil([&] { return store.awaitsPage() || store.awaitsSnapshot(); },
                         milliseconds(3000)));
    }
    auto fail(ErrorCode code) -> void
    {
        if (store.awaitsPage()) {
            store.respond(Settled<KeyedPage>(Error{code, ""}));
        } else {
            store.respond(Settled<KeyedSnapshot>(Error{code, ""}));
        }
    }
    // Reads the first snapshot, then fails the given number of reads.
    auto startAndFail(int failures) -> void
    {
        follower.start();
        store.respond(Settled<KeyedSnapshot>(KeyedSnapshot{.end = 10}));
        for (auto i = 0; i < failures; ++i) {
            REQUIRE(runUntil([&] { return store.awaitsPage() || store.awaitsSnapshot(); },
                             milliseconds(3000)));
            fail(ErrorCode::LogUnavailable);
        }
        REQUIRE(runUntil([&] { return store.awaitsPage(); }, milliseconds(3000)));
    }
};

} // namespace

TEST_CASE("a VM that the store tells of a gap reads the snapshot at once, also after failed reads")
{
    auto following = Following{};
    following.startAndFail(3);
    following.fail(ErrorCode::OffsetGap);
    CHECK(following.runUntil([&] { return following.store.awaitsSnapshot(); }, milliseconds(100)));
    CHECK(following.store.snapshotReads() == 2);
}

TEST_CASE("a VM whose read timed out still applies relayed records until it has read a snapshot")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(1);
    following.fail(ErrorCode::Timeout);
    following.follower.onRelayReceived({.topic = "t",
                                        .from = 10,
                                        .next = 11,
                                        .records = {{.offset = 10, .key = "new", .value = "v"}}});
    CHECK(following.applied == std::vector<std::string>{"new"});
}

TEST_CASE("a snapshot older than records that were relayed since does not undo them")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(1);
    following.fail(ErrorCode::Timeout);
    REQUIRE(
        following.runUntil([&] { return following.store.awaitsSnapshot(); }, milliseconds(5000)));
    following.follower.onRelayReceived({.topic = "t",
                                        .from = 10,
                                        .next = 12,
                                        .records = {{.offset = 11, .key = "new", .value = "v"}}});
    following.store.respond(Settled<KeyedSnapshot>(KeyedSnapshot{.end = 11}));
    CHECK(following.follower.end() == 12);
    CHECK(following.snapshots == 1);
}

TEST_CASE("a VM that has just started, which seems to be the first, relays nothing that it reads")
{
    auto following = Following{};
    following.startAndFail(0);
    following.store.respond(
        Settled<KeyedPage>(KeyedPage{.end = 11, .next = 11, .records = {{.offset = 10}}}));
    CHECK(following.relayed.empty());
    CHECK(following.applied.size() == 1);
}

TEST_CASE("a VM that reads several versions of a record at once relays only the newest")
{
    auto following = Following{};
    following.startAndFail(0);
    const auto silenceAfterStart = milliseconds(600);
    CHECK_FALSE(following.runUntil([] { return false; }, silenceAfterStart));
    const auto large = std::string(40'000, 'x');
    const auto newest = KeyedRecord{.offset = 12, .key = "config", .value = large + "3"};
    following.store.respond(
        Settled<KeyedPage>(KeyedPage{.end = 13,
                                     .next = 13,
                                     .records = {{.offset = 10, .key = "config", .value = large},
                                                 {.offset = 11, .key = "config", .value = large},
                                                 newest}}));
    CHECK(following.applied == std::vector<std::string>{"config"});
    REQUIRE(following.relayed.size() == 1);
    CHECK(following.relayed[0].records == std::vector<KeyedRecord>{newest});
    CHECK(following.relayed[0].from == 10);
    CHECK(following.relayed[0].next == 13);
}

TEST_CASE("a view is not current while another VM has read more")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(0);
    CHECK(following.follower.isCurrent(milliseconds(1000)));
    following.follower.onPeerEnd(11);
    CHECK_FALSE(following.follower.isCurrent(milliseconds(1000)));
    following.follower.onRelayReceived({.topic = "t", .from = 10, .next = 11});
    CHECK(following.follower.isCurrent(milliseconds(1000)));
}

TEST_CASE("a view is behind from the time at which another VM is known to have read more")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(0);
    const auto &follower = following.follower;
    const auto delay = milliseconds(100);
    following.runUntil([] { return false; }, milliseconds(150));
    following.follower.onPeerEnd(10);
    CHECK_FALSE(follower.isBehind(Duration::zero()));
    following.follower.onPeerEnd(11);
    CHECK_FALSE(follower.isBehind(delay));
    CHECK(following.runUntil([&] { return follower.isBehind(delay); }, milliseconds(150)));
    following.follower.onPeerEnd(12); // the first record that is missing counts
    CHECK(follower.isBehind(delay));
    following.follower.onRelayReceived({.topic = "t", .from = 10, .next = 12});
    CHECK_FALSE(follower.isBehind(Duration::zero()));
    following.follower.onPeerEnd(13);
    CHECK_FALSE(follower.isBehind(delay));
}

TEST_CASE("a view that neither a read nor a relay has confirmed for some time is not current")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(0);
    const auto maxAge = milliseconds(300);
    const auto isCurrent = [&] { return following.follower.isCurrent(maxAge); };
    CHECK_FALSE(following.runUntil([&] { return !isCurrent(); }, milliseconds(150)));
    CHECK(following.runUntil([&] { return !isCurrent(); }, milliseconds(400)));
    following.follower.onRelayReceived(
        {.topic = "t", .from = 10, .next = 10, .age = milliseconds(400)});
    CHECK_FALSE(isCurrent());
    following.store.respond(Settled<KeyedPage>(KeyedPage{.end = 10, .next = 10}));
    REQUIRE(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(2000)));
    following.store.respond(Settled<KeyedPage>(KeyedPage{.end = 10, .next = 10}));
    CHECK(isCurrent());
}

TEST_CASE("records that arrive late over a slow link are applied, not read again and again")
{
    auto following = Following{};
    following.rank = 3;
    following.startAndFail(0);
    following.follower.onPeerEnd(12);
    REQUIRE(
        following.runUntil([&] { return following.store.hasReplacedRead(); }, milliseconds(3000)));
    following.store.respondToReplacedRead(Settled<KeyedPage>(
        KeyedPage{.end = 12, .next = 12, .records = {{.offset = 10}, {.offset = 11}}}));
    CHECK(following.applied.size() == 1);
    CHECK(following.follower.end() == 12);
    following.store.respond(Settled<KeyedPage>(
        KeyedPage{.end = 12, .next = 12, .records = {{.offset = 10}, {.offset = 11}}}));
    CHECK(following.applied.size() == 1);
}

TEST_CASE("a view is as old as the read of its records, which may have taken long to arrive")
{
    auto following = Following{};
    following.startAndFail(0);
    const auto longTransfer = milliseconds(700);
    following.runUntil([] { return false; }, longTransfer);
    following.store.respond(
        Settled<KeyedPage>(KeyedPage{.end = 11, .next = 11, .records = {{.offset = 10}}}));
    CHECK(following.follower.end() == 11);
    CHECK_FALSE(following.follower.isCurrent(milliseconds(600)));
    REQUIRE(following.relayed.size() == 1);
    CHECK(following.relayed[0].age >= milliseconds(650));
}

TEST_CASE("a VM that hears of records which the topic never had is current again after a read")
{
    auto following = Following{};
    following.startAndFail(0);
    const auto &follower = following.follower;
    following.follower.onPeerEnd(1'000'000);
    following.respondEmpty(10); // this read began before and may have missed the records
    CHECK_FALSE(follower.isCurrent(seconds(5)));
    CHECK(follower.isBehind(Duration::zero()));
    following.respondEmpty(10);
    CHECK(follower.isCurrent(seconds(5)));
    CHECK_FALSE(follower.isBehind(Duration::zero()));
}

TEST_CASE("a false end does not hide a true one that is heard later")
{
    auto following = Following{};
    following.startAndFail(0);
    const auto &follower = following.follower;
    following.follower.onPeerEnd(1'000'000);
    following.respondEmpty(10);
    following.respondEmpty(10);
    REQUIRE(follower.isCurrent(seconds(5)));
    following.follower.onPeerEnd(12);
    CHECK_FALSE(follower.isCurrent(seconds(5)));
    following.respondEmpty(10);
    CHECK_FALSE(follower.isCurrent(seconds(5)));
    following.store.respond(Settled<KeyedPage>(
        KeyedPage{.end = 12, .next = 12, .records = {{.offset = 10}, {.offset = 11}}}));
    CHECK(follower.isCurrent(seconds(5)));
}

TEST_CASE("a claim that grows while a read runs is not refuted by that read")
{
    auto following = Following{};
    following.startAndFail(0);
    following.follower.onPeerEnd(11);
    following.respondEmpty(10);
    following.follower.onPeerEnd(12);
    following.respondEmpty(10);
    CHECK_FALSE(following.follower.isCurrent(seconds(5)));
}

TEST_CASE("a snapshot that began after the claim refutes it as well")
{
    auto following = Following{};
    following.startAndFail(0);
    following.follower.onPeerEnd(1'000'000);
    following.fail(ErrorCode::OffsetGap);
    REQUIRE(
        following.runUntil([&] { return following.store.awaitsSnapshot(); }, milliseconds(1000)));
    following.store.respond(Settled<KeyedSnapshot>(KeyedSnapshot{.end = 10}));
    CHECK(following.follower.isCurrent(seconds(5)));
}

TEST_CASE("a VM that reads records which another one has does not wait for further ones")
{
    auto following = Following{};
    following.startAndFail(0);
    CHECK(following.store.lastRead().wait == milliseconds(200));
    following.follower.onPeerEnd(12);
    following.respondEmpty(10);
    CHECK(following.store.lastRead().wait == milliseconds(0));
}

TEST_CASE("a relayed update past the end of the topic does not hide the records that follow")
{
    auto following = Following{};
    following.startAndFail(0);
    const auto &follower = following.follower;
    following.follower.onRelayReceived({.topic = "t", .from = 10, .next = 1'000'000});
    following.respondEmpty(10); // this read began before the update
    REQUIRE(following.store.awaitsPage());
    following.respondEmpty(11);
    CHECK_FALSE(follower.isCurrent(seconds(5)));
    REQUIRE(following.store.awaitsSnapshot());
    following.store.respond(Settled<KeyedSnapshot>(KeyedSnapshot{.end = 11}));
    CHECK(following.snapshots == 2);
    CHECK(follower.end() == 11);
    CHECK(follower.isCurrent(seconds(5)));
    REQUIRE(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(3000)));
    CHECK(following.store.lastRead().from == 11);
}

// Guards against requests to a server that drains unseen by VMs that once failed to read.
TEST_CASE("records that are missing are read soon by a VM whose last read failed long ago")
{
    auto following = Following{};
    following.rank = 90; // waits longer than the bound for relays
    following.startAndFail(0);
    following.fail(ErrorCode::LogUnavailable);
    for (auto i = 0; i < 5; ++i) {
        following.relay(10, 10);
        REQUIRE_FALSE(
            following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(100)));
    }
    following.relay(12, 13);
    CHECK(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(800)));
}

TEST_CASE("records that are missing are not read before the pause after a failed read is over")
{
    auto following = Following{};
    following.rank = 90;
    following.startAndFail(0);
    const auto failedAt = following.loop.now();
    following.fail(ErrorCode::LogUnavailable);
    following.relay(12, 13);
    REQUIRE(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(3000)));
    CHECK(following.store.reads().back() - failedAt >= RelayScheduleOptions{}.initialRetryDelay);
}

TEST_CASE("a failed read is the first of a row if relays were applied after the failures before it")
{
    auto following = Following{};
    following.rank = 90;
    following.startAndFail(4);
    following.fail(ErrorCode::LogUnavailable);
    following.relay(10, 10);
    following.relay(12, 13);
    REQUIRE(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(3000)));
    following.fail(ErrorCode::LogUnavailable);
    CHECK(following.runUntil([&] { return following.store.awaitsPage(); }, milliseconds(800)));
}

// Guards against VMs that take the store for lost, long after its return, as they need not read it.
TEST_CASE("a relay of what another VM read since ends an outage")
{
    auto following = Following{};
    following.rank = 90;
    following.startAndFail(0);
    following.fail(ErrorCode::LogUnavailable);
    following.runUntil([] { return false; }, milliseconds(900));
    const auto before = following.loop.now();
    following.follower.onRelayReceived(
        {.topic = "t", .from = 10, .next = 10, .age = milliseconds(2000)});
    CHECK_FALSE(following.follower.outage().lastEnd());
    following.relay(10, 10);
    REQUIRE(following.follower.outage().lastEnd());
    CHECK(*following.follower.outage().lastEnd() >= before);
}

TEST_CASE("an outage is over before the records that end it are applied")
{
    for (const auto relayed : {false, true}) {
        CAPTURE(relayed);
        auto following = Following{};
        following.rank = 90;
        following.startAndFail(4);
        auto overAtRecord = false;
        following.onRecord = [&] {
            overAtRecord = following.follower.outage().lastEnd().has_value();
        };
        const auto records = std::vector<KeyedRecord>{{.offset = 10, .key = "new"}};
        if (relayed) {
            following.follower.onRelayReceived(
                {.topic = "t", .from = 10, .next = 11, .records = records});
        } else {
            following.store.respond(
                Settled<KeyedPage>(KeyedPage{.end = 11, .next = 11, .records = records}));
        }
        CHECK(following.applied.size() == 1);
        CHECK(overAtRecord);
    }
}
