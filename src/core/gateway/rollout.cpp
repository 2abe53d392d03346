#include "figlanding/gateway/rollout.h"

namespace figlanding {

auto toText(RolloutPhase phase) -> std::string_view
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Shift:
        return "shift";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    }
    return "unknown";
}

auto isRunning(const RolloutRecord &record) -> bool
{
    return record.phase == RolloutPhase::Trial || record.phase == RolloutPhase::Shift;
}

auto statusOf(const RolloutRecord &record) -> RolloutStatus
{
    auto state = RolloutState::Running;
    if (record.phase == RolloutPhase::Completed) {
        state = RolloutState::Completed;
    } else if (record.phase == RolloutPhase::RolledBack) {
        state = RolloutState::RolledBack;
    }
    return {.service = record.service, .version = record.version, .state = state};
}

} // namespace figlanding
