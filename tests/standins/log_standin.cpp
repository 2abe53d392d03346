#include "standins/log_standin.h"

#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace figlanding::standins {

namespace {

constexpr std::size_t defaultReadRecords = 1000;
constexpr std::size_t maxRecordBytes = 4UL * 1024 * 1024;
constexpr milliseconds pollInterval{5};

auto numberParameter(const std::string &target, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t
{
    const auto text = queryParameter(target, name);
    auto number = fallback;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

} // namespace

LogStandin::LogStandin(EventLoop &loop, LogStandinOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_timer(loop, [this] {
        removeExpired();
        completeWaitingReads();
    })
{ }

LogStandin::~LogStandin() = default;

auto LogStandin::start() -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop, {.address = m_options.address, .maxBodyBytes = maxRecordBytes},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    m_timer.startRepeating(pollInterval);
    return {};
}

auto LogStandin::port() const -> std::uint16_t
{
    return m_server->port();
}

auto LogStandin::tail() const -> std::uint64_t
{
    return m_firstOffset + m_entries.size() - 1;
}

auto LogStandin::setFaults(LogFaults faults) -> void
{
    if (faults.staleTail && !m_faults.staleTail) {
        m_frozenTail = tail();
    }
    m_appendTokens = 0.0;
    m_tokensUpdatedAt = m_loop.now();
    m_faults = faults;
    releaseHeldAppends();
}

auto LogStandin::handle(HttpExchange exchange) -> void
{
    const auto path = std::string(pathOf(exchange.request().target));
    if (path == "/standin/fault") {
        handleFault(exchange);
    } else if (path == "/standin/held-appends") {
        const auto held = nlohmann::json{{"held", m_heldAppends.size()}};
        exchange.respond(jsonResponse(200, held.dump()));
    } else if (m_faults.withholdResponses) {
        m_withheldExchanges.push_back(std::move(exchange));
    } else if (m_faults.unavailable) {
        respond(exchange, problemResponse(503, "Log unavailable", "the service is down"));
    } else if (path == "/v1/append") {
        handleAppend(exchange);
    } else if (path == "/v1/read") {
        handleRead(exchange);
    } else {
        respond(exchange, problemResponse(404, "Unknown path", path));
    }
}

auto LogStandin::handleFault(HttpExchange &exchange) -> void
{
    const auto json = parseObject(exchange.request().body);
    if (json.is_discarded()) {
        exchange.respond(problemResponse(400, "Invalid faults", "not a JSON object"));
        return;
    }
    setFaults({.unavailable = json.value("down", false),
               .withholdResponses = json.value("silent", false),
               .staleTail = json.value("stale_tail", false),
               .responseDelay = milliseconds(json.value("slow_ms", 0)),
               .dropAppendResponses = json.value("lose_answers", 0),
               .malformedResponses = json.value("rubbish_answers", 0),
               .appendsPerSecond = json.value("appends_per_second", 0.0),
               .holdAppends = json.value("hold_appends", false)});
    exchange.respond(jsonResponse(200, "{}"));
}

auto LogStandin::handleAppend(HttpExchange &exchange) -> void
{
    auto record = parseObject(exchange.request().body);
    if (record.is_discarded()) {
        respond(exchange, problemResponse(400, "Invalid record", "not a JSON object"));
        return;
    }
    if (m_faults.holdAppends) {
        holdAppend(exchange);
        return;
    }
    if (!takeAppendToken()) {
        respond(exchange, problemResponse(503, "Log unavailable", "too many appends"));
        return;
    }
    m_entries.push_back({.appendedUnixMs = unixMs(), .record = exchange.request().body});
    removeExpired();
    if (m_faults.dropAppendResponses > 0) {
        --m_faults.dropAppendResponses;
        exchange.abort();
    } else {
        respond(exchange, jsonResponse(200, nlohmann::json{{"offset", tail()}}.dump()));
    }
    completeWaitingReads();
}

auto LogStandin::holdAppend(const HttpExchange &exchange) -> void
{
    m_heldAppends.push_back(exchange);
    const auto position = std::prev(m_heldAppends.end());
    m_heldAppends.back().onAbandoned([this, position] { m_heldAppends.erase(position); });
}

auto LogStandin::releaseHeldAppends() -> void
{
    while (!m_faults.holdAppends && !m_heldAppends.empty()) {
        auto exchange = std::move(m_heldAppends.front());
        m_heldAppends.pop_front();
        exchange.onAbandoned(nullptr); // would erase it again while a slow response is due
        handleAppend(exchange);
    }
}

auto LogStandin::takeAppendToken() -> bool
{
    if (m_faults.appendsPerSecond <= 0.0) {
        return true;
    }
    const auto now = m_loop.now();
    const auto elapsed = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    const auto earned = elapsed * m_faults.appendsPerSecond;
    m_appendTokens = std::min(m_appendTokens + earned, std::max(1.0, m_faults.appendsPerSecond));
    m_tokensUpdatedAt = now;
    if (m_appendTokens < 1.0) {
        return false;
    }
    m_appendTokens -= 1.0;
    return true;
}

auto LogStandin::handleRead(HttpExchange &exchange) -> void
{
    const auto &target = exchange.request().target;
    const auto from = numberParameter(target, "from", 1);
    const auto max = numberParameter(target, "max", defaultReadRecords);
    const auto wait = milliseconds(numberParameter(target, "wait_ms", 0));
    if (wait.count() == 0 || from <= visibleTail()) {
        respond(exchange, readResponse(from, max));
        return;
    }
    m_waitingReads.push_back(
        {.exchange = exchange, .from = from, .max = max, .until = m_loop.now() + wait});
    const auto position = std::prev(m_waitingReads.end());
    exchange.onAbandoned([this, position] { m_waitingReads.erase(position); });
}

auto LogStandin::respond(HttpExchange exchange, HttpResponse response) -> void
{
    if (m_faults.malformedResponses > 0) {
        --m_faults.malformedResponses;
        response = jsonResponse(200, "{\"offset\": \"<html>");
    }
    if (m_faults.responseDelay.count() == 0) {
        exchange.respond(std::move(response));
        return;
    }
    m_delayedResponses.push_back(nullptr);
    const auto position = std::prev(m_delayedResponses.end());
    *position = std::make_unique<Timer>(
        m_loop, [this, position, exchange, response = std::move(response)]() mutable {
            exchange.respond(std::move(response));
            m_delayedResponses.erase(position);
        });
    (*position)->startOnce(m_faults.responseDelay);
}

auto LogStandin::removeExpired() -> void
{
    const auto oldest = m_options.keepAge.count() > 0 ? unixMs() - m_options.keepAge.count() : 0;
    const auto isExpired = [&] {
        const auto tooMany = m_options.keepRecords > 0 && m_entries.size() > m_options.keepRecords;
        return tooMany || m_entries.front().appendedUnixMs < oldest;
    };
    while (!m_entries.empty() && isExpired()) {
        m_entries.pop_front();
        ++m_firstOffset;
    }
}

auto LogStandin::completeWaitingReads() -> void
{
    const auto now = m_loop.now();
    for (auto position = m_waitingReads.begin(); position != m_waitingReads.end();) {
        if (position->from > visibleTail() && position->until > now) {
            ++position;
            continue;
        }
        auto read = std::move(*position);
        position = m_waitingReads.erase(position);
        read.exchange.onAbandoned(nullptr); // would erase it again while a slow response is due
        respond(read.exchange, readResponse(read.from, read.max));
    }
}

auto LogStandin::visibleTail() const -> std::uint64_t
{
    return m_faults.staleTail ? std::min(m_frozenTail, tail()) : tail();
}

auto LogStandin::readResponse(std::uint64_t from, std::size_t max) const -> HttpResponse
{
    const auto end = visibleTail();
    auto body = std::string("{\"first\":") + std::to_string(m_firstOffset)
        + ",\"tail\":" + std::to_string(end) + ",\"records\":[";
    auto count = std::size_t{0};
    for (auto offset = std::max(from, m_firstOffset); offset <= end && count < max;
         ++offset, ++count) {
        const auto &entry = m_entries[offset - m_firstOffset];
        body += count > 0 ? "," : "";
        body += "{\"offset\":" + std::to_string(offset) + ",\"appended_unix_ms\":"
            + std::to_string(entry.appendedUnixMs) + ",\"record\":" + entry.record + "}";
    }
    return jsonResponse(200, body + "]}");
}

} // namespace figlanding::standins
