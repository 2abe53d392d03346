#include "standins/platform_store.h"

#include "core/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace figlanding::standins {

namespace {

using nlohmann::json;

constexpr std::size_t lengthBytes = 4;
constexpr milliseconds pollInterval{5};

auto bigEndian(std::uint64_t value, std::size_t bytes) -> std::string
{
    auto text = std::string(bytes, '\0');
    for (auto i = bytes; i > 0; --i) {
        text[i - 1] = static_cast<char>(value & 0xff);
        value >>= 8;
    }
    return text;
}

} // namespace

PlatformStore::PlatformStore(EventLoop &loop, PlatformStoreOptions options)
    : m_loop(loop)
    , m_options(options)
    , m_timer(loop, [this] { completePendingReads(); })
{ }

PlatformStore::~PlatformStore()
{
    for (auto &exchange : m_unanswered) {
        exchange.abort();
    }
    for (auto &read : m_pendingReads) {
        read.exchange.abort();
    }
}

auto PlatformStore::start() -> Result<void>
{
    BOOST_LEAF_ASSIGN(
        m_server,
        HttpServer::listen(m_loop, {.address = {"127.0.0.1", 0}},
                           [this](HttpExchange exchange) { handle(std::move(exchange)); }));
    m_timer.startRepeating(pollInterval);
    return {};
}

auto PlatformStore::address() const -> SocketAddress
{
    return {"127.0.0.1", m_server->port()};
}

auto PlatformStore::setFaults(const PlatformStoreFaults &faults) -> void
{
    m_faults = faults;
}

auto PlatformStore::put(const std::string &topic, const std::string &key,
                        std::optional<std::string> value) -> void
{
    m_topics[topic].push_back({.key = key, .value = std::move(value)});
    completePendingReads();
}

auto PlatformStore::handle(HttpExchange exchange) -> void
{
    constexpr auto badRequest = 400;
    constexpr auto notFound = 404;
    constexpr auto unavailable = 503;
    m_calls += 1;
    if (m_faults.silent) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (m_faults.down) {
        exchange.respond({.status = unavailable});
        return;
    }
    const auto call = parseStoreCall(exchange.request().target, m_options.plusSign);
    if (!call) {
        exchange.respond({.status = badRequest});
    } else if (call->path == "/api/log-read") {
        read(std::move(exchange), *call);
    } else if (call->path == "/api/log-append") {
        append(std::move(exchange), *call);
    } else if (call->path == "/api/log-newest") {
        newest(std::move(exchange), *call);
    } else if (call->path == "/api/log-join" || call->path == "/api/log-leave") {
        join(std::move(exchange), *call);
    } else {
        exchange.respond({.status = notFound});
    }
}

auto PlatformStore::page(const std::string &topic, std::uint64_t from) const -> HttpResponse
{
    const auto found = m_topics.find(topic);
    const auto size = found == m_topics.end() ? std::size_t{0} : found->second.size();
    auto body = bigEndian(size, 8) + bigEndian(0, 8);
    for (auto offset = from; offset < size; ++offset) {
        const auto &record = found->second[offset];
        auto bytes = std::string(1, static_cast<char>(record.key.size())) + record.key
            + record.value.value_or("");
        body += bigEndian(bytes.size(), lengthBytes) + bytes;
    }
    return {.status = 200, .body = std::move(body)};
}

auto PlatformStore::read(HttpExchange exchange, const StoreCall &call) -> void
{
    constexpr auto gone = 410;
    const auto topic = call.text("Topic");
    const auto from = call.number("From");
    if (m_faults.truncatedHistory && from < m_topics[topic].size()) {
        exchange.respond({.status = gone, .body = "{\"First\":0}"});
        return;
    }
    const auto until = m_loop.now() + milliseconds(call.number("WaitMs"));
    m_pendingReads.push_back(
        {.exchange = std::move(exchange), .topic = topic, .from = from, .until = until});
    completePendingReads();
}

auto PlatformStore::completePendingReads() -> void
{
    for (auto read = m_pendingReads.begin(); read != m_pendingReads.end();) {
        if (m_topics[read->topic].size() > read->from || m_loop.now() >= read->until) {
            read->exchange.respond(page(read->topic, read->from));
            read = m_pendingReads.erase(read);
        } else {
            ++read;
        }
    }
}

auto PlatformStore::append(HttpExchange exchange, const StoreCall &call) -> void
{
    constexpr auto preconditionFailed = 412;
    auto &records = m_topics[call.text("Topic")];
    if (call.find("At") && call.number("At") != records.size()) {
        exchange.respond(jsonResponse(preconditionFailed, json{{"End", records.size()}}.dump()));
        return;
    }
    const auto offset = records.size();
    const auto record = std::string_view(exchange.request().body).substr(lengthBytes);
    const auto keyLength = static_cast<unsigned char>(record.front());
    const auto value = record.substr(1 + keyLength);
    records.push_back({.key = std::string(record.substr(1, keyLength)),
                       .value = value.empty() ? std::nullopt : std::optional(std::string(value))});
    completePendingReads();
    if (m_faults.dropAppendResponses) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    exchange.respond(jsonResponse(200, json{{"Offset", offset}, {"End", records.size()}}.dump()));
}

auto PlatformStore::newest(HttpExchange exchange, const StoreCall &call) -> void
{
    const auto &records = m_topics[call.text("Topic")];
    auto last = std::map<std::string, std::uint64_t>{};
    for (std::uint64_t offset = 0; offset < records.size(); ++offset) {
        last[records[offset].key] = offset;
    }
    const auto after = call.find("after");
    auto items = json::array();
    auto more = false;
    for (const auto &[key, offset] : last) {
        if (!records[offset].value || (after && key <= *after)) {
            continue;
        }
        if (items.size() == m_options.pageRecords) {
            more = true;
            break;
        }
        items.push_back(
            {{"Key", key}, {"Value", encodeBase64(*records[offset].value)}, {"Offset", offset}});
    }
    const auto page = json{{"items", items}, {"More", more}, {"End", records.size()}};
    exchange.respond(jsonResponse(200, page.dump(-1, ' ', false, json::error_handler_t::replace)));
}

auto PlatformStore::join(HttpExchange exchange, const StoreCall &call) -> void
{
    const auto body = json::parse(exchange.request().body);
    auto &members = m_groups[body.at("group").get<std::string>()];
    const auto member = body.at("Member").get<std::string>();
    if (call.path == "/api/log-leave") {
        members.erase(member);
        exchange.respond(jsonResponse(200, "{}"));
        return;
    }
    const auto now = m_loop.now();
    std::erase_if(members, [&](const auto &item) { return item.second <= now; });
    constexpr auto timeToLive = milliseconds(2200);
    members[member] = now + timeToLive;
    const auto index = std::distance(members.begin(), members.find(member));
    auto parts = json::array();
    constexpr auto partitions = 12;
    for (auto part = index; part < partitions; part += static_cast<long>(members.size())) {
        parts.push_back({"topic", part, 0});
    }
    exchange.respond(jsonResponse(200, json{{"Generation", 1}, {"parts", parts}}.dump()));
}

} // namespace figlanding::standins
