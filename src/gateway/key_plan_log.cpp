#include "gateway/key_plan_log.h"

#include "io/log.h"

namespace figlanding {

KeyPlanLog::KeyPlanLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

auto KeyPlanLog::report(const std::map<ServiceId, KeyPlanSummary> &plans) -> void
{
    for (const auto &[service, plan] : plans) {
        auto &reported = m_reported[service];
        if (plan == reported) {
            continue;
        }
        reported = plan;
        m_metrics.setKeyWaits(service.value(), plan.after.meanMs, plan.after.longestMs);
        if (plan.moves == 0) {
            continue;
        }
        logEvent(LogLevel::Info, "key-plan",
                 {{"service", service.value()},
                  {"servers", plan.servers},
                  {"ranges", plan.ranges},
                  {"requests", plan.requests},
                  {"moves", plan.moves},
                  {"keys", plan.keys},
                  {"mean_wait_ms", plan.before.meanMs},
                  {"longest_wait_ms", plan.before.longestMs},
                  {"planned_mean_wait_ms", plan.after.meanMs},
                  {"planned_longest_wait_ms", plan.after.longestMs}});
    }
}

} // namespace figlanding
