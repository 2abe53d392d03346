#include "gateway/store_view.h"
#include "gateway/topic_follower.h"
#include "platform_traits.h"
#include "run_until.h"
#include "scripted_store.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace figlanding;
using figlanding::testing::ScriptedStore;

namespace {

const auto server = BackendServerId("s");

// A VM of high rank that follows the servers' topic. It knows one server.
struct ServersFollowing
{
    ServersFollowing()
    {
        view.onOperatorRecord(
            {.key = "config",
             .value = R"({"Version":"r1","Routes":[],"Services":[{"Name":"rooms"}]})"});
        follower.start();
        const auto entry = nlohmann::json{{"Service", "rooms"},
                                          {"Address", "10.0.0.1:80"},
                                          {"Zone", "a"},
                                          {"Version", "v1"},
                                          {"MaxConcurrency", 2},
                                          {"State", "ready"},
                                          {"WarmupRemaining", "0ms"},
                                          {"Sequence", 1},
                                          {"born", 10}};
        store.respond(Settled<KeyedSnapshot>(KeyedSnapshot{
            .end = 10, .records = {{.offset = 9, .key = server.value(), .value = entry.dump()}}}));
        awaitRead();
    }
    auto awaitRead() -> void
    {
        REQUIRE(figlanding::testing::runUntil(
            loop, [&] { return store.awaitsPage(); }, milliseconds(3000)));
    }
    auto runFor(milliseconds span) -> void
    {
        figlanding::testing::runUntil(
            loop, [] { return false; }, span);
    }
    auto failRead() -> void
    {
        store.respond(Settled<KeyedPage>(Error{ErrorCode::LogUnavailable, ""}));
    }
    auto relay(LogOffset next, std::vector<KeyedRecord> records) -> void
    {
        follower.onRelayReceived(
            {.topic = "t", .from = 10, .next = next, .records = std::move(records)});
    }
    auto knowsServer() -> bool
    {
        static_cast<void>(view.takeServersChanged(loop.now()));
        return view.registry().find(server) != nullptr;
    }

    EventLoop loop;
    ScriptedStore store{loop};
    StoreView<platform::PlatformTraits> view{
        loop,
        {.onMember = [](const auto &) {},
         .onOwnership = [](const auto &) {},
         .lastServersOutageEnd = [this] { return follower.outage().lastEnd(); }}};
    TopicFollower<ScriptedStore> follower{
        loop,
        store,
        {.topic = "t", .wait = milliseconds(200), .pause = milliseconds(0)},
        {.onSnapshot = [this](const auto &snapshot) { view.onServerSnapshot(snapshot.records); },
         .onRecord = [this](const auto &record) { return view.onServerRecord(record); },
         .relay = [](const TopicUpdate &) {},
         .rank = [](const std::string &) { return std::size_t{90}; }}};
};

const auto outage = milliseconds(900); ///< just long enough to count
const auto removal = KeyedRecord{.offset = 10, .key = server.value(), .value = {}};

} // namespace

// Guards against requests to a server that is gone, from VMs that take the store for lost.
TEST_CASE("a server is removed at once when relays came since the last failed read")
{
    auto vm = ServersFollowing{};
    vm.failRead();
    vm.runFor(outage);
    vm.awaitRead();
    vm.store.respond(Settled<KeyedPage>(KeyedPage{.end = 10, .next = 10}));
    vm.awaitRead();
    vm.failRead();
    vm.runFor(milliseconds(100));
    vm.relay(10, {});
    vm.runFor(milliseconds(2400)); // longer than the grace period after the outage
    vm.relay(11, {removal});
    CHECK_FALSE(vm.knowsServer());
}

// Guards against the loss of servers whose entries expired in the first outage that a VM sees.
TEST_CASE("a server whose entry expired in an outage stays until it can have renewed the entry")
{
    for (const auto relayed : {false, true}) {
        CAPTURE(relayed);
        auto vm = ServersFollowing{};
        vm.failRead();
        vm.runFor(outage);
        if (relayed) {
            vm.relay(11, {removal});
        } else {
            vm.awaitRead();
            vm.store.respond(
                Settled<KeyedPage>(KeyedPage{.end = 11, .next = 11, .records = {removal}}));
        }
        CHECK(vm.knowsServer());
        vm.runFor(milliseconds(2400));
        CHECK_FALSE(vm.knowsServer());
    }
}
