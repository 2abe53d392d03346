#include "gateway/gateway.h"
#include "platform_traits.h"
#include "standins/platform_server.h"
#include "standins/platform_store.h"
#include "standins/raw_client.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::platform::PlatformTraits;

namespace {

using Vm = Gateway<PlatformTraits>;

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"keyed","Hostname":"x.example","PathPrefix":"/keyed/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"rooms","Attempts":2},
 {"Name":"book","Hostname":"x.example","PathPrefix":"/book/","RouteType":"unsafe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2},
 {"Name":"read","Hostname":"x.example","PathPrefix":"/read/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2},
 {"Name":"report","Hostname":"x.example","PathPrefix":"/report/","RouteType":"safe",
  "Timeout":"9000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2}],
 "Services":[{"Name":"rooms","Sharded":true},{"Name":"ledger"}],
 "Tenants":[{"Name":"band","ApiKeys":["key"],"RatePerS":1000,"Burst":1000},
            {"Name":"small","ApiKeys":["low"],"RatePerS":1,"Burst":2}]})";

// A store, backend servers and router VMs that run on one event loop.
class Deployment
{
public:
    explicit Deployment(int vms, milliseconds gracePeriod = milliseconds(6000))
        : m_gracePeriod(gracePeriod)
        , m_announceTimer(m_loop, [this] { announce(); })
        , m_client(m_loop, {})
    {
        REQUIRE(succeeds([&] { return m_store.start(); }));
        m_store.put("keyed.op", "config", configuration);
        addServer("rooms-1", "rooms", true);
        addServer("rooms-2", "rooms", true);
        addServer("ledger-1", "ledger", false);
        addServer("ledger-2", "ledger", false);
        announce();
        m_announceTimer.startRepeating(milliseconds(300));
        for (auto i = 0; i < vms; ++i) {
            startVm();
        }
    }

    // Runs the loop until a condition holds. Returns whether it held within the limit.
    auto runUntil(const std::function<bool()> &condition, milliseconds limit = milliseconds(8000))
        -> bool
    {
        const auto end = m_loop.now() + limit;
        auto timer = Timer(m_loop, [&] {
            if (condition() || m_loop.now() >= end) {
                m_loop.stop();
            }
        });
        timer.startRepeating(milliseconds(5));
        m_loop.run();
        return condition();
    }

    // Sends a request and waits for the response.
    auto send(std::size_t vm, HttpRequest request) -> HttpOutcome
    {
        const auto result = std::make_shared<std::optional<HttpOutcome>>();
        start(vm, std::move(request),
              [result](HttpOutcome outcome) { *result = std::move(outcome); });
        runUntil([&] { return result->has_value(); });
        return result->value_or(HttpOutcome{});
    }
    auto start(std::size_t vm, HttpRequest request, HttpClient::Callback callback) -> void
    {
        m_client.call(m_callers.at(vm), std::move(request), {.timeout = milliseconds(5000)},
                      std::move(callback));
    }
    // Starts long requests. The outcomes are filled in as they are answered.
    auto startReports(std::size_t vm, std::size_t count)
        -> std::shared_ptr<std::vector<std::optional<HttpOutcome>>>
    {
        auto outcomes = std::make_shared<std::vector<std::optional<HttpOutcome>>>(count);
        for (std::size_t i = 0; i < count; ++i) {
            auto report = request("GET", "/report/1", std::string("r").append(std::to_string(i)));
            report.headers.set("x-deadline-ms", "9000");
            start(vm, std::move(report),
                  [outcomes, i](HttpOutcome outcome) { outcomes->at(i) = std::move(outcome); });
        }
        return outcomes;
    }
    [[nodiscard]] auto request(const std::string &method, const std::string &target,
                               const std::string &id, const std::string &key = "key") const
        -> HttpRequest
    {
        return {.method = method,
                .target = target,
                .headers = {{"host", "x.example"},
                            {"x-request-id", id},
                            {"x-credential", key},
                            {"x-shard-key", "40000"},
                            {"x-deadline-ms", "2000"}}};
    }
    auto serves(std::size_t vm, const std::string &target) -> bool
    {
        return eventually([&] {
            return send(vm, request("GET", target, std::to_string(m_number++))).response.status
                == 200;
        });
    }
    // Repeats an attempt until it succeeds. The attempt may run the loop.
    auto eventually(const std::function<bool()> &attempt, milliseconds limit = milliseconds(8000))
        -> bool
    {
        const auto end = m_loop.now() + limit;
        while (m_loop.now() < end) {
            if (attempt()) {
                return true;
            }
            runFor(milliseconds(50));
        }
        return false;
    }
    auto runFor(milliseconds span) -> void
    {
        runUntil([] { return false; }, span);
    }

    [[nodiscard]] auto callers(std::size_t vm) const -> const SocketAddress &
    {
        return m_callers.at(vm);
    }
    auto store() -> PlatformStore &
    {
        return m_store;
    }
    auto server(std::size_t index) -> PlatformServer &
    {
        return *m_servers.at(index).server;
    }
    auto vm(std::size_t index) -> std::unique_ptr<Vm> &
    {
        return m_vms.at(index);
    }
    auto drain(std::size_t index) -> void
    {
        m_servers.at(index).draining = true;
        announce();
    }

private:
    struct AnnouncedServer
    {
        std::unique_ptr<PlatformServer> server;
        std::string id;
        std::string service;
        bool draining = false;
    };

    static auto succeeds(const std::function<Result<void>()> &attempt) -> bool
    {
        return valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(attempt());
                return true;
            },
            [](const Error &) { return false; });
    }

    auto freeAddress() -> SocketAddress
    {
        const auto socket = valueOrElse(
            [] {
                return listenOn({"127.0.0.1", 0});
            },
            [](const Error &) { return FileDescriptor{}; });
        return {"127.0.0.1", localPort(socket.get())};
    }

    auto startVm() -> void
    {
        const auto name = std::string("vm-").append(std::to_string(m_vms.size()));
        const auto settings = GatewaySettings{.vm = VmId(name),
                                              .zone = AvailabilityZoneId("a"),
                                              .callers = freeAddress(),
                                              .readiness = freeAddress(),
                                              .admin = freeAddress(),
                                              .fleet = freeAddress(),
                                              .store = m_store.address(),
                                              .gracePeriod = m_gracePeriod};
        m_callers.push_back(settings.callers);
        m_vms.push_back(std::make_unique<Vm>(m_loop, settings));
        REQUIRE(succeeds([&] { return m_vms.back()->start(); }));
    }

    auto addServer(const std::string &id, const std::string &service, bool keyed) -> void
    {
        auto server = std::make_unique<PlatformServer>(
            m_loop, PlatformServerOptions{.id = id, .keyed = keyed});
        REQUIRE(succeeds([&] { return server->start(); }));
        m_servers.push_back({.server = std::move(server), .id = id, .service = service});
    }

    auto announce() -> void
    {
        m_sequence += 1;
        for (const auto &entry : m_servers) {
            m_store.put("keyed.servers", entry.id,
                        entry.server->entry(entry.service, "a", m_sequence, entry.draining));
        }
    }

    EventLoop m_loop;
    PlatformStore m_store{m_loop};
    std::vector<AnnouncedServer> m_servers;
    milliseconds m_gracePeriod;
    Timer m_announceTimer;
    HttpClient m_client;
    std::vector<SocketAddress> m_callers;
    std::vector<std::unique_ptr<Vm>> m_vms;
    int m_sequence = 0;
    int m_number = 1;
};

// Returns the status of a response; 0 if the connection ended without one.
auto statusOf(const std::optional<HttpOutcome> &outcome) -> int
{
    return outcome && outcome->verdict == Verdict::Ran ? outcome->response.status : 0;
}

} // namespace

TEST_CASE("every VM of three serves requests with and without a key, and a key has one owner")
{
    auto deployment = Deployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        CHECK(deployment.serves(vm, "/keyed/1"));
        CHECK(deployment.serves(vm, "/read/1"));
    }
    const auto owners =
        int{deployment.server(0).holds(40'000)} + int{deployment.server(1).holds(40'000)};
    CHECK(owners == 1);
}

TEST_CASE("unknown routes and API keys are refused, rate limits hold, API keys are not forwarded")
{
    auto deployment = Deployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    CHECK(deployment.send(0, deployment.request("GET", "/none/1", "a")).response.status == 404);
    CHECK(deployment.send(0, deployment.request("GET", "/read/1", "b", "no")).response.status
          == 401);
    auto limited = 0;
    for (auto i = 0; i < 10; ++i) {
        const auto id = std::string("c").append(std::to_string(i));
        const auto outcome = deployment.send(0, deployment.request("GET", "/read/1", id, "low"));
        if (outcome.response.status == 429) {
            ++limited;
            CHECK(outcome.response.headers.find("retry-after"));
        }
    }
    CHECK(limited >= 6);
    for (const auto index : {2U, 3U}) {
        CHECK_FALSE(deployment.server(index).lastHeaders().find("x-credential"));
    }
}

TEST_CASE("a non-idempotent request runs at most once when servers fail or return wrong responses")
{
    auto deployment = Deployment(2);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().fails = true;
    deployment.server(3).options().returnsWrongRequestId = true;
    for (auto i = 0; i < 8; ++i) {
        const auto id = std::string("book").append(std::to_string(i));
        const auto outcome = deployment.send(0, deployment.request("POST", "/book/1", id));
        const auto runs = [&](std::size_t index) {
            const auto &all = deployment.server(index).runs();
            return all.contains(id) ? all.at(id) : 0;
        };
        CHECK(runs(2) + runs(3) == 1);
        // 500: the server failed the request; 502: the outcome is unknown. A 503 would promise that
        // the request did not run.
        const auto status = outcome.response.status;
        CHECK((status == 500 || status == 502));
    }
}

TEST_CASE("an idempotent request is retried at another server after a failure")
{
    auto deployment = Deployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().sheds = true;
    auto served = 0;
    for (auto i = 0; i < 10; ++i) {
        const auto id = std::string("r").append(std::to_string(i));
        served +=
            deployment.send(0, deployment.request("GET", "/read/1", id)).response.status == 200;
    }
    CHECK(served >= 9);
}

TEST_CASE("server errors are retried within the retry budget, not once for each request")
{
    auto deployment = Deployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().fails = true;
    deployment.server(3).options().fails = true;
    constexpr auto total = 40;
    for (auto i = 0; i < total; ++i) {
        const auto id = std::string("f").append(std::to_string(i));
        CHECK(deployment.send(0, deployment.request("GET", "/read/1", id)).response.status == 500);
    }
    const auto runs =
        deployment.server(2).arrivals().size() + deployment.server(3).arrivals().size();
    constexpr auto retries = 12; // a fifth of the requests and what earlier ones left
    CHECK(runs >= total);
    CHECK(runs <= total + retries);
}

TEST_CASE("concurrent requests of all VMs never exceed the slots of a server")
{
    auto deployment = Deployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    deployment.runFor(milliseconds(600)); // the VMs exchange heartbeats
    auto answered = 0;
    constexpr auto total = 60;
    for (auto i = 0; i < total; ++i) {
        const auto id = std::string("n").append(std::to_string(i));
        deployment.start(static_cast<std::size_t>(i % 3), deployment.request("GET", "/read/1", id),
                         [&](const HttpOutcome &) { ++answered; });
    }
    CHECK(deployment.runUntil([&] { return answered == total; }));
    CHECK(deployment.server(2).peakConcurrency() <= 2);
    CHECK(deployment.server(3).peakConcurrency() <= 2);
}

TEST_CASE("keys move from a draining server to another one and stay served")
{
    auto deployment = Deployment(2);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    const auto owner = deployment.server(0).holds(40'000) ? std::size_t{0} : std::size_t{1};
    deployment.drain(owner);
    CHECK(deployment.runUntil([&] { return deployment.server(1 - owner).holds(40'000); },
                              milliseconds(2000)));
    CHECK_FALSE(deployment.server(owner).holds(40'000));
    CHECK(deployment.serves(1, "/keyed/1"));
}

TEST_CASE("requests are served during a store outage, and new configuration applies after it")
{
    auto deployment = Deployment(2);
    REQUIRE(deployment.serves(0, "/keyed/1"));
    deployment.store().setFaults({.down = true});
    deployment.runFor(milliseconds(3000));
    CHECK(deployment.serves(0, "/keyed/2"));
    CHECK(deployment.serves(1, "/read/2"));
    deployment.store().setFaults({});
    auto changed = std::string(configuration);
    changed.replace(changed.find("r1"), 2, "r2");
    changed.replace(changed.find("/read/"), 6, "/late/");
    deployment.store().put("keyed.op", "config", changed);
    CHECK(deployment.eventually(
        [&] {
            return deployment.send(0, deployment.request("GET", "/late/1", "x")).response.status
                == 200;
        },
        milliseconds(3000)));
}

TEST_CASE("another VM becomes the key controller after the controller stops")
{
    auto deployment = Deployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/keyed/1"));
    }
    // The store makes the first member of the group the controller.
    deployment.vm(0).reset();
    deployment.vm(1).reset();
    const auto lease = milliseconds(7000);
    deployment.runFor(lease);
    CHECK(deployment.serves(2, "/keyed/1"));
}

TEST_CASE("a VM that shuts down refuses a request that waits for a slot as not run")
{
    auto deployment = Deployment(1, milliseconds(3600));
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().work = milliseconds(30'000);
    deployment.server(3).options().work = milliseconds(30'000);
    const auto slots = std::size_t{4};
    const auto atWork = deployment.startReports(0, slots);
    deployment.runFor(milliseconds(200));
    auto waiting = std::optional<HttpOutcome>();
    auto report = deployment.request("GET", "/report/1", "waiting");
    report.headers.set("x-deadline-ms", "9000");
    deployment.start(0, std::move(report),
                     [&](HttpOutcome outcome) { waiting = std::move(outcome); });
    deployment.runFor(milliseconds(200));
    REQUIRE_FALSE(waiting);
    deployment.vm(0)->leave();
    // The loop ends when the VM stops.
    deployment.runUntil([&] { return waiting.has_value(); });
    deployment.vm(0).reset();
    deployment.runUntil([&] { return waiting.has_value(); });
    REQUIRE(waiting);
    CHECK(statusOf(waiting) == 503);
    CHECK(waiting->response.headers.find("retry-after"));
    for (const auto index : {2U, 3U}) {
        CHECK_FALSE(deployment.server(index).runs().contains("waiting"));
    }
}

TEST_CASE("a VM that shuts down answers every request at a server before it stops")
{
    auto deployment = Deployment(1, milliseconds(3600));
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.server(2).options().work = milliseconds(1500);
    deployment.server(3).options().work = milliseconds(30'000);
    const auto outcomes = deployment.startReports(0, 4);
    deployment.runFor(milliseconds(200));
    deployment.vm(0)->leave();
    const auto all = [&] {
        return std::all_of(outcomes->begin(), outcomes->end(),
                           [](const auto &outcome) { return outcome.has_value(); });
    };
    deployment.runUntil(all);
    deployment.vm(0).reset();
    deployment.runUntil(all);
    auto statuses = std::vector<int>{};
    for (const auto &outcome : *outcomes) {
        statuses.push_back(statusOf(outcome));
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 2);
    // 502: the outcome at the slow server is unknown.
    CHECK(std::count(statuses.begin(), statuses.end(), 502) == 2);
}

TEST_CASE("a VM that stops answers a request that arrives at the moment of its stop")
{
    auto deployment = Deployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    deployment.vm(0)->leave();
    deployment.runFor(milliseconds(2200));
    // The request arrives while the VM is held up, and the VM may stop as soon as it goes on.
    std::this_thread::sleep_for(milliseconds(300));
    auto caller = RawClient(deployment.callers(0).port);
    caller.send("GET /read/1 HTTP/1.1\r\nhost: x.example\r\nx-request-id: last\r\n"
                "x-credential: key\r\nx-deadline-ms: 1000\r\n\r\n");
    deployment.runUntil([] { return false; }, milliseconds(2000)); // the VM ends the loop
    deployment.vm(0).reset();
    CHECK(caller.readAll(milliseconds(500)).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a VM that the load balancer has removed refuses requests that it may not complete")
{
    auto deployment = Deployment(1);
    REQUIRE(deployment.serves(0, "/read/1"));
    const auto allAnswered = [](const auto &outcomes) {
        return std::all_of(outcomes->begin(), outcomes->end(),
                           [](const auto &outcome) { return outcome.has_value(); });
    };
    const auto connections = deployment.startReports(0, 4);
    REQUIRE(deployment.runUntil([&] { return allAnswered(connections); }));
    deployment.server(2).options().work = milliseconds(4000);
    deployment.server(3).options().work = milliseconds(4000);
    const auto pending = deployment.startReports(0, 1);
    deployment.runFor(milliseconds(200));
    deployment.server(2).options().work = milliseconds(20);
    deployment.server(3).options().work = milliseconds(20);
    deployment.vm(0)->leave();
    deployment.runFor(milliseconds(2600));
    auto report = deployment.request("GET", "/report/1", "late");
    report.headers.set("x-deadline-ms", "9000");
    const auto late = deployment.send(0, std::move(report));
    CHECK(statusOf(late) == 503);
    CHECK(late.response.headers.find("retry-after"));
    CHECK(statusOf(deployment.send(0, deployment.request("GET", "/read/1", "short"))) == 200);
    CHECK(deployment.runUntil([&] { return allAnswered(pending); }));
    CHECK(statusOf(pending->front()) == 200);
}

TEST_CASE("a server gets no more requests from all VMs than the limit that it states")
{
    constexpr auto limit = 6.0;
    auto deployment = Deployment(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    auto &server = deployment.server(2);
    server.options().limit = "6.0";
    deployment.server(3).options().limit = "6.0";
    auto served = 0;
    const auto sendFor = [&](milliseconds span) {
        for (auto i = 0; i < span / milliseconds(20); ++i) {
            const auto id = std::to_string(i) + "-" + std::to_string(span.count());
            for (std::size_t vm = 0; vm < 3; ++vm) {
                deployment.start(vm, deployment.request("GET", "/read/1", id + std::to_string(vm)),
                                 [&](const HttpOutcome &outcome) {
                                     served += outcome.response.status == 200 ? 1 : 0;
                                 });
            }
            deployment.runFor(milliseconds(20));
        }
    };
    sendFor(milliseconds(1000)); // every VM has passed on a response with the limit
    const auto before = server.arrivals().size();
    served = 0;
    constexpr auto window = seconds(4);
    sendFor(window);
    const auto arrivals = static_cast<double>(server.arrivals().size() - before);
    CHECK(arrivals <= 1.5 * limit * window.count() + 5.0);
    CHECK(served >= 30); // of 48 that both servers accept
    server.options().limit.clear();
    deployment.server(3).options().limit.clear();
    deployment.runFor(milliseconds(2500)); // requests that wait are served
    served = 0;
    sendFor(milliseconds(1000));
    CHECK(served > 60); // the limit has ended
    deployment.runFor(milliseconds(2500));
}

TEST_CASE("a server that says that it is leaving gets no more requests while the store is down")
{
    auto deployment = Deployment(2);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        REQUIRE(deployment.serves(vm, "/read/1"));
    }
    deployment.store().setFaults({.down = true});
    auto &server = deployment.server(2);
    server.options().leaving = true;
    auto number = 0;
    const auto send = [&] {
        for (std::size_t vm = 0; vm < 2; ++vm) {
            const auto id = std::string("l").append(std::to_string(number++));
            deployment.start(vm, deployment.request("GET", "/read/1", id),
                             [](const HttpOutcome &) {});
        }
        deployment.runFor(milliseconds(20));
        return false;
    };
    deployment.eventually(send, milliseconds(1500));
    const auto before = server.arrivals().size();
    const auto otherBefore = deployment.server(3).arrivals().size();
    deployment.eventually(send, milliseconds(1500));
    CHECK(server.arrivals().size() == before);
    CHECK(deployment.server(3).arrivals().size() > otherBefore);
    deployment.runFor(milliseconds(500));
}

TEST_CASE("a key whose owner says that it is leaving is refused at once while the store is down")
{
    // One of the VMs allocates the owner's slots and does not learn that the owner is leaving.
    for (const auto vm : {std::size_t{0}, std::size_t{1}}) {
        auto deployment = Deployment(2);
        REQUIRE(deployment.serves(0, "/keyed/1"));
        REQUIRE(deployment.serves(1, "/keyed/1"));
        deployment.store().setFaults({.down = true});
        auto &owner = deployment.server(deployment.server(0).holds(40'000) ? 0 : 1);
        owner.options().leaving = true;
        const auto send = [&](const std::string &id) {
            return deployment.send(vm, deployment.request("GET", "/keyed/1", id));
        };
        CHECK(send("a").response.status == 200);
        const auto before = owner.arrivals().size();
        const auto outcome = send("b");
        CHECK(outcome.response.status == 503);
        CHECK(outcome.response.headers.find("retry-after"));
        CHECK(outcome.elapsed < milliseconds(500));
        CHECK(owner.arrivals().size() == before);
    }
}

TEST_CASE("a server that turns a request away for a time gets none from that VM until it is over")
{
    constexpr auto keyedServers = std::size_t{0};
    constexpr auto openServers = std::size_t{2};
    for (const auto first : {keyedServers, openServers}) {
        const auto *target = first == keyedServers ? "/keyed/1" : "/read/1";
        CAPTURE(target);
        auto deployment = Deployment(1);
        REQUIRE(deployment.serves(0, target));
        for (const auto index : {first, first + 1}) {
            deployment.server(index).options().sheds = true;
            deployment.server(index).options().retryAfter = "2.0";
        }
        const auto arrivals = [&] {
            return deployment.server(first).arrivals().size()
                + deployment.server(first + 1).arrivals().size();
        };
        auto number = 0;
        auto longest = Duration::zero();
        const auto send = [&] {
            auto request = deployment.request("GET", target, std::to_string(number++));
            const auto outcome = deployment.send(0, std::move(request));
            CHECK(outcome.response.status == 503);
            longest = std::max(longest, outcome.elapsed);
            return false;
        };
        deployment.eventually(send, milliseconds(500));
        const auto before = arrivals();
        CHECK(before >= 1);
        deployment.eventually(send, milliseconds(1200));
        CHECK(arrivals() - before <= 2);
        CHECK(longest < milliseconds(500)); // refused at once: another VM may send the request
        for (const auto index : {first, first + 1}) {
            deployment.server(index).options().sheds = false;
        }
        CHECK(deployment.serves(0, target));
    }
}
