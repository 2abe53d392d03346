#include "io/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <unordered_map>
#include <utility>

namespace figlanding {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

auto latencyBucketsSeconds() -> prometheus::Histogram::BucketBoundaries
{
    return {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0};
}

auto inSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto routeLabel(const RouteId &route) -> std::string
{
    return route.empty() ? "none" : route.value();
}

auto registerCounterFamily(prometheus::Registry &registry, const char *name, const char *help)
    -> CounterFamily &
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto registerGaugeFamily(prometheus::Registry &registry, const char *name, const char *help)
    -> GaugeFamily &
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

auto registerHistogramFamily(prometheus::Registry &registry, const char *name, const char *help)
    -> HistogramFamily &
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

// Caches the metric of each label set by a string key, which avoids the lookup in the nested maps
// of prometheus::Family.
template <typename Metric>
class MetricCache
{
public:
    explicit MetricCache(prometheus::Family<Metric> &family)
        : m_family(&family)
    { }

    template <typename... Args>
    auto get(const std::string &key, const prometheus::Labels &labels, Args &&...args) -> Metric &
    {
        const auto found = m_metrics.find(key);
        if (found != m_metrics.end()) {
            return *found->second;
        }
        auto &metric = m_family->Add(labels, std::forward<Args>(args)...);
        m_metrics.emplace(key, &metric);
        return metric;
    }

private:
    prometheus::Family<Metric> *m_family;
    std::unordered_map<std::string, Metric *> m_metrics;
};

} // namespace

struct Metrics::Impl
{
    prometheus::Registry registry;

    MetricCache<prometheus::Counter> requests{
        registerCounterFamily(registry, "figlanding_requests_total",
                              "Answered requests by route, verdict and HTTP status.")};
    MetricCache<prometheus::Histogram> latency{
        registerHistogramFamily(registry, "figlanding_request_duration_seconds",
                                "Time from a whole request to its answer, by route.")};
    MetricCache<prometheus::Counter> filters{
        registerCounterFamily(registry, "figlanding_filter_decisions_total",
                              "Decisions of the filters on the path of a request.")};
    MetricCache<prometheus::Counter> refusals{registerCounterFamily(
        registry, "figlanding_refusals_total", "Requests that got no server's answer, by reason.")};
    MetricCache<prometheus::Counter> slotMismatches{registerCounterFamily(
        registry, "figlanding_slot_mismatches_total",
        "Slots and tickets that do not belong to the request that uses them, by kind.")};
    MetricCache<prometheus::Counter> responses{
        registerCounterFamily(registry, "figlanding_responses_total",
                              "Responses of servers that were passed on, by how they end.")};
    prometheus::Counter &unexpectedInputs =
        registerCounterFamily(registry, "figlanding_unexpected_inputs_total",
                              "Connections to servers that had input while no request used them.")
            .Add({});
    MetricCache<prometheus::Counter> replacedReads{registerCounterFamily(
        registry, "figlanding_store_reads_replaced_total",
        "Reads of the store that were replaced while they were in flight, by topic.")};
    MetricCache<prometheus::Counter> retries{registerCounterFamily(
        registry, "figlanding_retries_total", "Second and later attempts at a request, by cause.")};
    MetricCache<prometheus::Counter> dispatches{registerCounterFamily(
        registry, "figlanding_dispatches_total", "Requests sent to a backend server, by verdict.")};
    MetricCache<prometheus::Histogram> serverLatency{
        registerHistogramFamily(registry, "figlanding_server_duration_seconds",
                                "Time from sending a request to a backend server to its answer.")};
    MetricCache<prometheus::Gauge> queueLength{
        registerGaugeFamily(registry, "figlanding_server_queue_length",
                            "Requests that wait for a slot of a backend server.")};
    MetricCache<prometheus::Gauge> running{registerGaugeFamily(
        registry, "figlanding_server_running_requests", "Requests that run on a backend server.")};
    MetricCache<prometheus::Gauge> unservedKeys{registerGaugeFamily(
        registry, "figlanding_unserved_keys", "Keys without a live owner, by what they wait for.")};
    MetricCache<prometheus::Gauge> rolloutShare{registerGaugeFamily(
        registry, "figlanding_rollout_share",
        "Fraction of a service's requests for the version of its last roll-out.")};
    MetricCache<prometheus::Gauge> rolloutPhase{registerGaugeFamily(
        registry, "figlanding_rollout_phase", "1 for the phase of a service's last roll-out.")};
    GaugeFamily &vmInfo =
        registerGaugeFamily(registry, "figlanding_vm_info", "Always 1; names the VM.");
    prometheus::Gauge &viewAge = registerGaugeFamily(registry, "figlanding_view_age_seconds",
                                                     "Age of the view that this VM dispatches on.")
                                     .Add({});
    prometheus::Gauge &viewFresh =
        registerGaugeFamily(registry, "figlanding_view_fresh", "1 if this VM may dispatch, else 0.")
            .Add({});
    prometheus::Gauge &offset =
        registerGaugeFamily(registry, "figlanding_log_offset", "Last folded offset of the log.")
            .Add({});
    prometheus::Gauge &controller = registerGaugeFamily(registry, "figlanding_controller",
                                                        "1 if this VM is the controller, else 0.")
                                        .Add({});
    prometheus::Gauge &pending = registerGaugeFamily(registry, "figlanding_pending_requests",
                                                     "Requests that wait for their answer.")
                                     .Add({});
};

Metrics::Metrics(const VmId &vm)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->vmInfo.Add({{"vm", vm.value()}}).Set(1);
}

Metrics::~Metrics() = default;

auto Metrics::countRequest(const RequestMetric &request) -> void
{
    const auto route = routeLabel(request.route);
    const auto verdict = std::string(figlanding::toText(request.verdict));
    const auto status = std::to_string(request.status);
    m_impl->requests
        .get(route + ' ' + verdict + ' ' + status,
             {{"route", route}, {"verdict", verdict}, {"status", status}})
        .Increment();
    m_impl->latency.get(route, {{"route", route}}, latencyBucketsSeconds())
        .Observe(inSeconds(request.elapsed));
}

auto Metrics::countFilterDecision(const std::string &filter, FilterOutcome outcome) -> void
{
    const auto *text = outcome == FilterOutcome::Passed ? "passed" : "refused";
    m_impl->filters.get(filter + ' ' + text, {{"filter", filter}, {"outcome", text}}).Increment();
}

auto Metrics::countRefusal(RefusalReason reason) -> void
{
    const auto text = std::string(figlanding::toText(reason));
    m_impl->refusals.get(text, {{"reason", text}}).Increment();
}

auto Metrics::countSlotMismatch(const std::string &kind) -> void
{
    m_impl->slotMismatches.get(kind, {{"kind", kind}}).Increment();
}

auto Metrics::countResponse(BodyEnd end) -> void
{
    const auto text = std::string(figlanding::toText(end));
    m_impl->responses.get(text, {{"body_end", text}}).Increment();
}

auto Metrics::countUnexpectedInput() -> void
{
    m_impl->unexpectedInputs.Increment();
}

auto Metrics::countReplacedRead(const std::string &topic) -> void
{
    m_impl->replacedReads.get(topic, {{"topic", topic}}).Increment();
}

auto Metrics::setUnservedKeys(const std::string &wait, std::size_t keys) -> void
{
    m_impl->unservedKeys.get(wait, {{"wait", wait}}).Set(static_cast<double>(keys));
}

auto Metrics::setRollout(const RolloutMetric &rollout) -> void
{
    const auto &service = rollout.service.value();
    const auto &version = rollout.version.value();
    m_impl->rolloutShare.get(service + ' ' + version, {{"service", service}, {"version", version}})
        .Set(rollout.share);
    for (const auto phase : {RolloutPhase::Trial, RolloutPhase::Shift, RolloutPhase::Completed,
                             RolloutPhase::RolledBack}) {
        const auto text = std::string(figlanding::toText(phase));
        m_impl->rolloutPhase
            .get(service + ' ' + version + ' ' + text,
                 {{"service", service}, {"version", version}, {"phase", text}})
            .Set(phase == rollout.phase ? 1.0 : 0.0);
    }
}

auto Metrics::countRetry(const std::string &cause) -> void
{
    m_impl->retries.get(cause, {{"cause", cause}}).Increment();
}

auto Metrics::countDispatch(const BackendServerId &server, Verdict verdict, Duration elapsed)
    -> void
{
    const auto &name = server.value();
    const auto text = std::string(figlanding::toText(verdict));
    m_impl->dispatches.get(name + ' ' + text, {{"server", name}, {"verdict", text}}).Increment();
    m_impl->serverLatency.get(name, {{"server", name}}, latencyBucketsSeconds())
        .Observe(inSeconds(elapsed));
}

auto Metrics::setQueueLength(const BackendServerId &server, std::size_t requests) -> void
{
    m_impl->queueLength.get(server.value(), {{"server", server.value()}})
        .Set(static_cast<double>(requests));
}

auto Metrics::setRunning(const BackendServerId &server, std::size_t requests) -> void
{
    m_impl->running.get(server.value(), {{"server", server.value()}})
        .Set(static_cast<double>(requests));
}

auto Metrics::setViewAge(Duration age) -> void
{
    m_impl->viewAge.Set(inSeconds(age));
}

auto Metrics::setViewFresh(bool fresh) -> void
{
    m_impl->viewFresh.Set(fresh ? 1 : 0);
}

auto Metrics::setLogOffset(LogOffset offset) -> void
{
    m_impl->offset.Set(static_cast<double>(offset));
}

auto Metrics::setIsController(bool controller) -> void
{
    m_impl->controller.Set(controller ? 1 : 0);
}

auto Metrics::setPendingRequests(std::size_t requests) -> void
{
    m_impl->pending.Set(static_cast<double>(requests));
}

auto Metrics::text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace figlanding
