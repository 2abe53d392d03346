#include "standins/platform_server.h"

#include "figlanding/gateway/time_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace figlanding::standins {

namespace {

using nlohmann::json;

auto headerOf(const HttpRequest &request, const char *name) -> std::string
{
    return std::string(request.headers.find(name).value_or(""));
}

} // namespace

PlatformServer::PlatformServer(EventLoop &loop, PlatformServerOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
{ }

auto PlatformServer::start() -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop,
                           {.address = {"127.0.0.1", 0}, .maxBodyBytes = m_options.maxBodyBytes},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    return {};
}

auto PlatformServer::address() const -> SocketAddress
{
    return {"127.0.0.1", m_server->port()};
}

auto PlatformServer::entry(const std::string &service, const std::string &zone, int sequence,
                           bool draining) const -> std::string
{
    return json{{"Service", service},
                {"Address", toText(address())},
                {"Zone", zone},
                {"Version", "v1"},
                {"MaxConcurrency", m_options.slots},
                {"State", draining ? "draining" : "ready"},
                {"WarmupRemaining", "0ms"},
                {"Sequence", sequence},
                {"born", 1000}}
        .dump();
}

auto PlatformServer::holds(ShardKey key) const -> bool
{
    return std::any_of(m_leases.begin(), m_leases.end(), [&](const Lease &lease) {
        return key >= lease.keys.from && key <= lease.keys.to && lease.until > m_loop.now();
    });
}

auto PlatformServer::handle(HttpExchange exchange) -> void
{
    const auto path = pathOf(exchange.request().target);
    if (path == "/api/grant") {
        grant(exchange);
    } else if (path == "/api/release") {
        release(exchange);
    } else {
        run(std::move(exchange));
    }
}

auto PlatformServer::grant(HttpExchange &exchange) -> void
{
    constexpr auto conflict = 409;
    const auto body = json::parse(exchange.request().body);
    const auto fence = body.at("fence").get<std::uint64_t>();
    const auto keys = KeyRange{body.at("From").get<ShardKey>(), body.at("To").get<ShardKey>()};
    const auto hasNewerFence =
        std::any_of(m_leases.begin(), m_leases.end(), [&](const Lease &lease) {
            return lease.keys.from <= keys.to && keys.from <= lease.keys.to && lease.fence > fence;
        });
    if (hasNewerFence) {
        exchange.respond({.status = conflict});
        return;
    }
    const auto duration =
        valueOrElse([&] { return parseDuration(body.at("Hold").get<std::string>()); },
                    [](const Error &) { return milliseconds(0); });
    std::erase_if(m_leases, [&](const Lease &lease) { return lease.keys == keys; });
    m_leases.push_back({.keys = keys, .fence = fence, .until = m_loop.now() + duration});
    exchange.respond({.status = 200});
}

auto PlatformServer::release(HttpExchange &exchange) -> void
{
    const auto body = json::parse(exchange.request().body);
    const auto keys = KeyRange{body.at("From").get<ShardKey>(), body.at("To").get<ShardKey>()};
    auto remaining = std::vector<Lease>{};
    for (const auto &lease : m_leases) {
        auto table = OwnershipTable{};
        table.ranges.emplace_back().keys = lease.keys;
        for (const auto &part : splitAround(table, keys).ranges) {
            if (part.keys.from < keys.from || part.keys.to > keys.to) {
                remaining.push_back(
                    {.keys = part.keys, .fence = lease.fence, .until = lease.until});
            }
        }
    }
    m_leases = std::move(remaining);
    exchange.respond({.status = 200, .headers = {{"x-lease-handover", "token"}}});
}

auto PlatformServer::addTerms(HttpResponse &response) const -> void
{
    if (m_options.leaving) {
        response.headers.set("server-leaving", "1");
    }
    if (!m_options.limit.empty()) {
        response.headers.set("server-limit", m_options.limit);
    }
}

auto PlatformServer::run(HttpExchange exchange) -> void
{
    constexpr auto misdirected = 421;
    constexpr auto unavailable = 503;
    const auto &request = exchange.request();
    const auto id = headerOf(request, "x-request-id");
    const auto key = headerOf(request, "x-shard-key");
    const auto notOwner =
        m_options.keyed && (key.empty() || !holds(static_cast<ShardKey>(std::stoul(key))));
    if (headerOf(request, "x-expect-instance") != m_options.id || notOwner) {
        exchange.respond({.status = misdirected, .headers = {{"x-not-executed", "1"}}});
        return;
    }
    m_arrivals.push_back(m_loop.now());
    if (m_options.sheds) {
        auto rejection = HttpResponse{.status = unavailable, .headers = {{"x-not-executed", "1"}}};
        addTerms(rejection);
        if (!m_options.retryAfter.empty()) {
            rejection.headers.set("retry-after", m_options.retryAfter);
        }
        exchange.respond(std::move(rejection));
        return;
    }
    m_runs[id] += 1;
    m_lastHeaders = request.headers;
    m_running += 1;
    m_peakConcurrency = std::max(m_peakConcurrency, m_running);
    const auto responseId = m_options.returnsWrongRequestId ? std::string("another") : id;
    auto response = HttpResponse{.status = m_options.fails ? m_options.failureStatus : 200,
                                 .headers = {{"x-request-id", responseId},
                                             {"x-upstream-signature", "digest"},
                                             {"x-upstream-load", "1,0,2,100"}},
                                 .body = "done " + m_options.id};
    if (pathOf(request.target).find("/large") != std::string_view::npos) {
        response.body.assign(m_options.largeResponseBytes, 'a');
    }
    if (pathOf(request.target).find("/unframed") != std::string_view::npos) {
        response.bodyEnd = BodyEnd::ConnectionEnd;
    }
    addTerms(response);
    m_timers.push_back(std::make_unique<Timer>(
        m_loop, [this, exchange = std::move(exchange), response = std::move(response)]() mutable {
            m_running -= 1;
            exchange.respond(std::move(response));
        }));
    m_timers.back()->startOnce(m_options.work);
}

} // namespace figlanding::standins
