#include "standins/fleet.h"

#include "figlanding/codec.h"

#include <nlohmann/json.hpp>

#include <filesystem>

namespace figlanding::standins {

namespace {

constexpr milliseconds startLimit{20000};
constexpr milliseconds callLimit{2000};
constexpr auto peerSecret = "00112233445566778899aabbccddeeff";

auto loopback(std::uint16_t port) -> std::string
{
    return std::string("127.0.0.1:").append(std::to_string(port));
}

auto postJson(std::uint16_t port, const std::string &target, const nlohmann::json &body)
    -> HttpOutcome
{
    return callAndWait({"127.0.0.1", port},
                       {.method = "POST", .target = target, .body = body.dump()},
                       {.timeout = callLimit});
}

auto allOwned(const nlohmann::json &state, const Deployment &deployment) -> bool
{
    for (const auto &service : deployment.services) {
        if (service.mode != ServiceMode::Exclusive) {
            continue;
        }
        const auto &services = state["assignments"];
        if (!services.contains(service.name) || services[service.name]["unowned"] != 0
            || services[service.name]["moving"] != 0) {
            return false;
        }
    }
    return true;
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
{ }

auto Fleet::start(FleetOptions options) -> Result<std::unique_ptr<Fleet>>
{
    auto fleet = std::unique_ptr<Fleet>(new Fleet(std::move(options)));
    BOOST_LEAF_CHECK(fleet->startPlatform());
    BOOST_LEAF_CHECK(fleet->startServers());
    BOOST_LEAF_CHECK(fleet->startVms());
    auto ports = std::vector<std::uint16_t>{};
    for (const auto &server : fleet->m_servers) {
        ports.push_back(server.proxy.port);
    }
    BOOST_LEAF_CHECK(fleet->declare(declarationsOf(fleet->m_options.deployment, ports)));
    return fleet;
}

auto Fleet::startProcess(const std::string &name, const std::string &program,
                         const std::vector<std::string> &arguments)
    -> Result<std::unique_ptr<Process>>
{
    BOOST_LEAF_AUTO(process,
                    Process::start({.name = name,
                                    .program = programPath(program),
                                    .arguments = arguments,
                                    .directory = m_options.directory}));
    return std::make_unique<Process>(std::move(process));
}

auto Fleet::startPlatform() -> Result<void>
{
    m_logPort = freePort();
    m_vmListPort = freePort();
    BOOST_LEAF_ASSIGN(m_log,
                      startProcess("log", "log-standin", {"--port", std::to_string(m_logPort)}));
    BOOST_LEAF_ASSIGN(
        m_vmList,
        startProcess("vm-list", "vm-list-standin", {"--port", std::to_string(m_vmListPort)}));
    BOOST_LEAF_CHECK(m_log->waitForLine("listening", startLimit));
    BOOST_LEAF_CHECK(m_vmList->waitForLine("listening", startLimit));
    return {};
}

auto Fleet::startProxy(const std::string &name, std::uint16_t target) -> Result<Proxy>
{
    auto proxy = Proxy{.port = freePort(), .adminPort = freePort()};
    BOOST_LEAF_ASSIGN(
        proxy.process,
        startProcess(name, "fault-proxy",
                     {"--port", std::to_string(proxy.port), "--admin-port",
                      std::to_string(proxy.adminPort), "--target", std::to_string(target)}));
    BOOST_LEAF_CHECK(proxy.process->waitForLine("listening", startLimit));
    return proxy;
}

auto Fleet::startServers() -> Result<void>
{
    for (std::size_t index = 0; index < m_options.deployment.servers.size(); ++index) {
        auto &server = m_servers.emplace_back();
        server.port = freePort();
        BOOST_LEAF_CHECK(startServer(index, milliseconds(0)));
        const auto &id = m_options.deployment.servers.at(index).id;
        BOOST_LEAF_ASSIGN(server.proxy, startProxy(id + "-proxy", server.port));
    }
    return {};
}

auto Fleet::startServer(std::size_t index, milliseconds coldTime) -> Result<void>
{
    const auto &declared = m_options.deployment.servers.at(index);
    auto &server = m_servers.at(index);
    auto arguments = std::vector<std::string>{
        "--id",         declared.id,
        "--port",       std::to_string(server.port),
        "--slots",      std::to_string(declared.slots),
        "--service-ms", std::to_string(declared.serviceMs),
        "--probe-us",   std::to_string(declared.probeUs),
        "--cold-ms",    std::to_string(coldTime.count()),
        "--history",    m_options.directory + "/" + declared.id + ".history"};
    if (declared.checksFence) {
        arguments.emplace_back("--checks-fence");
    }
    BOOST_LEAF_ASSIGN(server.process,
                      startProcess(declared.id, "backend-server-standin", arguments));
    BOOST_LEAF_CHECK(server.process->waitForLine("listening", startLimit));
    return {};
}

auto Fleet::startVms() -> Result<void>
{
    const auto &zones = m_options.deployment.zones;
    for (std::size_t index = 0; index < m_options.deployment.vms; ++index) {
        auto &vm = m_vms.emplace_back();
        vm.name = std::string("vm-").append(std::to_string(index + 1));
        vm.callerPort = freePort();
        vm.peerPort = freePort();
        vm.adminPort = freePort();
        vm.settingsFile = m_options.directory + "/" + vm.name + ".json";
        BOOST_LEAF_ASSIGN(vm.logProxy, startProxy(vm.name + "-log-proxy", m_logPort));
        const auto &zone = zones.at(index % zones.size());
        BOOST_LEAF_CHECK(writeFile(vm.settingsFile, settingsOf(vm, zone)));
    }
    publishVmList();
    for (auto &vm : m_vms) {
        BOOST_LEAF_CHECK(startVm(vm));
    }
    return {};
}

auto Fleet::settingsOf(const Vm &vm, const std::string &zone) const -> std::string
{
    const auto settings = nlohmann::json{{"vm", {{"name", vm.name}, {"zone", zone}}},
                                         {"listen",
                                          {{"callers", loopback(vm.callerPort)},
                                           {"peers", loopback(vm.peerPort)},
                                           {"admin", loopback(vm.adminPort)}}},
                                         {"peers", nlohmann::json::array()},
                                         {"log",
                                          {{"address", loopback(vm.logProxy.port)},
                                           {"reads_are_fresh", m_options.logReadsAreFresh}}},
                                         {"vm_list", {{"address", loopback(m_vmListPort)}}},
                                         {"peer_secret", peerSecret},
                                         {"logging", {{"level", "info"}}}};
    return settings.dump(2);
}

auto Fleet::startVm(Vm &vm) -> Result<void>
{
    BOOST_LEAF_ASSIGN(vm.process,
                      startProcess(vm.name, "figlandingd", {"--config", vm.settingsFile}));
    return {};
}

auto Fleet::publishVmList() -> void
{
    auto vms = nlohmann::json::array();
    const auto &zones = m_options.deployment.zones;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        vms.push_back({{"vm", m_vms.at(index).name},
                       {"zone", zones.at(index % zones.size())},
                       {"peer_address", loopback(m_vms.at(index).peerPort)},
                       {"state", "live"}});
    }
    postJson(m_vmListPort, "/standin/vms", {{"vms", vms}});
}

auto Fleet::declare(const std::vector<DeclaredObject> &objects) -> Result<void>
{
    auto change = ConfigChange{.author = "test", .reason = "deployment"};
    for (const auto &object : objects) {
        change.changes.push_back({.ref = refOf(object), .object = object});
    }
    return append(std::move(change));
}

auto Fleet::remove(const ObjectRef &ref) -> Result<void>
{
    auto change = ConfigChange{.author = "test", .reason = "removal"};
    change.changes.push_back({.ref = ref});
    return append(std::move(change));
}

auto Fleet::append(ConfigChange change) -> Result<void>
{
    const auto record = Record{.id = {.writer = "test", .sequence = m_nextSequence++},
                               .payload = std::move(change)};
    const auto outcome = postJson(m_logPort, "/v1/append", toJson(record));
    constexpr auto statusOk = 200;
    if (outcome.verdict != Verdict::Ran || outcome.response.status != statusOk) {
        return fail(ErrorCode::LogUnavailable, outcome.response.body);
    }
    return {};
}

auto Fleet::waitReady(milliseconds limit) -> Result<void>
{
    const auto ready = waitUntil(
        [this] {
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                const auto state = stateOf(index);
                if (!isReady(index) || !state || !allOwned(*state, m_options.deployment)) {
                    return false;
                }
            }
            return true;
        },
        limit);
    if (ready) {
        return {};
    }
    auto detail = std::string("fleet did not become ready; state of each VM:");
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        const auto state = stateOf(index);
        detail += "\n" + m_vms.at(index).name + ": "
            + (state ? state->dump()
                     : "no response; standard error: " + m_vms.at(index).process->errors());
    }
    return fail(ErrorCode::Timeout, detail);
}

auto Fleet::callerAddresses() const -> std::vector<SocketAddress>
{
    auto addresses = std::vector<SocketAddress>{};
    for (const auto &vm : m_vms) {
        addresses.push_back({"127.0.0.1", vm.callerPort});
    }
    return addresses;
}

auto Fleet::restartVm(std::size_t index) -> Result<void>
{
    return startVm(m_vms.at(index));
}

auto Fleet::restartServer(std::size_t index, milliseconds coldTime) -> Result<void>
{
    return startServer(index, coldTime);
}

auto Fleet::setLogFaults(const nlohmann::json &faults) -> void
{
    postJson(m_logPort, "/standin/fault", faults);
}

auto Fleet::setLogLinkFaults(std::size_t vmIndex, const nlohmann::json &faults) -> void
{
    postJson(m_vms.at(vmIndex).logProxy.adminPort, "/standin/fault", faults);
}

auto Fleet::setServerLinkFaults(std::size_t serverIndex, const nlohmann::json &faults) -> void
{
    postJson(m_servers.at(serverIndex).proxy.adminPort, "/standin/fault", faults);
}

auto Fleet::setServerFaults(std::size_t serverIndex, const nlohmann::json &faults) -> void
{
    postJson(m_servers.at(serverIndex).port, "/standin/fault", faults);
}

auto Fleet::stateOf(std::size_t vmIndex) -> std::optional<nlohmann::json>
{
    const auto outcome = callAndWait({"127.0.0.1", m_vms.at(vmIndex).adminPort},
                                     {.target = "/v1/state"}, {.timeout = callLimit});
    auto state = nlohmann::json::parse(outcome.response.body, nullptr, false);
    if (outcome.verdict != Verdict::Ran || !state.is_object()) {
        return std::nullopt;
    }
    return state;
}

auto Fleet::isReady(std::size_t vmIndex) -> bool
{
    constexpr auto statusOk = 200;
    const auto outcome = callAndWait({"127.0.0.1", m_vms.at(vmIndex).adminPort},
                                     {.target = "/readyz"}, {.timeout = callLimit});
    return outcome.verdict == Verdict::Ran && outcome.response.status == statusOk;
}

auto Fleet::histories() const -> Result<Histories>
{
    auto histories = Histories{};
    for (const auto &entry : std::filesystem::directory_iterator(m_options.directory)) {
        if (entry.path().extension() == ".history") {
            BOOST_LEAF_CHECK(addHistory(histories, readFile(entry.path().string())));
        }
    }
    return histories;
}

} // namespace figlanding::standins
