#include "io/log_service.h"

#include "core/json_text.h"
#include "figlanding/codec.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using nlohmann::json;

/// Longest time that the response to a read may take to arrive, as over a slow link.
constexpr seconds longestTransfer{8};

// Returns the JSON body of a response with status 200.
auto parseResponseBody(const HttpOutcome &outcome) -> Result<json>
{
    if (outcome.verdict != Verdict::Ran) {
        return fail(ErrorCode::LogUnavailable, describe(outcome.error));
    }
    if (outcome.response.status != 200) {
        return fail(ErrorCode::LogUnavailable,
                    "the log service returned HTTP status "
                        + std::to_string(outcome.response.status));
    }
    auto body = parseJsonText(outcome.response.body);
    if (!body.is_object()) {
        return fail(ErrorCode::ProtocolViolation,
                    "the log service's response is not a JSON object");
    }
    return body;
}

auto readUnsignedField(const json &object, const char *name) -> Result<std::uint64_t>
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name
                        + "\" of the log service's response is missing or not an unsigned integer");
    }
    return found->get<std::uint64_t>();
}

auto parseLogRecord(const json &entry) -> Result<LogRecord>
{
    if (!entry.is_object()) {
        return fail(ErrorCode::ProtocolViolation,
                    "an entry of \"records\" in the log service's response is not an object");
    }
    BOOST_LEAF_AUTO(offset, readUnsignedField(entry, "offset"));
    const auto time = entry.find("appended_unix_ms");
    const auto unixMs = time != entry.end() && time->is_number_integer() ? time->get<std::int64_t>()
                                                                         : std::int64_t{0};
    const auto body = entry.find("record");
    auto record = valueOrElse(
        [&]() -> Result<Record> {
            if (body == entry.end()) {
                return fail(ErrorCode::MissingField, "record");
            }
            return recordFromJson(*body);
        },
        [](const Error &error) {
            return Record{.id = {}, .payload = UnreadableRecord{.reason = describe(error)}};
        });
    return LogRecord{.offset = offset, .appendedUnixMs = unixMs, .record = std::move(record)};
}

} // namespace

auto logReadRequest(const LogReadOptions &options) -> HttpRequest
{
    return {.method = "GET",
            .target = "/v1/read?from=" + std::to_string(options.from)
                + "&max=" + std::to_string(options.maxRecords)
                + "&wait_ms=" + std::to_string(options.wait.count())};
}

auto parseLogReadResponse(const HttpOutcome &outcome) -> Result<LogReadResponse>
{
    BOOST_LEAF_AUTO(body, parseResponseBody(outcome));
    LogReadResponse response;
    BOOST_LEAF_ASSIGN(response.first, readUnsignedField(body, "first"));
    BOOST_LEAF_ASSIGN(response.tail, readUnsignedField(body, "tail"));
    const auto records = body.find("records");
    if (records == body.end() || !records->is_array()) {
        return fail(ErrorCode::ProtocolViolation,
                    "field \"records\" of the log service's response is missing or not an array");
    }
    for (const auto &entry : *records) {
        BOOST_LEAF_AUTO(record, parseLogRecord(entry));
        response.records.push_back(std::move(record));
    }
    return response;
}

auto logAppendRequest(const Record &record) -> HttpRequest
{
    return {.method = "POST",
            .target = "/v1/append",
            .headers = {{"content-type", "application/json"}},
            .body = toJson(record).dump()};
}

auto parseLogAppendResponse(const HttpOutcome &outcome) -> Result<LogOffset>
{
    BOOST_LEAF_AUTO(body, parseResponseBody(outcome));
    return readUnsignedField(body, "offset");
}

HttpLogService::HttpLogService(HttpClient &client, SocketAddress address, milliseconds timeout)
    : m_client(client)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

auto HttpLogService::read(const LogReadOptions &options,
                          std::function<void(const Settled<LogReadResponse> &)> callback) -> void
{
    m_client.call(
        m_address, logReadRequest(options),
        {.timeout = m_timeout + options.wait,
         .slowResponse = SlowResponse{.pause = m_timeout, .total = options.wait + longestTransfer},
         .connectTimeout = m_timeout},
        [callback = std::move(callback)](const HttpOutcome &outcome) {
            callback(settle([&] { return parseLogReadResponse(outcome); }));
        });
}

auto HttpLogService::append(const Record &record,
                            std::function<void(const Settled<LogOffset> &)> callback) -> void
{
    m_client.call(m_address, logAppendRequest(record),
                  {.timeout = m_timeout, .connectTimeout = m_timeout},
                  [callback = std::move(callback)](const HttpOutcome &outcome) {
                      callback(settle([&] { return parseLogAppendResponse(outcome); }));
                  });
}

} // namespace figlanding
