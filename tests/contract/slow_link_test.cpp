#include "gateway/topic_follower.h"
#include "run_until.h"
#include "standins/fault_proxy.h"
#include "standins/platform_store.h"
#include "store_client.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::platform::StoreClient;

namespace {

const auto topic = std::string("keyed.op");

auto started(const std::function<Result<void>()> &start) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(start());
            return true;
        },
        [](const Error &) { return false; });
}

// A VM that follows a topic of the store over a link whose bandwidth all its connections share.
struct SlowVm
{
    explicit SlowVm(std::size_t bytesPerSecond)
    {
        REQUIRE(started([&] { return store.start(); }));
        proxy.setTarget(store.address());
        REQUIRE(started([&] { return proxy.start(); }));
        client = std::make_unique<StoreClient>(http, SocketAddress{"127.0.0.1", proxy.port()});
        follower = std::make_unique<TopicFollower<StoreClient>>(
            loop, *client, TopicFollowerOptions{.topic = topic, .wait = milliseconds(1200)},
            TopicFollowerHandlers{
                .onSnapshot = [this](const auto &newest) { snapshot = newest.records; },
                .onRecord =
                    [this](const KeyedRecord &record) {
                        applied.push_back(record.value.value_or("").size());
                        return true;
                    },
                .onRead = [](TimePoint, LogOffset) {},
                .onEvent =
                    [this](const FollowerEvent &event) {
                        replaced += std::holds_alternative<ReplacedRead>(event);
                        failures += std::holds_alternative<StoreLost>(event);
                    },
                .relay = [](const TopicUpdate &) {},
                .rank = [](const std::string &) { return std::size_t{3}; }});
        proxy.setFaults({.linkBytesPerSecond = bytesPerSecond});
    }

    // Runs the loop until a condition holds, or for at most @p limit. Returns the time that passed.
    auto timeUntil(const std::function<bool()> &condition, milliseconds limit) -> Duration
    {
        const auto start = loop.now();
        figlanding::testing::runUntil(loop, condition, limit);
        return loop.now() - start;
    }

    EventLoop loop;
    PlatformStore store{loop};
    FaultProxy proxy{loop, {}};
    HttpClient http{loop, {}};
    std::unique_ptr<StoreClient> client;
    std::unique_ptr<TopicFollower<StoreClient>> follower;
    std::vector<KeyedRecord> snapshot;
    std::vector<std::size_t> applied; ///< size of each applied record
    int failures = 0;
    int replaced = 0;
};

} // namespace

TEST_CASE("a large configuration is in force within two seconds although its read is slow")
{
    constexpr auto linkBytesPerSecond = std::size_t{240'000};
    constexpr auto recordBytes = std::size_t{240'000};
    auto vm = SlowVm(linkBytesPerSecond);
    vm.store.put(topic, "config", "small");
    vm.follower->start();
    vm.timeUntil([&] { return vm.follower->end() == 1; }, milliseconds(2000));
    vm.timeUntil([] { return false; }, milliseconds(100)); // the next read waits at the store
    vm.store.put(topic, "config", std::string(recordBytes, 'x'));
    vm.follower->onPeerEnd(2);
    const auto propagation = milliseconds(2000);
    CHECK(vm.timeUntil([&] { return vm.follower->end() == 2; }, seconds(6)) < propagation);
    CHECK(vm.applied == std::vector<std::size_t>{recordBytes});
    CHECK(vm.failures == 0);
}

TEST_CASE("a VM that starts over a slow link reads its first snapshot once, and to its end")
{
    constexpr auto linkBytesPerSecond = std::size_t{240'000};
    auto vm = SlowVm(linkBytesPerSecond);
    vm.store.put(topic, "config", std::string(240'000, 'x')); // in base64 1.3 s over this link
    vm.follower->start();
    vm.timeUntil([&] { return vm.follower->end() == 1; }, seconds(6));
    CHECK(vm.snapshot.size() == 1);
    CHECK(vm.failures == 0);
}

TEST_CASE("a read whose connection went silent is replaced although others were slow before")
{
    auto vm = SlowVm(std::size_t{10} * 1024 * 1024);
    vm.store.put(topic, "config", "small");
    vm.follower->start();
    vm.timeUntil([&] { return vm.follower->end() == 1; }, milliseconds(2000));
    vm.timeUntil([] { return false; }, milliseconds(100));
    vm.proxy.freezeEstablished();
    vm.store.put(topic, "config", "newer");
    vm.follower->onPeerEnd(2);
    const auto propagation = milliseconds(2000);
    CHECK(vm.timeUntil([&] { return vm.follower->end() == 2; }, seconds(6)) < propagation);
    CHECK(vm.replaced == 1);
}
