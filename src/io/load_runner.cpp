#include "io/load_runner.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace figlanding {

namespace {

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned latencyBins = 700; ///< each bin is 2.3 % wide
constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 100'000.0;
constexpr std::array quantiles = {0.5, 0.9, 0.99, 0.999};

auto toMs(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto parseVerdict(std::string_view text) -> std::optional<Verdict>
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (toText(verdict) == text) {
            return verdict;
        }
    }
    return std::nullopt;
}

auto verdictOf(const HttpOutcome &outcome) -> Verdict
{
    if (outcome.verdict != Verdict::Ran) {
        return outcome.verdict;
    }
    const auto header = outcome.response.headers.find("figlanding-verdict").value_or("");
    return parseVerdict(header).value_or(Verdict::MayHaveRun);
}

auto latencyJson(const LatencyHistogram &latency) -> nlohmann::json
{
    auto json = nlohmann::json{{"count", latency.count()}};
    for (const auto quantile : quantiles) {
        auto name = std::ostringstream{};
        constexpr auto percent = 100.0;
        name << "p" << quantile * percent << "_ms";
        json[name.str()] = toMs(latency.quantile(quantile));
    }
    return json;
}

} // namespace

struct LatencyHistogram::Impl
{
    using Counts = decltype(histogram::make_histogram(std::declval<LogAxis>()));

    Counts counts = histogram::make_histogram(LogAxis(latencyBins, minLatencyMs, maxLatencyMs));
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{ }

LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
auto LatencyHistogram::operator=(LatencyHistogram &&) noexcept -> LatencyHistogram & = default;
LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::add(Duration latency) -> void
{
    m_impl->counts(std::clamp(toMs(latency), minLatencyMs, maxLatencyMs / 2));
    ++m_impl->count;
}

auto LatencyHistogram::count() const -> std::uint64_t
{
    return m_impl->count;
}

auto LatencyHistogram::quantile(double quantile) const -> Duration
{
    const auto targetCount = quantile * static_cast<double>(m_impl->count);
    auto sum = 0.0;
    const auto &axis = m_impl->counts.axis();
    for (auto bin = 0; bin < axis.size() && m_impl->count > 0; ++bin) {
        sum += m_impl->counts.at(bin);
        if (sum >= targetCount) {
            return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(axis.bin(bin).upper()));
        }
    }
    return {};
}

LoadRunner::LoadRunner(EventLoop &loop, LoadPlan plan, LoadRunnerOptions options)
    : m_loop(loop)
    , m_plan(std::move(plan))
    , m_options(std::move(options))
    , m_client(loop, {.maxConnectionsPerHost = 1000})
    , m_timer(loop, [this] { sendDueRequests(); })
{ }

auto LoadRunner::start(ResultHandler onResult, std::function<void()> onEnd) -> void
{
    m_onResult = std::move(onResult);
    m_onEnd = std::move(onEnd);
    m_start = m_loop.now();
    m_next = m_plan.next();
    sendDueRequests();
}

auto LoadRunner::sendDueRequests() -> void
{
    const auto elapsed = m_loop.now() - m_start;
    while (m_next.at <= elapsed && m_next.at < m_options.length) {
        send(m_next);
        m_next = m_plan.next();
    }
    if (m_next.at >= m_options.length) {
        m_allSent = true;
        finishIfDone();
        return;
    }
    m_timer.startOnce(m_start + m_next.at - m_loop.now());
}

auto LoadRunner::createRequest(const PlannedRequest &planned) const -> HttpRequest
{
    const auto &route = m_plan.profile().routes.at(planned.route);
    const auto &team = m_plan.profile().teams.at(planned.team);
    auto request =
        HttpRequest{.method = route.method, .target = route.pathPrefix + "/" + planned.key};
    if (!route.open) {
        request.headers.add("authorization", "Bearer " + team.credential);
    }
    if (route.method == "POST") {
        request.headers.add("idempotency-key", "load-" + std::to_string(planned.number));
        request.body = "{\"number\":" + std::to_string(planned.number) + "}";
    }
    return request;
}

auto LoadRunner::send(const PlannedRequest &planned) -> void
{
    ++m_report.planned;
    if (m_pending >= m_options.maxPending) {
        ++m_report.notSent;
        return;
    }
    ++m_pending;
    auto result = LoadResult{.planned = planned, .request = createRequest(planned)};
    result.sentAt = m_loop.now();
    const auto &target = m_options.targets.at(planned.number % m_options.targets.size());
    const auto request = result.request;
    m_client.call(target, request, {.timeout = m_options.timeout},
                  [this, result = std::move(result)](HttpOutcome outcome) {
                      onOutcome(result, std::move(outcome));
                  });
}

auto LoadRunner::onOutcome(LoadResult result, HttpOutcome outcome) -> void
{
    --m_pending;
    result.verdict = verdictOf(outcome);
    result.status = outcome.verdict == Verdict::Ran ? outcome.response.status : 0;
    result.response = std::move(outcome.response);
    result.endedAt = m_loop.now();
    result.latency = result.endedAt - (m_start + result.planned.at);
    ++m_report.verdicts[std::string(toText(result.verdict))];
    ++m_report.statuses[result.status];
    const auto &route = m_plan.profile().routes.at(result.planned.route);
    const auto &team = m_plan.profile().teams.at(result.planned.team);
    auto &teamCounts = m_report.teams[route.open ? "(open)" : team.name];
    ++teamCounts[0];
    constexpr auto okFirst = 200;
    constexpr auto okEnd = 300;
    if (result.status >= okFirst && result.status < okEnd) {
        ++teamCounts[1];
        m_report.latency.add(result.latency);
        m_report.routeLatency[route.name].add(result.latency);
    }
    if (m_onResult) {
        m_onResult(result);
    }
    finishIfDone();
}

auto LoadRunner::finishIfDone() -> void
{
    if (m_allSent && m_pending == 0 && m_onEnd) {
        std::exchange(m_onEnd, nullptr)();
    }
}

auto toJsonText(const LoadReport &report) -> std::string
{
    auto json = nlohmann::json{{"planned", report.planned},
                               {"not_sent", report.notSent},
                               {"verdicts", report.verdicts},
                               {"latency", latencyJson(report.latency)}};
    for (const auto &[status, count] : report.statuses) {
        json["statuses"][std::to_string(status)] = count;
    }
    for (const auto &[route, latency] : report.routeLatency) {
        json["routes"][route] = latencyJson(latency);
    }
    for (const auto &[team, counts] : report.teams) {
        json["teams"][team] = {{"requests", counts[0]}, {"ok", counts[1]}};
    }
    return json.dump(2);
}

auto toText(const LoadReport &report) -> std::string
{
    auto text = std::ostringstream{};
    text << "requests  " << report.planned << " (" << report.notSent << " not sent)\n";
    for (const auto &[verdict, count] : report.verdicts) {
        text << "verdict   " << verdict << " " << count << "\n";
    }
    for (const auto &[status, count] : report.statuses) {
        text << "status    " << status << " " << count << "\n";
    }
    const auto addLatency = [&](const std::string &name, const LatencyHistogram &latency) {
        text << "latency   " << name << std::fixed << std::setprecision(2);
        for (const auto quantile : quantiles) {
            text << "  " << toMs(latency.quantile(quantile));
        }
        text << " ms (p50 p90 p99 p99.9 of " << latency.count() << ")\n";
    };
    addLatency("all", report.latency);
    for (const auto &[route, latency] : report.routeLatency) {
        addLatency(route, latency);
    }
    for (const auto &[team, counts] : report.teams) {
        text << "team      " << team << " " << counts[1] << " of " << counts[0] << " ok\n";
    }
    return text.str();
}

} // namespace figlanding
