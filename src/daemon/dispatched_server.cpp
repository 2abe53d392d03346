#include "daemon/dispatched_server.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace figlanding {

namespace {

constexpr milliseconds probeTimeout{400};
constexpr unsigned failuresToSuspect = 2;
constexpr int statusOk = 200;
/// Only responses to requests have it.
constexpr std::string_view requestIdHeader = "figlanding-request-id";

auto admissionOptionsOf(const BackendServer &server) -> AdmissionOptions
{
    return {.slots = server.slots, .maxConnections = server.maxConnections};
}

} // namespace

DispatchedServer::DispatchedServer(EventLoop &loop, HttpClient &client, const BackendServer &server,
                                   const Timing &timing, DispatchedServerHandlers handlers)
    : m_loop(loop)
    , m_client(client)
    , m_server(server)
    , m_timing(timing)
    , m_handlers(std::move(handlers))
    , m_admission(admissionOptionsOf(server))
    , m_timer(loop, [this] { probe(); })
{
    m_timer.startRepeating(timing.probeInterval);
    probe();
}

DispatchedServer::~DispatchedServer()
{
    if (m_probe) {
        m_client.cancel(*m_probe);
    }
}

auto DispatchedServer::update(const BackendServer &server) -> void
{
    m_server = server;
    m_admission.setLimits(server.slots, server.maxConnections);
}

auto DispatchedServer::suspected() const -> bool
{
    return m_failures >= failuresToSuspect;
}

auto DispatchedServer::probe() -> void
{
    if (m_probe) {
        return;
    }
    HttpRequest request{.method = "GET", .target = "/figlanding/health"};
    if (m_server.checksFence && m_handlers.mayRenewLease()) {
        request.method = "POST";
        request.target = "/figlanding/lease";
        request.body = nlohmann::json{{"offset", m_handlers.appliedOffset()},
                                      {"lease_ms", m_timing.serverLease.count()}}
                           .dump();
    }
    m_probe = m_client.call(m_server.address, std::move(request),
                            {.timeout = probeTimeout, .connectTimeout = probeTimeout},
                            [this](const HttpOutcome &outcome) { onOutcome(outcome); });
}

auto DispatchedServer::onOutcome(const HttpOutcome &outcome) -> void
{
    m_probe.reset();
    if (outcome.verdict != Verdict::Ran) {
        recordFailure(outcome.verdict == Verdict::NotRun);
        return;
    }
    m_failures = 0;
    // Probes use the connections of requests. A late copy of the response to one shows that the
    // server runs, but does not tell its state.
    if (outcome.response.status != statusOk || outcome.response.headers.find(requestIdHeader)) {
        return;
    }
    const auto body = nlohmann::json::parse(outcome.response.body, nullptr, false);
    if (!body.is_object()) {
        return;
    }
    if (const auto bootId = body.find("boot_id"); bootId != body.end() && bootId->is_string()) {
        recordBootId(bootId->get<std::string>());
    }
    if (const auto phase = body.find("phase"); phase != body.end() && *phase == "cold") {
        m_admission.ramp().onColdReport(m_loop.now());
    }
}

auto DispatchedServer::recordFailure(bool refused) -> void
{
    // A refused connection shows that the process is gone, so one is enough to suspect the server.
    m_failures += refused ? failuresToSuspect : 1;
    if (refused && !m_bootId.empty()) {
        m_handlers.onCrash(std::exchange(m_bootId, {}));
    }
}

auto DispatchedServer::recordBootId(const std::string &bootId) -> void
{
    m_admission.ramp().onBootId(bootId, m_loop.now());
    const auto previous = std::exchange(m_bootId, bootId);
    if (!previous.empty() && previous != bootId) {
        m_handlers.onCrash(previous);
    }
    m_handlers.onProbeResponse(bootId);
}

} // namespace figlanding
