#include "standins/backend_server_standin.h"

#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <thread>

namespace figlanding::standins {

namespace {

constexpr double coldServiceTimeFactor = 2.0; ///< multiplies the service time in the cold phase
constexpr int crashExitCode = 134;
constexpr std::int64_t nsPerMs = 1'000'000;

auto headerOf(const HttpRequest &request, std::string_view name) -> std::string
{
    return std::string(request.headers.find(name).value_or(""));
}

auto numberOf(const HttpRequest &request, std::string_view name) -> std::optional<std::int64_t>
{
    const auto text = request.headers.find(name);
    auto number = std::int64_t{0};
    if (!text
        || std::from_chars(text->data(), text->data() + text->size(), number).ptr == text->data()) {
        return std::nullopt;
    }
    return number;
}

auto unsignedOf(const HttpRequest &request, std::string_view name) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, numberOf(request, name).value_or(0)));
}

auto notRun(int status, std::string_view detail) -> HttpResponse
{
    auto response = problemResponse(status, "Not run", detail);
    response.headers.add("figlanding-not-run", "true");
    return response;
}

} // namespace

/// A request in execution, which occupies a slot.
struct BackendServerStandin::RunningRequest
{
    RunningRequest(EventLoop &loop, HttpExchange handle, std::uint64_t number,
                   std::function<void()> onTimer)
        : exchange(std::move(handle))
        , sequence(number)
        , timer(loop, std::move(onTimer))
    { }

    HttpExchange exchange;
    std::uint64_t sequence;
    Timer timer;
    std::optional<TimePoint> deadline;
};

BackendServerStandin::BackendServerStandin(EventLoop &loop, BackendServerOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_bootId(randomHex())
    , m_history(m_options.id, m_bootId)
    , m_proxy(loop, {.address = m_options.address, .connectionCost = m_options.connectionCost})
    , m_proxyTimer(loop, [this] { m_proxy.apply(nlohmann::json::parse(m_pendingProxyFaults)); })
    , m_coldSince(loop.now())
    , m_coldUntil(m_coldSince + m_options.coldTime)
{ }

BackendServerStandin::~BackendServerStandin() = default;

auto BackendServerStandin::start() -> Result<void>
{
    if (!m_options.historyFile.empty()) {
        BOOST_LEAF_CHECK(m_history.appendTo(m_options.historyFile));
    }
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop, {.address = {"127.0.0.1", 0}},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    m_proxy.setTarget({"127.0.0.1", m_server->port()});
    return m_proxy.start();
}

auto BackendServerStandin::port() const -> std::uint16_t
{
    return m_proxy.port();
}

auto BackendServerStandin::handle(HttpExchange exchange) -> void
{
    const auto path = std::string(pathOf(exchange.request().target));
    if (path == "/standin/fault") {
        handleFault(exchange);
    } else if (path == "/standin/history") {
        exchange.respond({.body = m_history.text()});
    } else if (m_faults.holdRequests) {
        m_heldRequests.push_back(std::move(exchange));
    } else if (path == "/figlanding/health") {
        std::this_thread::sleep_for(m_options.probeCost);
        exchange.respond(health());
    } else if (path.rfind("/figlanding/", 0) == 0) {
        handleControlRequest(path, exchange);
    } else {
        run(std::move(exchange));
    }
}

auto BackendServerStandin::handleControlRequest(const std::string &path, HttpExchange &exchange)
    -> void
{
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded()) {
        exchange.respond(problemResponse(400, "Invalid order", "not a JSON object"));
    } else if (path == "/figlanding/cancel") {
        handleCancel(json, exchange);
    } else if (path == "/figlanding/lease") {
        handleLease(json, exchange);
    } else if (path == "/figlanding/grant" || path == "/figlanding/revoke") {
        const auto isGrant = path == "/figlanding/grant";
        const auto applied = isGrant ? m_fences.grant(json) : m_fences.revoke(json);
        exchange.respond(applied ? jsonResponse(200, "{}")
                                 : problemResponse(409, "Stale fence", json.dump()));
    } else {
        exchange.respond(problemResponse(404, "Unknown path", path));
    }
}

auto BackendServerStandin::handleLease(const nlohmann::json &json, HttpExchange &exchange) -> void
{
    const auto until = m_loop.now() + milliseconds(json.at("lease_ms").get<int>());
    if (m_fences.renewLease(json.at("offset"), until)) {
        exchange.respond(health());
    } else {
        exchange.respond(problemResponse(409, "Stale offset", json.dump()));
    }
}

auto BackendServerStandin::handleCancel(const nlohmann::json &json, HttpExchange &exchange) -> void
{
    const auto requestId = json.value("request_id", "");
    const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const auto &running) {
        return headerOf(running->exchange.request(), "figlanding-request-id") == requestId;
    });
    const auto cancelled = found != m_running.end();
    if (cancelled) {
        m_history.end((*found)->sequence, "cancelled");
        (*found)->exchange.respond(problemResponse(503, "Cancelled", "the request was cancelled"));
        m_running.erase(found);
    }
    exchange.respond(jsonResponse(200, nlohmann::json{{"cancelled", cancelled}}.dump()));
}

auto BackendServerStandin::handleFault(HttpExchange &exchange) -> void
{
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded()) {
        exchange.respond(problemResponse(400, "Invalid faults", "not a JSON object"));
        return;
    }
    applyFaults(json);
    exchange.respond(jsonResponse(200, "{}"));
    if (json.contains("proxy")) {
        // Delayed, because these faults may close the connection that carries this response.
        constexpr milliseconds proxyFaultDelay{5};
        m_pendingProxyFaults = json["proxy"].dump();
        m_proxyTimer.startOnce(proxyFaultDelay);
    }
}

auto BackendServerStandin::applyFaults(const nlohmann::json &json) -> void
{
    m_faults = {.serviceTimeFactor = json.value("straggler", 1.0),
                .holdRequests = json.value("silent", false),
                .dropResponses = json.value("drop_answers", 0),
                .swapResponses = json.value("crossed_answers", 0),
                .healthPatch = json.contains("health") ? json["health"].dump() : ""};
    m_draining = json.value("draining", false);
    if (json.contains("cold_ms")) {
        m_coldSince = m_loop.now();
        m_coldUntil = m_coldSince + milliseconds(json["cold_ms"].get<int>());
        m_coldReportedAt.reset();
    }
    if (!m_faults.holdRequests) {
        for (auto &exchange : std::exchange(m_heldRequests, {})) {
            handle(std::move(exchange));
        }
    }
}

auto BackendServerStandin::isCold() const -> bool
{
    return m_loop.now() < m_coldUntil;
}

auto BackendServerStandin::health() -> HttpResponse
{
    const auto now = m_loop.now();
    if (m_cachedHealth.empty() || now - m_healthCachedAt >= m_options.healthCacheTime) {
        const auto *const phase = m_draining ? "draining" : isCold() ? "cold" : "warm";
        if (isCold() && !m_draining) {
            m_coldReportedAt = m_coldReportedAt.value_or(now);
        }
        const auto current = nlohmann::json{{"boot_id", m_bootId},
                                            {"phase", phase},
                                            {"running", m_running.size()},
                                            {"slots", m_options.slots}};
        m_cachedHealth = current.dump();
        m_healthCachedAt = now;
    }
    if (m_faults.healthPatch.empty()) {
        return jsonResponse(200, m_cachedHealth);
    }
    auto patched = nlohmann::json::parse(m_cachedHealth);
    patched.merge_patch(nlohmann::json::parse(m_faults.healthPatch));
    return jsonResponse(200, patched.dump());
}

auto BackendServerStandin::isAllowed(const HttpRequest &request) const -> bool
{
    const auto service = headerOf(request, "figlanding-service");
    if (!m_options.checksFence || service.empty()) {
        return true;
    }
    const auto fence = unsignedOf(request, "figlanding-fence");
    return m_fences.allows(service, headerOf(request, "figlanding-shard"), fence, m_loop.now());
}

auto BackendServerStandin::describeCold() const -> std::string
{
    const auto now = m_loop.now();
    const auto msSince = [now](TimePoint time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(now - time).count()) + " ms";
    };
    return "cold for " + msSince(m_coldSince)
        + (m_coldReportedAt ? ", reported for " + msSince(*m_coldReportedAt) : ", not reported");
}

auto BackendServerStandin::refusalFor(const HttpRequest &request) -> std::optional<HttpResponse>
{
    if (m_draining) {
        auto response = notRun(503, "the server is draining");
        response.headers.add("retry-after", "1");
        return response;
    }
    if (!isAllowed(request)) {
        return notRun(409, "no current lease and grant for the fence");
    }
    const auto requestId = headerOf(request, "figlanding-request-id");
    if (m_running.size() >= m_options.slots) {
        m_history.addViolation("slots", requestId);
        return notRun(503, "all slots are taken");
    }
    if (isCold() && m_running.size() >= m_options.coldSlots) {
        m_history.addViolation("cold", requestId, describeCold());
    }
    return std::nullopt;
}

auto BackendServerStandin::begin(const HttpRequest &request) -> std::uint64_t
{
    const auto deadline = numberOf(request, "figlanding-deadline-ms");
    return m_history.begin({.requestId = headerOf(request, "figlanding-request-id"),
                            .idempotencyKey = headerOf(request, "idempotency-key"),
                            .method = request.method,
                            .target = request.target,
                            .team = headerOf(request, "figlanding-team"),
                            .service = headerOf(request, "figlanding-service"),
                            .shard = headerOf(request, "figlanding-shard"),
                            .routingKey = headerOf(request, "figlanding-routing-key"),
                            .fence = unsignedOf(request, "figlanding-fence"),
                            .sawAuthorization = request.headers.find("authorization").has_value(),
                            .deadlineNs = deadline ? monotonicNs() + *deadline * nsPerMs : 0});
}

auto BackendServerStandin::run(HttpExchange exchange) -> void
{
    const auto &request = exchange.request();
    if (auto refusal = refusalFor(request)) {
        refusal->headers.add("figlanding-request-id", headerOf(request, "figlanding-request-id"));
        exchange.respond(std::move(*refusal));
        return;
    }
    const auto sequence = begin(request);
    if (headerOf(request, "standin-crash") == "true") {
        std::_Exit(crashExitCode);
    }
    const auto base = static_cast<double>(
        numberOf(request, "standin-service-ms").value_or(m_options.serviceTime.count()));
    const auto factor = m_faults.serviceTimeFactor * (isCold() ? coldServiceTimeFactor : 1.0);
    const auto duration = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(base * factor));
    const auto deadline = numberOf(request, "figlanding-deadline-ms");
    const auto limit = deadline ? Duration(milliseconds(*deadline)) : duration;
    m_running.push_back(nullptr);
    const auto position = std::prev(m_running.end());
    *position = std::make_unique<RunningRequest>(m_loop, exchange, sequence,
                                                 [=, this] { finish(position); });
    if (deadline) {
        (*position)->deadline = m_loop.now() + limit;
    }
    (*position)->timer.startOnce(std::min(duration, limit));
}

/// Checks the deadline and the fence again at the end of a request: the process may have been
/// stopped (SIGSTOP) while the request ran.
auto BackendServerStandin::outcomeOf(const RunningRequest &running) const -> std::string_view
{
    if (running.deadline && m_loop.now() >= *running.deadline) {
        return "deadline";
    }
    return isAllowed(running.exchange.request()) ? "answered" : "fenced";
}

auto BackendServerStandin::finish(std::list<std::unique_ptr<RunningRequest>>::iterator position)
    -> void
{
    auto running = std::move(*position);
    m_running.erase(position);
    const auto outcome = outcomeOf(*running);
    if (outcome != "answered") {
        m_history.end(running->sequence, outcome);
        running->exchange.respond(problemResponse(504, "Stopped", outcome));
        return;
    }
    if (m_faults.dropResponses > 0) {
        --m_faults.dropResponses;
        m_history.end(running->sequence, "answer-lost");
        running->exchange.abort();
        return;
    }
    m_history.end(running->sequence, "answered");
    sendResponse(*running);
}

auto BackendServerStandin::sendResponse(const RunningRequest &running) -> void
{
    auto exchange = running.exchange;
    auto response = responseTo(running);
    if (m_responseToSwap) {
        auto other = std::move(*m_responseToSwap);
        m_responseToSwap.reset();
        std::swap(other.response, response);
        other.exchange.respond(std::move(other.response));
    } else if (m_faults.swapResponses > 0) {
        --m_faults.swapResponses;
        m_responseToSwap = HeldResponse{.exchange = exchange, .response = std::move(response)};
        return;
    }
    exchange.respond(std::move(response));
}

auto BackendServerStandin::responseTo(const RunningRequest &running) const -> HttpResponse
{
    const auto &request = running.exchange.request();
    const auto requestId = headerOf(request, "figlanding-request-id");
    const auto padding = unsignedOf(request, "standin-body-bytes");
    const auto echo = nlohmann::json{{"server", m_options.id},
                                     {"boot_id", m_bootId},
                                     {"sequence", running.sequence},
                                     {"request_id", requestId},
                                     {"team", headerOf(request, "figlanding-team")},
                                     {"service", headerOf(request, "figlanding-service")},
                                     {"shard", headerOf(request, "figlanding-shard")},
                                     {"fence", headerOf(request, "figlanding-fence")},
                                     {"method", request.method},
                                     {"target", request.target},
                                     {"body", request.body},
                                     {"padding", std::string(padding, 'x')}};
    constexpr auto compact = -1;
    auto response =
        jsonResponse(200, echo.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace));
    response.headers.add("figlanding-request-id", requestId);
    return response;
}

} // namespace figlanding::standins
