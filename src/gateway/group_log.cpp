#include "gateway/group_log.h"

#include "io/log.h"

#include <cmath>
#include <string>

namespace figlanding {

namespace {

constexpr seconds reportInterval{1};

// Returns the reports as "GROUP free N waiting N rate N age N ms", separated by semicolons.
auto toText(const std::map<ServiceId, GroupReport> &reports, TimePoint now) -> std::string
{
    auto result = std::string{};
    for (const auto &[group, report] : reports) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - report.receivedAt);
        result += (result.empty() ? "" : "; ") + group.value();
        result += " free " + std::to_string(report.room.freeSlots);
        result += " waiting " + std::to_string(report.room.waiting);
        result += " rate " + std::to_string(std::lround(report.room.requestsPerSecond));
        result += " age " + std::to_string(age.count()) + " ms";
    }
    return result;
}

} // namespace

GroupLog::GroupLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

auto GroupLog::report(const SlotClient &slots, TimePoint now) -> void
{
    if (now - m_reportedAt < reportInterval) {
        return;
    }
    m_reportedAt = now;
    for (const auto &[group, report] : slots.groupReports()) {
        m_metrics.setGroupRoom(group, report.room, now - report.receivedAt);
    }
    reportMoves(slots, now);
}

auto GroupLog::reportMoves(const SlotClient &slots, TimePoint now) -> void
{
    const auto &counts = slots.groupChoiceCounts();
    const auto waiting = counts.movedWaiting - m_reported.movedWaiting;
    const auto refused = counts.movedRefused - m_reported.movedRefused;
    countChoices("informed", counts.informed, m_reported.informed);
    countChoices("uninformed", counts.uninformed, m_reported.uninformed);
    countChoices("moved-waiting", counts.movedWaiting, m_reported.movedWaiting);
    countChoices("moved-refused", counts.movedRefused, m_reported.movedRefused);
    m_reported = counts;
    if (waiting + refused == 0) {
        return;
    }
    logEvent(LogLevel::Info, "groups",
             {{"moved_waiting", waiting},
              {"moved_refused", refused},
              {"groups", toText(slots.groupReports(), now)}});
}

auto GroupLog::countChoices(const std::string &kind, std::uint64_t total, std::uint64_t reported)
    -> void
{
    if (total > reported) {
        m_metrics.countGroupChoices(kind, total - reported);
    }
}

} // namespace figlanding
