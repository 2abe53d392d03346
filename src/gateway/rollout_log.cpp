#include "gateway/rollout_log.h"

#include "io/log.h"

namespace figlanding {

RolloutLog::RolloutLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

auto RolloutLog::addOrder(const RolloutOrder &order, bool enabled) -> void
{
    logEvent(enabled ? LogLevel::Info : LogLevel::Warning,
             enabled ? "rollout-ordered" : "rollout-not-configured",
             {{"service", order.service.value()},
              {"version", order.version.value()},
              {"duration_ms", order.duration.count()},
              {"order", order.offset}});
}

auto RolloutLog::addStep(const RolloutRecord &record, const Judgement &judgement) -> void
{
    logEvent(LogLevel::Info, "rollout-step",
             {{"service", record.service.value()},
              {"version", record.version.value()},
              {"order", record.order},
              {"revision", record.revision},
              {"phase", toText(record.phase)},
              {"share", record.share},
              {"trial_servers", record.trialServers.size()},
              {"responses", judgement.responses},
              {"suspects", judgement.suspects.size()},
              {"reason", record.reason}});
}

auto RolloutLog::addFailure(const std::string &key, const Error &error) -> void
{
    logEvent(LogLevel::Info, "rollout-append-failed", {{"key", key}, {"error", describe(error)}});
}

auto RolloutLog::follow(const std::map<ServiceId, RolloutRecord> &records) -> void
{
    for (const auto &[service, record] : records) {
        auto &revision = m_revisions[service];
        if (revision == record.revision) {
            continue;
        }
        revision = record.revision;
        m_metrics.setRollout({.service = service,
                              .version = record.version,
                              .phase = record.phase,
                              .share = record.share});
        logEvent(LogLevel::Info, "rollout-followed",
                 {{"service", service.value()},
                  {"version", record.version.value()},
                  {"revision", record.revision},
                  {"phase", toText(record.phase)},
                  {"share", record.share},
                  {"reason", record.reason}});
    }
}

} // namespace figlanding
