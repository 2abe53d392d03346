#include "gateway/store_view.h"
#include "platform_traits.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto server = ServerIncarnation{.server = BackendServerId("s"), .startedUnixMs = 10};

struct EntryFields
{
    std::string state = "ready";
    std::string service = "rooms";
    std::string address = "10.0.0.1:80";
    std::int64_t born = server.startedUnixMs;
    int sequence = 1;
    std::string zone = "a";
};

// A record with the server's id; by default as the server writes it itself.
auto entry(const EntryFields &fields) -> KeyedRecord
{
    const auto value = nlohmann::json{
        {"Service", fields.service}, {"Address", fields.address},   {"Zone", fields.zone},
        {"Version", "v1"},           {"MaxConcurrency", 2},         {"State", fields.state},
        {"WarmupRemaining", "0ms"},  {"Sequence", fields.sequence}, {"born", fields.born}};
    return {.offset = static_cast<LogOffset>(fields.sequence),
            .key = server.server.value(),
            .value = value.dump()};
}

// A view with a configuration that has the services.
struct View
{
    explicit View(const std::vector<std::string> &services = {"rooms"})
    {
        configure(1, services);
    }
    auto configure(int version, const std::vector<std::string> &services) -> void
    {
        auto list = nlohmann::json::array();
        for (const auto &name : services) {
            list.push_back({{"Name", name}});
        }
        const auto state =
            nlohmann::json{{"Version", std::string("r").append(std::to_string(version))},
                           {"Routes", nlohmann::json::array()},
                           {"Services", list}};
        store.onOperatorRecord({.offset = 1, .key = "config", .value = state.dump()});
    }
    // Returns the server as the view has it, or an empty entry.
    auto known() -> ServerEntry
    {
        const auto *found = store.registry().find(server.server);
        return found == nullptr ? ServerEntry{} : found->entry;
    }

    EventLoop loop;
    std::optional<TimePoint> lastOutageEnd;
    StoreView<platform::PlatformTraits> store{
        loop,
        {.onMember = [](const auto &) {},
         .onOwnership = [](const auto &) {},
         .lastServersOutageEnd = [this] { return lastOutageEnd; }}};
};

} // namespace

// Guards against a draining record that the VM that reads the store does not pass on.
TEST_CASE("a draining record is news for other VMs although the server has told this one")
{
    auto view = View();
    CHECK(view.store.onServerRecord(entry({.sequence = 1})));
    view.store.onServerLeaving(server);
    CHECK_FALSE(view.store.onServerRecord(entry({.sequence = 2})));
    CHECK(view.store.onServerRecord(entry({.state = "draining", .sequence = 3})));
    CHECK_FALSE(view.store.onServerRecord(entry({.state = "draining", .sequence = 4})));
}

// Guards against requests to a server in an evacuated zone from VMs that have its former zone.
TEST_CASE("a server's announcement of another zone is news for this VM and the others")
{
    auto view = View();
    view.store.onServerRecord(entry({.sequence = 1}));
    CHECK(view.store.takeServersChanged(view.loop.now()));
    CHECK(view.store.onServerRecord(entry({.sequence = 2, .zone = "b"})));
    CHECK(view.store.takeServersChanged(view.loop.now()));
    CHECK(view.known().zone == AvailabilityZoneId("b"));
    CHECK_FALSE(view.store.onServerRecord(entry({.sequence = 3, .zone = "b"})));
    CHECK_FALSE(view.store.takeServersChanged(view.loop.now()));
}

TEST_CASE("a server that says that it is leaving gets no requests, whatever its next entry says")
{
    auto view = View();
    view.store.onServerRecord(entry({.sequence = 1}));
    view.store.onServerLeaving(server);
    view.store.onServerRecord(entry({.sequence = 2}));
    const auto *found = view.store.registry().find(server.server);
    REQUIRE(found != nullptr);
    CHECK_FALSE(view.store.registry().acceptsRequests(*found));
}

// Guards against keys that are taken from a live server because of another writer's entry.
TEST_CASE("an entry of a service that is not configured does not displace a live server")
{
    auto view = View();
    view.store.onServerRecord(entry({.sequence = 5}));
    const auto foreign =
        EntryFields{.service = "nowhere", .address = "10.0.0.9:80", .born = 99, .sequence = 1};
    view.store.onServerRecord(entry(foreign));
    CHECK(view.store.registry().ownerState(server) == OwnerState::Usable);
    CHECK(view.known().address == SocketAddress{"10.0.0.1", 80});
    view.store.onServerRecord(entry({.sequence = 6}));
    CHECK(view.known().sequence == 6);
    view.store.onServerSnapshot({entry(foreign)});
    CHECK(view.store.registry().ownerState(server) == OwnerState::Usable);
    // The server itself starts anew, before the time that the other writer stated.
    view.store.onServerRecord(entry({.born = 50, .sequence = 1}));
    CHECK(view.store.registry().ownerState(server) == OwnerState::Restarted);
}

// Guards against a new service whose servers stay unknown to VMs that read its configuration late.
TEST_CASE("a server of a service that is configured only later is known from then on")
{
    auto view = View();
    CHECK(view.store.onServerRecord(entry({.service = "new", .sequence = 1})));
    CHECK_FALSE(view.store.onServerRecord(entry({.service = "new", .sequence = 2})));
    CHECK(view.known() == ServerEntry{});
    view.configure(2, {"rooms", "new"});
    CHECK(view.known().service == ServiceId("new"));
    CHECK(view.known().sequence == 2);
}

TEST_CASE("a server that left before its service was configured stays unknown")
{
    auto view = View();
    view.store.onServerRecord(entry({.service = "new", .sequence = 1}));
    view.store.onServerRecord({.offset = 2, .key = server.server.value(), .value = std::nullopt});
    view.configure(2, {"rooms", "new"});
    CHECK(view.known() == ServerEntry{});
}

// Guards against requests to a server that is gone, from VMs that defer its removal anew.
TEST_CASE("a server that is gone is removed once the grace period after an outage is over")
{
    const auto grace = milliseconds(2300);
    auto view = View();
    view.store.onServerRecord(entry({}));
    view.lastOutageEnd = view.loop.now() - seconds(1);
    view.store.onServerRecord({.offset = 2, .key = server.server.value(), .value = {}});
    CHECK(view.store.takeServersChanged(*view.lastOutageEnd + grace - milliseconds(1)));
    CHECK(view.known().id == server.server);
    CHECK(view.store.takeServersChanged(*view.lastOutageEnd + grace));
    CHECK(view.known().id.empty());
}

TEST_CASE("a server that is gone long after an outage is removed at once")
{
    auto view = View();
    view.store.onServerRecord(entry({}));
    view.lastOutageEnd = view.loop.now() - seconds(3);
    view.store.onServerRecord({.offset = 2, .key = server.server.value(), .value = {}});
    CHECK(view.store.takeServersChanged(view.loop.now()));
    CHECK(view.known().id.empty());
}

// Guards against a controller that writes over a claim or a table that it could not read.
TEST_CASE("the view of the owners ends before a claim or a table that cannot be read")
{
    for (const auto *key : {"claim", "table/rooms", "change/rooms"}) {
        auto view = View();
        view.store.onFleetRecord({.offset = 4, .key = "odd", .value = "junk"});
        view.store.onFleetRecord({.offset = 5, .key = key, .value = "junk"});
        CHECK(view.store.ownership().end == 5);
        view.store.onFleetSnapshot(
            {.end = 9, .records = {{.offset = 5, .key = key, .value = "junk"}}});
        CHECK(view.store.ownership().end == 5);
        view.store.onFleetSnapshot({.end = 9, .records = {}});
        CHECK(view.store.ownership().end == 9);
    }
}

// Guards against requests to a server that leaves, if another writer's entry has the largest
// sequence.
TEST_CASE("an entry with a number that is none holds back no entry of the server itself")
{
    const auto own = entry({.sequence = 1});
    const auto numbers = std::vector<std::string>{"-1",   "1.5",  "1e300", "18446744073709551616",
                                                  "true", "null", "[7]",   "\"7\""};
    for (const auto &field : std::vector<std::string>{"Sequence", "born", "MaxConcurrency"}) {
        for (const auto &number : numbers) {
            CAPTURE(field);
            CAPTURE(number);
            auto view = View();
            view.store.onServerRecord(own);
            auto odd = nlohmann::json::parse(own.value.value());
            odd[field] = nlohmann::json::parse(number);
            view.store.onServerRecord({.offset = 2, .key = own.key, .value = odd.dump()});
            view.store.onServerRecord(entry({.state = "draining", .sequence = 2}));
            CHECK(view.known().draining);
            CHECK(view.known().startedUnixMs == server.startedUnixMs);
            CHECK(view.known().slots == 2);
        }
    }
}

// Guards against a server that stays known after its removal, as a snapshot has another name for
// it.
TEST_CASE("an entry whose name a snapshot cannot have as it is names no server")
{
    for (const auto &name : std::vector<std::string>{"\xff", "s\x80", "s\xc3", "s\xef\xbf\xbd"}) {
        CAPTURE(name);
        auto view = View();
        auto odd = entry({});
        odd.key = name;
        CHECK_FALSE(view.store.onServerRecord(odd));
        CHECK(view.store.registry().servers().empty());
    }
}

// Guards against requests that no server can confirm to be meant for it.
TEST_CASE("an entry whose name cannot stand in a header names no server")
{
    for (const auto &name : std::vector<std::string>{"", " ", "s ", " s", "\ts", "s\n", "s\r\nx: y",
                                                     "s\x7f", std::string("s\0", 2)}) {
        CAPTURE(name);
        auto view = View();
        auto odd = entry({});
        odd.key = name;
        CHECK_FALSE(view.store.onServerRecord(odd));
        CHECK(view.store.registry().servers().empty());
    }
    for (const auto &name : std::vector<std::string>{"a b", "a&b", "%", "z\xc3\xbc", "#", "+"}) {
        CAPTURE(name);
        auto view = View();
        auto usable = entry({});
        usable.key = name;
        view.store.onServerRecord(usable);
        CHECK(view.store.registry().servers().size() == 1);
    }
}
