#include "daemon/controller_driver.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace figlanding {

namespace {

constexpr milliseconds tickInterval{25};
constexpr milliseconds serverRequestTimeout{400};

} // namespace

auto postCommand(HttpClient &client, const SocketAddress &address, const char *path,
                 std::string body, std::function<void()> onAcknowledged) -> void
{
    client.call(address, {.method = "POST", .target = path, .body = std::move(body)},
                {.timeout = serverRequestTimeout,
                 .connectTimeout = serverRequestTimeout,
                 .freshConnection = true},
                [acknowledge = std::move(onAcknowledged)](const HttpOutcome &outcome) {
                    if (outcome.verdict == Verdict::Ran && outcome.response.status == 200) {
                        acknowledge();
                    }
                });
}

ControllerDriver::ControllerDriver(EventLoop &loop, HttpClient &client, ControllerOptions options,
                                   ControllerDriverHandlers handlers)
    : m_loop(loop)
    , m_client(client)
    , m_handlers(std::move(handlers))
    , m_controller(std::move(options))
    , m_timer(loop, [this] { tick(); })
{
    m_timer.startRepeating(tickInterval);
}

auto ControllerDriver::tick() -> void
{
    const auto now = m_loop.now();
    m_controller.onReport(m_handlers.ownReport(), now);
    for (const auto &action : m_controller.tick(m_handlers.view(), now)) {
        std::visit([this](const auto &value) { run(value); }, action);
    }
}

auto ControllerDriver::run(const AppendRecord &action) -> void
{
    m_handlers.append(action.record);
}

template <typename Command>
auto ControllerDriver::sendCommand(const char *path, const Command &command,
                                   std::function<void()> onAcknowledged) -> void
{
    const auto &servers = m_handlers.view().state.servers;
    const auto found = servers.find(command.server);
    if (found == servers.end()) {
        return;
    }
    const auto body = nlohmann::json{{"service", command.service.value()},
                                     {"fence", command.fence},
                                     {"shards", command.shards},
                                     {"keys", command.keys}};
    postCommand(m_client, found->second.object.address, path, body.dump(),
                std::move(onAcknowledged));
}

auto ControllerDriver::run(const RevokeShards &action) -> void
{
    sendCommand("/figlanding/revoke", action,
                [this, command = ServerCommand{action.server, action.service, action.fence}] {
                    m_controller.onRevoked(command);
                    tick();
                });
}

auto ControllerDriver::run(const GrantShards &action) -> void
{
    sendCommand("/figlanding/grant", action,
                [this, command = ServerCommand{action.server, action.service, action.fence}] {
                    m_controller.onGranted(command);
                });
}

auto ControllerDriver::run(const ProbeServer &action) -> void
{
    const auto &servers = m_handlers.view().state.servers;
    const auto found = servers.find(action.server);
    if (found == servers.end()) {
        return;
    }
    m_client.call(found->second.object.address, {.method = "GET", .target = "/figlanding/health"},
                  {.timeout = serverRequestTimeout, .connectTimeout = serverRequestTimeout},
                  [this, server = action.server](const HttpOutcome &outcome) {
                      m_controller.onProbe(server, outcome.verdict == Verdict::Ran, m_loop.now());
                  });
}

} // namespace figlanding
