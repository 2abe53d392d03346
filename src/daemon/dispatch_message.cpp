#include "daemon/dispatch_message.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace figlanding {

namespace {

using nlohmann::json;

constexpr std::string_view callHeader = "figlanding-hop-call";
constexpr std::string_view refusalHeader = "figlanding-refusal";
constexpr std::string_view verdictHeader = "figlanding-verdict";
constexpr std::string_view detailHeader = "figlanding-hop-detail";

auto stringOf(const json &object, const char *name) -> std::string
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto flagOf(const json &object, const char *name) -> bool
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

auto parseVerdict(std::string_view text) -> Verdict
{
    for (const auto verdict : {Verdict::NotRun, Verdict::Ran}) {
        if (toText(verdict) == text) {
            return verdict;
        }
    }
    return Verdict::MayHaveRun;
}

auto parseRetryAfter(const HttpResponse &message) -> std::optional<Duration>
{
    const auto text = message.headers.find("retry-after");
    if (!text) {
        return std::nullopt;
    }
    long value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{} || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return seconds(value);
}

} // namespace

auto isReservedHeader(std::string_view lowerCaseName) -> bool
{
    return lowerCaseName.starts_with("figlanding-");
}

auto encodeDispatchRequest(const DispatchRequest &request) -> HttpRequest
{
    const auto remaining = std::chrono::duration_cast<microseconds>(request.remaining);
    const auto call = json{{"id", request.requestId},
                           {"server", request.server.value()},
                           {"service", request.service.value()},
                           {"exclusive", request.exclusive},
                           {"key", request.routingKey},
                           {"team", request.team.value()},
                           {"remaining_us", remaining.count()},
                           {"idempotent", request.idempotent},
                           {"idempotency_key", request.idempotencyKey},
                           {"digest", request.digest},
                           {"method", request.http.method},
                           {"target", request.http.target}};
    HttpRequest message{.method = "POST",
                        .target = std::string(dispatchPath),
                        .headers = request.http.headers,
                        .body = request.http.body};
    message.headers.add(callHeader, call.dump(-1, ' ', true, json::error_handler_t::replace));
    return message;
}

auto decodeDispatchRequest(const HttpRequest &message) -> Result<DispatchRequest>
{
    const auto text = message.headers.find(callHeader);
    const auto call = json::parse(text.value_or(""), nullptr, false);
    if (!call.is_object() || !call.contains("remaining_us")
        || !call["remaining_us"].is_number_integer()) {
        return fail(ErrorCode::ProtocolViolation, "a dispatched request has no valid call header");
    }
    DispatchRequest request{
        .requestId = stringOf(call, "id"),
        .server = BackendServerId(stringOf(call, "server")),
        .service = ServiceId(stringOf(call, "service")),
        .exclusive = flagOf(call, "exclusive"),
        .routingKey = stringOf(call, "key"),
        .team = TeamId(stringOf(call, "team")),
        .remaining = microseconds(call["remaining_us"].get<std::int64_t>()),
        .idempotent = flagOf(call, "idempotent"),
        .idempotencyKey = stringOf(call, "idempotency_key"),
        .digest = stringOf(call, "digest"),
        .http = {.method = stringOf(call, "method"),
                 .target = stringOf(call, "target"),
                 .headers = message.headers,
                 .body = message.body},
    };
    request.http.headers.remove(callHeader);
    if (request.requestId.empty() || request.server.empty() || request.http.method.empty()) {
        return fail(ErrorCode::ProtocolViolation,
                    "a dispatched request lacks id, server or method");
    }
    return request;
}

auto encodeDispatchResult(const DispatchResult &result, std::string_view requestId) -> HttpResponse
{
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        auto message = refusalResponse(*refusal, requestId);
        message.headers.set(detailHeader, json(refusal->detail).dump(-1, ' ', true));
        return message;
    }
    return std::get<HttpResponse>(result);
}

auto decodeDispatchResult(HttpResponse message) -> DispatchResult
{
    const auto name = message.headers.find(refusalHeader);
    if (!name) {
        return message;
    }
    const auto reason = parseRefusalReason(*name);
    const auto detail =
        json::parse(message.headers.find(detailHeader).value_or("\"\""), nullptr, false);
    return Refusal{.reason = reason.value_or(RefusalReason::AnswerLost),
                   .detail = detail.is_string() ? detail.get<std::string>() : std::string(),
                   .verdict = parseVerdict(message.headers.find(verdictHeader).value_or("")),
                   .retryAfter = parseRetryAfter(message)};
}

} // namespace figlanding
