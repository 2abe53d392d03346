#include "gateway_deployment.h"
#include "run_until.h"
#include "standins/platform_store.h"
#include "store_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::platform::StoreClient;

namespace {

// Names that another writer may give its entries.
auto oddNames() -> std::vector<std::string>
{
    return {"%",
            "%zz",
            "%41",
            "100%",
            "a b",
            " ",
            "a\nb",
            "a\r\nb",
            "a\x7f",
            "a+b",
            "a&b",
            "a#b",
            "a=b",
            "a?b",
            "a&after=zzzz",
            "a\"b",
            "a\\b",
            "/..",
            "~a",
            "\t",
            "Zürich",
            "&part=1",
            "a&Topic=other",
            "+",
            "a\x01\x1f",
            "#",
            "a;b,c",
            "日本語",
            std::string("a\0b", 3)};
}

// A store, and a client of it.
struct ReadStore
{
    explicit ReadStore(PlatformStoreOptions options)
        : store(loop, options)
    {
        const auto started = settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store.start());
            return true;
        });
        REQUIRE(static_cast<bool>(started));
        client.emplace(http, store.address());
    }

    // Returns the keys of a topic's snapshot, or the error as the only one.
    auto newestKeys(const std::string &topic) -> std::vector<std::string>
    {
        auto result = std::optional<Settled<KeyedSnapshot>>{};
        client->readNewest({.topic = topic},
                           [&](auto snapshot) { result.emplace(std::move(snapshot)); });
        figlanding::testing::runUntil(
            loop, [&] { return result.has_value(); }, seconds(5));
        REQUIRE(result.has_value());
        if (!*result) {
            return {"error: " + describe(result->error())};
        }
        auto keys = std::vector<std::string>{};
        for (const auto &record : result->value().records) {
            keys.push_back(record.key);
        }
        return keys;
    }

    EventLoop loop;
    PlatformStore store;
    HttpClient http{loop, {}};
    std::optional<StoreClient> client;
    int topics = 0; ///< topics that a test has written
};

auto containsAll(const std::vector<std::string> &keys, const std::vector<std::string> &expected)
    -> bool
{
    return std::all_of(expected.begin(), expected.end(), [&](const auto &key) {
        return std::find(keys.begin(), keys.end(), key) != keys.end();
    });
}

// Writes entries with the names to a topic. Returns the names in the order of the store.
auto write(PlatformStore &store, const std::string &topic, std::vector<std::string> names)
    -> std::vector<std::string>
{
    for (const auto &name : names) {
        store.put(topic, name, "{}");
    }
    std::sort(names.begin(), names.end());
    return names;
}

// Seven names, of which the one at @p position ends with an odd name.
auto withOddNameAt(std::size_t position, const std::string &oddName) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{"b", "d", "f", "h", "j", "l", "n"};
    names.at(position) += oddName;
    return names;
}

auto checkEachPosition(const PlatformStoreOptions &options) -> void
{
    auto reader = ReadStore(options);
    for (const auto &oddName : oddNames()) {
        for (std::size_t position = 0; position < 7; ++position) {
            const auto topic = std::to_string(reader.topics++);
            const auto names = write(reader.store, topic, withOddNameAt(position, oddName));
            CAPTURE(oddName);
            CAPTURE(position);
            CHECK(reader.newestKeys(topic) == names);
        }
    }
}

} // namespace

TEST_CASE("an entry with an odd name ends no snapshot, wherever it stands on the pages")
{
    for (const auto plusSign : {PlusSign::Itself, PlusSign::Blank}) {
        for (const auto pageRecords : {std::size_t{1}, std::size_t{2}, std::size_t{3}}) {
            CAPTURE(pageRecords);
            checkEachPosition({.pageRecords = pageRecords, .plusSign = plusSign});
        }
    }
}

TEST_CASE("a topic with odd names only is read to its end")
{
    for (const auto plusSign : {PlusSign::Itself, PlusSign::Blank}) {
        auto reader = ReadStore({.pageRecords = 1, .plusSign = plusSign});
        const auto names = write(reader.store, "keyed.servers", oddNames());
        CHECK(reader.newestKeys("keyed.servers") == names);
    }
}

TEST_CASE("an entry with an empty name at the end of the first page ends no snapshot")
{
    auto reader = ReadStore({.pageRecords = 1});
    const auto names = write(reader.store, "keyed.servers", {"", "a", "b"});
    CHECK(reader.newestKeys("keyed.servers") == names);
}

TEST_CASE("a name that is no UTF-8 hides no other entry, wherever it stands on the pages")
{
    const auto names =
        std::vector<std::string>{"b", "d", "h", "n", "z", "z\xc3\xbc", "z\xe6\x97\xa5"};
    for (const auto pageRecords : {4, 5, 6, 7}) {
        auto reader = ReadStore({.pageRecords = static_cast<std::size_t>(pageRecords)});
        for (const auto *bytes : {"\xff", "\x80", "\xc3", "m\xf5", "\xed\xa0\x80"}) {
            for (const auto &name : names) {
                auto written = names;
                written.push_back(name + bytes);
                written.push_back(name + bytes + bytes);
                const auto topic = std::to_string(reader.topics++);
                write(reader.store, topic, written);
                const auto keys = reader.newestKeys(topic);
                CAPTURE(name);
                CHECK(containsAll(keys, names));
            }
        }
    }
}

TEST_CASE("a page of names that are no UTF-8 only ends no snapshot")
{
    const auto names = std::vector<std::string>{"a", "b", "c", "d"};
    for (const auto pageRecords : {1, 2, 3}) {
        auto reader = ReadStore({.pageRecords = static_cast<std::size_t>(pageRecords)});
        for (const auto *bytes : {"\xff", "\x80", "m\xf5"}) {
            auto written = names;
            for (const auto *suffix : {"1", "2", "3", "\xff"}) {
                written.push_back(std::string("b").append(bytes).append(suffix));
                written.push_back(std::string(bytes).append(suffix));
            }
            const auto topic = std::to_string(reader.topics++);
            write(reader.store, topic, written);
            CHECK(containsAll(reader.newestKeys(topic), names));
        }
    }
}

TEST_CASE("a VM that starts while odd entries stand in the store's topics serves")
{
    auto deployment = GatewayDeployment(0);
    for (const auto *topic : {"keyed.servers", "keyed.op", "keyed.status"}) {
        for (const auto &name : oddNames()) {
            deployment.store().put(topic, name, "{}");
            deployment.store().put(topic, "server-" + name, "no object");
            deployment.store().put(topic, "rollout/" + name, "[]");
        }
    }
    deployment.startVm();
    CHECK(deployment.serves(0, "/read/1"));
    CHECK(deployment.serves(0, "/keyed/1"));
}

TEST_CASE("an entry of another writer in the fleet's topic stops no change of owners")
{
    const auto removed = std::optional<std::string>();
    for (const auto &value : {std::optional<std::string>("junk"), removed}) {
        auto deployment = GatewayDeployment(1);
        REQUIRE(deployment.serves(0, "/keyed/1"));
        deployment.store().put("keyed.figlanding", "odd & odd", value);
        deployment.runFor(milliseconds(300));
        deployment.drain(0);
        const auto &other = deployment.server(1);
        CHECK(deployment.eventually(
            [&] { return other.holds(0) && other.holds(40'000) && other.holds(65'535); }));
    }
}

TEST_CASE("a removed entry that only a snapshot shows stops no change of owners")
{
    auto deployment = GatewayDeployment(1);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    deployment.store().setFaults({.down = true});
    deployment.runFor(milliseconds(2500)); // until the reads that wait at the store have ended
    deployment.store().put("keyed.figlanding", "odd & odd", std::nullopt);
    deployment.store().setFaults({.truncatedHistory = true});
    deployment.runFor(milliseconds(3000));
    deployment.store().setFaults({});
    deployment.drain(0);
    const auto &other = deployment.server(1);
    CHECK(deployment.eventually(
        [&] { return other.holds(0) && other.holds(40'000) && other.holds(65'535); }));
}

TEST_CASE("entries with odd names that arrive while VMs run stop none")
{
    auto deployment = GatewayDeployment(2, milliseconds(6000), "vm-", 0.5);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    auto names = oddNames();
    names.insert(names.end(), {"", "\xff", "a\x80", "\xc3", std::string(200, '\xfe')});
    const auto order = R"({"To":"v2","Duration":"2s"})";
    const auto server = deployment.server(3).entry("ledger", "a", 1, false);
    auto number = 0;
    for (const auto &oddName : names) {
        for (const auto *value : {"junk", "{}", order, server.c_str()}) {
            const auto name = std::to_string(number++) + oddName;
            deployment.store().put("keyed.servers", name, value);
            deployment.store().put("keyed.op", "rollout/" + name, value);
            deployment.store().put("keyed.op", "evacuate/" + name, value);
            deployment.store().put("keyed.figlanding", "rollout/" + name, value);
            deployment.store().put("keyed.figlanding", "member/" + name, value);
            deployment.store().put("keyed.status", "rollout/" + name, value);
        }
    }
    deployment.runFor(milliseconds(2500));
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK(deployment.serves(vm, "/read/1"));
        CHECK(deployment.serves(vm, "/keyed/1"));
    }
    deployment.drain(0);
    const auto &other = deployment.server(1);
    CHECK(deployment.eventually(
        [&] { return other.holds(0) && other.holds(40'000) && other.holds(65'535); }));
}
