#include "standins/load_thread.h"

#include <nlohmann/json.hpp>

namespace figlanding::standins {

namespace {

auto toNs(TimePoint time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

auto toCallerRecord(const LoadResult &result, const LoadProfile &profile) -> CallerRecord
{
    const auto &route = profile.routes.at(result.planned.route);
    const auto headerOf = [](const HttpHeaders &headers, std::string_view name) {
        return std::string(headers.find(name).value_or(""));
    };
    auto record =
        CallerRecord{.requestId = headerOf(result.response.headers, "figlanding-request-id"),
                     .idempotencyKey = headerOf(result.request.headers, "idempotency-key"),
                     .method = result.request.method,
                     .target = result.request.target,
                     .team = route.open ? "" : profile.teams.at(result.planned.team).name,
                     .verdict = result.verdict,
                     .status = result.status,
                     .sentNs = toNs(result.sentAt),
                     .endNs = toNs(result.endedAt)};
    const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    if (body.is_object() && body.contains("server")) {
        record.echoedRequestId = body.value("request_id", "");
        record.echoedTarget = body.value("target", "");
    }
    return record;
}

} // namespace

LoadThread::LoadThread(LoadPlan plan, LoadRunnerOptions options)
    : m_profile(plan.profile())
    , m_runner(m_loop, std::move(plan), std::move(options))
    , m_thread([this] { run(); })
{ }

LoadThread::~LoadThread()
{
    join();
}

auto LoadThread::join() -> void
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto LoadThread::run() -> void
{
    m_runner.start(
        [this](const LoadResult &result) {
            m_records.push_back(toCallerRecord(result, m_profile));
        },
        [this] { m_loop.stop(); });
    m_loop.run();
    m_ended = true;
}

} // namespace figlanding::standins
