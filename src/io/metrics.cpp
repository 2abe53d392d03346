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

// Takes over the value of a count that is kept elsewhere.
auto raiseTo(prometheus::Counter &counter, std::uint64_t count) -> void
{
    counter.Increment(static_cast<double>(count) - counter.Value());
}

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
    MetricCache<prometheus::Counter> rejections{
        registerCounterFamily(registry, "figlanding_server_rejections_total",
                              "Requests that servers rejected, by what the rejections say.")};
    prometheus::Counter &rest =
        registerCounterFamily(registry, "figlanding_server_rest_seconds_total",
                              "Time in which servers got no request after their rejections.")
            .Add({});
    MetricCache<prometheus::Counter> slotWaits{
        registerCounterFamily(registry, "figlanding_slot_wait_seconds_total",
                              "Waits of the requests that got a slot, expected and actual.")};
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
    MetricCache<prometheus::Counter> missingRecords{registerCounterFamily(
        registry, "figlanding_records_missing_total",
        "Times in which records that another VM has were missing for long, by topic.")};
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
    MetricCache<prometheus::Counter> groupChoices{
        registerCounterFamily(registry, "figlanding_group_choices_total",
                              "Choices and moves among the server groups of a service, by kind.")};
    MetricCache<prometheus::Gauge> groupRoom{
        registerGaugeFamily(registry, "figlanding_group_room",
                            "Free slots and waiting requests of a server group, as last told.")};
    MetricCache<prometheus::Gauge> groupRoomAge{registerGaugeFamily(
        registry, "figlanding_group_room_age_seconds", "Time since a server group told its room.")};
    MetricCache<prometheus::Gauge> rolloutShare{registerGaugeFamily(
        registry, "figlanding_rollout_share",
        "Fraction of a service's requests for the version of its last roll-out.")};
    MetricCache<prometheus::Gauge> rolloutPhase{registerGaugeFamily(
        registry, "figlanding_rollout_phase", "1 for the phase of a service's last roll-out.")};
    MetricCache<prometheus::Gauge> heldBytes{
        registerGaugeFamily(registry, "figlanding_held_bytes",
                            "Bytes held for callers and servers, by what they are for.")};
    MetricCache<prometheus::Counter> heldBytesRefusals{
        registerCounterFamily(registry, "figlanding_held_bytes_refusals_total",
                              "Times that bytes did not fit into the memory, by kind.")};
    prometheus::Counter &stalledConnections =
        registerCounterFamily(registry, "figlanding_stalled_connections_total",
                              "Connections of callers that were closed because they stalled.")
            .Add({});
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

auto Metrics::addRejections(const std::string &kind, std::uint64_t count) -> void
{
    m_impl->rejections.get(kind, {{"kind", kind}}).Increment(static_cast<double>(count));
}

auto Metrics::addRest(Duration rest) -> void
{
    m_impl->rest.Increment(inSeconds(rest));
}

auto Metrics::addSlotWaits(Duration expected, Duration actual) -> void
{
    m_impl->slotWaits.get("expected", {{"wait", "expected"}}).Increment(inSeconds(expected));
    m_impl->slotWaits.get("actual", {{"wait", "actual"}}).Increment(inSeconds(actual));
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

auto Metrics::countMissingRecords(const std::string &topic) -> void
{
    m_impl->missingRecords.get(topic, {{"topic", topic}}).Increment();
}

auto Metrics::setHeldBytes(const HeldBytes &heldBytes) -> void
{
    for (std::size_t index = 0; index < heldKinds; ++index) {
        const auto kind = static_cast<HeldKind>(index);
        const auto text = std::string(figlanding::toText(kind));
        const auto labels = prometheus::Labels{{"kind", text}};
        m_impl->heldBytes.get(text, labels).Set(static_cast<double>(heldBytes.used(kind)));
        raiseTo(m_impl->heldBytesRefusals.get(text, labels), heldBytes.refusals(kind));
    }
}

auto Metrics::setStalledConnections(std::uint64_t connections) -> void
{
    raiseTo(m_impl->stalledConnections, connections);
}

auto Metrics::setUnservedKeys(const std::string &wait, std::size_t keys) -> void
{
    m_impl->unservedKeys.get(wait, {{"wait", wait}}).Set(static_cast<double>(keys));
}

auto Metrics::countGroupChoices(const std::string &kind, std::uint64_t choices) -> void
{
    m_impl->groupChoices.get(kind, {{"kind", kind}}).Increment(static_cast<double>(choices));
}

auto Metrics::setGroupRoom(const ServiceId &group, const GroupRoom &room, Duration age) -> void
{
    const auto set = [&](const std::string &kind, double value) {
        m_impl->groupRoom
            .get(group.value() + ' ' + kind, {{"group", group.value()}, {"kind", kind}})
            .Set(value);
    };
    set("free", room.freeSlots);
    set("waiting", room.waiting);
    m_impl->groupRoomAge.get(group.value(), {{"group", group.value()}}).Set(inSeconds(age));
}

auto Metrics::setRollout(const RolloutMetric &rollout) -> void
{
    const auto &service = rollout.service.value();
    const auto &version = rollout.version.value();
    const auto name = service + ' ' + version;
    m_impl->rolloutShare.get(name, {{"service", service}, {"version", version}}).Set(rollout.share);
    for (const auto phase : {RolloutPhase::Trial, RolloutPhase::Shift, RolloutPhase::Completed,
                             RolloutPhase::RolledBack}) {
        const auto text = std::string(figlanding::toText(phase));
        m_impl->rolloutPhase
            .get(std::string(name).append(1, ' ').append(text),
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
