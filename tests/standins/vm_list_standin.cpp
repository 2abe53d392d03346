#include "standins/vm_list_standin.h"

#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

namespace figlanding::standins {

VmListStandin::VmListStandin(EventLoop &loop, VmListStandinOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_visibleVms(m_options.vms)
    , m_lagTimer(loop, [this] { m_visibleVms = m_pendingVms; })
{ }

VmListStandin::~VmListStandin() = default;

auto VmListStandin::start() -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop, {.address = m_options.address},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    return {};
}

auto VmListStandin::port() const -> std::uint16_t
{
    return m_server->port();
}

auto VmListStandin::handle(HttpExchange exchange) -> void
{
    const auto path = pathOf(exchange.request().target);
    if (path == "/standin/vms") {
        handleVms(exchange);
    } else if (path == "/standin/fault") {
        handleFault(exchange);
    } else if (m_unavailable) {
        exchange.respond(problemResponse(503, "VM list unavailable", "the service is down"));
    } else if (path == "/v1/vms") {
        exchange.respond(jsonResponse(200, "{\"vms\":" + m_visibleVms + "}"));
    } else {
        exchange.respond(problemResponse(404, "Unknown path", path));
    }
}

auto VmListStandin::handleVms(HttpExchange &exchange) -> void
{
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded() || !json.contains("vms") || !json["vms"].is_array()) {
        exchange.respond(problemResponse(400, "Invalid list", "\"vms\" must be an array"));
        return;
    }
    m_pendingVms = json["vms"].dump();
    const auto lag = milliseconds(json.value("lag_ms", 0));
    if (lag.count() == 0) {
        m_lagTimer.stop();
        m_visibleVms = m_pendingVms;
    } else {
        m_lagTimer.startOnce(lag);
    }
    exchange.respond(jsonResponse(200, "{}"));
}

auto VmListStandin::handleFault(HttpExchange &exchange) -> void
{
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded()) {
        exchange.respond(problemResponse(400, "Invalid faults", "not a JSON object"));
        return;
    }
    m_unavailable = json.value("down", false);
    exchange.respond(jsonResponse(200, "{}"));
}

} // namespace figlanding::standins
