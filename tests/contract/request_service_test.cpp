#include "gateway/request_path.h"
#include "http_protocol.h"
#include "standins/platform_server.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::platform::HttpProtocol;

namespace {

const auto lessons = ServiceId("lessons");
const auto archive = ServiceId("archive");
const auto brokerVm = VmId("broker");

template <typename Start>
auto succeeds(Start attempt) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [](const Error &) { return false; });
}

// A VM with one route, to the service lessons. Another VM grants the slots, as the test says.
class VmWithRoute
{
public:
    VmWithRoute()
    {
        REQUIRE(succeeds([&] { return lessonServer.start(); }));
        REQUIRE(succeeds([&] { return archiveServer.start(); }));
        addServer("lessons-1", lessons, lessonServer.address());
        addServer("archive-1", archive, archiveServer.address());
        auto broker = FleetMember{.vm = brokerVm};
        broker.lastMessageAt = m_loop.now();
        broker.capacity = 1000.0;
        m_view.recordMessage(broker);
        m_slots.setServers(m_registry, {});
        REQUIRE(succeeds([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(m_server,
                              HttpServer::listen(m_loop, {.address = {"127.0.0.1", 0}},
                                                 [this](HttpExchange exchange) {
                                                     m_path.handle(std::move(exchange));
                                                 }));
            return {};
        }));
    }

    // Sends a request, grants a slot of each server in turn, and returns the final status.
    auto send(std::vector<std::string> granted) -> int
    {
        m_granted = std::move(granted);
        auto status = std::optional<int>{};
        m_client.call({"127.0.0.1", m_server->port()},
                      {.method = "GET",
                       .target = "/read/",
                       .headers = {{"host", "x.example"}, {"x-request-id", "1"}}},
                      {.timeout = milliseconds(5000)}, [&](const HttpOutcome &outcome) {
                          status = outcome.response.status;
                          m_loop.stop();
                      });
        auto tick = Timer(m_loop, [this] { m_path.tick(m_loop.now()); });
        tick.startRepeating(milliseconds(5));
        m_loop.run();
        return status.value_or(0);
    }

    std::string responseProcess = "p"; ///< empty as in responses of VMs of earlier releases
    std::vector<SlotEnd> releases;
    std::vector<std::string> otherService;

private:
    EventLoop m_loop;

public:
    PlatformServer lessonServer{m_loop, {.id = "lessons-1"}};
    PlatformServer archiveServer{m_loop, {.id = "archive-1"}};

private:
    auto addServer(const char *id, const ServiceId &service, const SocketAddress &address) -> void
    {
        m_registry.announce({.id = BackendServerId(id),
                             .startedUnixMs = 1,
                             .service = service,
                             .address = address,
                             .slots = 4},
                            m_loop.now());
    }

    auto onSent(const FleetPayload &payload) -> void
    {
        if (const auto *release = std::get_if<SlotRelease>(&payload)) {
            releases.push_back(release->end);
        }
        const auto *acquire = std::get_if<SlotAcquire>(&payload);
        if (acquire == nullptr || m_granted.empty()) {
            return;
        }
        auto response = SlotResponse{.ticket = acquire->ticket, .process = responseProcess};
        response.state = SlotState::Granted;
        response.server = {.server = BackendServerId(m_granted.front()), .startedUnixMs = 1};
        m_granted.erase(m_granted.begin());
        m_slots.onMessage({.from = brokerVm, .incarnation = "b", .payload = response},
                          m_loop.now());
    }

    HttpClient m_client{m_loop, {}};
    ServerRegistry m_registry;
    std::vector<std::string> m_granted;
    FleetView m_view{VmId("vm"), 0.001, {}};
    TeamLimits m_limits{{}};
    std::shared_ptr<const DesiredStateIndex> m_state = std::make_shared<DesiredStateIndex>(
        DesiredState{.routes = {{.id = RouteId("read"),
                                 .host = "x.example",
                                 .pathPrefix = "/read/",
                                 .repeatability = Repeatability::Idempotent,
                                 .timeout = milliseconds(2000),
                                 .open = true,
                                 .services = {{.service = lessons}}}},
                     .services = {{.id = lessons}, {.id = archive}}});
    SlotClient m_slots{
        {.self = VmId("vm"), .process = "p"},
        m_view,
        {.send = [this](const VmId &, const FleetPayload &payload) { onSent(payload); },
         .onDecision = [this](auto request,
                              const auto &outcome) { m_path.onSlotDecision(request, outcome); },
         .onConflict = [](const TicketConflict &) {}}};
    RequestPath<HttpProtocol> m_path{
        m_loop,
        m_client,
        m_slots,
        m_limits,
        {},
        {.state = [this] { return m_state; },
         .registry = [this]() -> const ServerRegistry & { return m_registry; },
         .owner = [](const auto &, auto) { return ServerIncarnation{}; },
         .onKey = [](const auto &, auto) {},
         .fleetSize = [] { return 2.0; },
         .onStaleOwner = [] {},
         .onOtherService =
             [this](const RequestRecord &, const ServerEntry &server) {
                 otherService.push_back(server.id.value());
             },
         .onEnd = [](const RequestRecord &) {}}};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

TEST_CASE("a request is not sent to a server of another service, whatever slot it is granted")
{
    auto vm = VmWithRoute();
    CHECK(vm.send({"archive-1", "lessons-1"}) == 200);
    CHECK(vm.archiveServer.runs().empty());
    CHECK(vm.lessonServer.runs().size() == 1);
    CHECK(vm.otherService == std::vector<std::string>{"archive-1"});
    CHECK(vm.releases == std::vector<SlotEnd>{SlotEnd::Abandoned, SlotEnd::Served});
}

TEST_CASE("a slot of another service that a VM of an earlier release grants is not used")
{
    auto vm = VmWithRoute();
    vm.responseProcess.clear();
    CHECK(vm.send({"archive-1", "lessons-1"}) == 200);
    CHECK(vm.archiveServer.runs().empty());
    CHECK(vm.lessonServer.runs().size() == 1);
    CHECK(vm.releases == std::vector<SlotEnd>{SlotEnd::Abandoned, SlotEnd::Served});
}
