#include "gateway_deployment.h"

#include "gateway/datagram_socket.h"
#include "run_until.h"

#include <doctest/doctest.h>

#include <random>
#include <utility>

namespace figlanding::standins {

GatewayDeployment::GatewayDeployment(int vms, milliseconds gracePeriod, std::string vmPrefix,
                                     double trialShare)
    : m_gracePeriod(gracePeriod)
    , m_vmPrefix(std::move(vmPrefix))
    , m_trialShare(trialShare)
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

auto GatewayDeployment::runUntil(const std::function<bool()> &condition, milliseconds limit) -> bool
{
    return testing::runUntil(m_loop, condition, limit);
}

auto GatewayDeployment::send(std::size_t vm, HttpRequest request) -> HttpOutcome
{
    const auto result = std::make_shared<std::optional<HttpOutcome>>();
    start(vm, std::move(request), [result](HttpOutcome outcome) { *result = std::move(outcome); });
    runUntil([&] { return result->has_value(); });
    return result->value_or(HttpOutcome{});
}

auto GatewayDeployment::start(std::size_t vm, HttpRequest request, HttpClient::Callback callback)
    -> void
{
    m_client.call(m_callers.at(vm), std::move(request), {.timeout = milliseconds(5000)},
                  std::move(callback));
}

auto GatewayDeployment::startReports(std::size_t vm, std::size_t count)
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

auto GatewayDeployment::request(const std::string &method, const std::string &target,
                                const std::string &id, const std::string &key) const -> HttpRequest
{
    return {.method = method,
            .target = target,
            .headers = {{"host", "x.example"},
                        {"x-request-id", id},
                        {"x-credential", key},
                        {"x-shard-key", "40000"},
                        {"x-deadline-ms", "2000"}}};
}

auto GatewayDeployment::serves(std::size_t vm, const std::string &target) -> bool
{
    return eventually([&] {
        return send(vm, request("GET", target, std::to_string(m_number++))).response.status == 200;
    });
}

auto GatewayDeployment::eventually(const std::function<bool()> &attempt, milliseconds limit) -> bool
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

auto GatewayDeployment::runFor(milliseconds span) -> void
{
    runUntil([] { return false; }, span);
}

auto GatewayDeployment::callers(std::size_t vm) const -> const SocketAddress &
{
    return m_callers.at(vm);
}

auto GatewayDeployment::store() -> PlatformStore &
{
    return m_store;
}

auto GatewayDeployment::server(std::size_t index) -> PlatformServer &
{
    return *m_servers.at(index).server;
}

auto GatewayDeployment::vm(std::size_t index) -> std::unique_ptr<Vm> &
{
    return m_vms.at(index);
}

auto GatewayDeployment::drain(std::size_t index) -> void
{
    m_servers.at(index).draining = true;
    announce();
}

auto GatewayDeployment::succeeds(const std::function<Result<void>()> &attempt) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [](const Error &error) {
            MESSAGE(error.detail);
            return false;
        });
}

auto GatewayDeployment::freeAddress() -> SocketAddress
{
    // Below the ephemeral ports: a connection of another process cannot take the port meanwhile.
    constexpr auto firstPort = 20'000U;
    constexpr auto ports = 10'000U;
    static auto next = std::random_device{}() % ports;
    for (;;) {
        next = (next + 1) % ports;
        auto address =
            SocketAddress{.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(firstPort + next)};
        const auto isFree = valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(listenOn(address));
                BOOST_LEAF_CHECK(DatagramSocket::bind(m_loop, address, [](auto, const auto &) {}));
                return true;
            },
            [](const Error &) { return false; });
        if (isFree) {
            return address;
        }
    }
}

auto GatewayDeployment::startVm() -> void
{
    const auto name = m_vmPrefix + std::to_string(m_vms.size());
    const auto settings = GatewaySettings{.vm = VmId(name),
                                          .zone = AvailabilityZoneId("a"),
                                          .callers = freeAddress(),
                                          .readiness = freeAddress(),
                                          .admin = freeAddress(),
                                          .fleet = freeAddress(),
                                          .store = m_store.address(),
                                          .gracePeriod = m_gracePeriod,
                                          .trialShare = m_trialShare};
    m_callers.push_back(settings.callers);
    m_vms.push_back(std::make_unique<Vm>(m_loop, settings));
    REQUIRE(succeeds([&] { return m_vms.back()->start(); }));
}

auto GatewayDeployment::addServer(const std::string &id, const std::string &service, bool keyed)
    -> void
{
    auto server =
        std::make_unique<PlatformServer>(m_loop, PlatformServerOptions{.id = id, .keyed = keyed});
    REQUIRE(succeeds([&] { return server->start(); }));
    m_servers.push_back({.server = std::move(server), .id = id, .service = service});
}

auto GatewayDeployment::announce() -> void
{
    m_sequence += 1;
    for (const auto &entry : m_servers) {
        m_store.put("keyed.servers", entry.id,
                    entry.server->entry(entry.service, "a", m_sequence, entry.draining));
    }
}

auto statusOf(const std::optional<HttpOutcome> &outcome) -> int
{
    return outcome && outcome->verdict == Verdict::Ran ? outcome->response.status : 0;
}

} // namespace figlanding::standins
