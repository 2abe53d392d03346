#include "gateway/request_log.h"

#include "gateway/log_values.h"
#include "io/log.h"

#include <string>

namespace figlanding {

namespace {

constexpr std::uint64_t sampleInterval = 32; ///< one of this many ordinary requests is logged

} // namespace

auto toText(const ServerRejection &rejection) -> std::string
{
    return std::to_string(rejection.status) + (rejection.identified ? " with-id" : " without-id")
        + (rejection.firstOnConnection ? " new-connection" : " kept-connection");
}

RequestLog::RequestLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

auto RequestLog::add(const RequestRecord &record) -> void
{
    m_metrics.countRequest({.route = record.route,
                            .verdict = record.verdict,
                            .status = record.status,
                            .elapsed = record.elapsed});
    if (record.refusal) {
        m_metrics.countRefusal(*record.refusal);
    }
    if (record.bodyEnd) {
        m_metrics.countResponse(*record.bodyEnd);
    }
    // Only this line tells later whether a body that a caller misses a part of had a stated end.
    const auto unstatedEnd = record.bodyEnd == BodyEnd::ConnectionEnd;
    const auto ordinary = !record.refusal && record.attempts <= 1 && record.repeats == 0
        && record.detail.empty() && !unstatedEnd;
    if (ordinary && m_ordinaryRequests++ % sampleInterval != 0) {
        return;
    }
    logEvent(LogLevel::Info, "request",
             {{"id", record.requestId},
              {"status", record.status},
              {"verdict", toText(record.verdict)},
              {"reason", record.refusal ? toText(*record.refusal) : std::string_view("answered")},
              {"rejection", record.rejection ? toText(*record.rejection) : std::string()},
              {"body_end", record.bodyEnd ? toText(*record.bodyEnd) : std::string_view()},
              {"detail", record.detail},
              {"route", record.route.value()},
              {"team", record.team.value()},
              {"service", record.service.value()},
              {"server", record.server.value()},
              {"attempts", record.attempts},
              {"repeats", record.repeats},
              {"waited_ms", toMs(record.waited)},
              {"elapsed_ms", toMs(record.elapsed)},
              {"config", record.configVersion}});
}

auto RequestLog::addUnexpectedInput(const SocketAddress &server) -> void
{
    m_metrics.countUnexpectedInput();
    logEvent(LogLevel::Warning, "unexpected-input", {{"address", toText(server)}});
}

auto RequestLog::metricsResponse() const -> HttpResponse
{
    return {
        .status = 200, .headers = {{"content-type", metricsContentType}}, .body = m_metrics.text()};
}

} // namespace figlanding
