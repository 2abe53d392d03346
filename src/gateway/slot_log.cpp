#include "gateway/slot_log.h"

#include "gateway/log_values.h"
#include "io/log.h"

#include <utility>

namespace figlanding {

namespace {

constexpr seconds reportInterval{1};

} // namespace

SlotLog::SlotLog(Metrics &metrics, std::string process)
    : m_metrics(metrics)
    , m_process(std::move(process))
{ }

auto SlotLog::add(const TicketConflict &conflict) -> void
{
    m_metrics.countSlotMismatch(std::string(toText(conflict.kind)));
    const auto level =
        conflict.kind == TicketConflictKind::Response ? LogLevel::Info : LogLevel::Error;
    logEvent(level, "ticket-conflict",
             {{"kind", toText(conflict.kind)},
              {"from", conflict.from.value()},
              {"ticket", conflict.id.number},
              {"ticket_process", conflict.id.process},
              {"service", conflict.named.service.value()},
              {"known_service", conflict.known.service.value()},
              {"server", conflict.named.owner.value()},
              {"known_server", conflict.known.owner.value()},
              {"granted", conflict.named.granted},
              {"known_granted", conflict.known.granted},
              {"process", m_process}});
}

auto SlotLog::addOtherService(const RequestRecord &record, const ServerEntry &server) -> void
{
    m_metrics.countSlotMismatch("service");
    logEvent(LogLevel::Error, "server-of-other-service",
             {{"id", record.requestId},
              {"route", record.route.value()},
              {"service", record.service.value()},
              {"server", server.id.value()},
              {"server_service", server.service.value()},
              {"server_started", server.startedUnixMs},
              {"attempts", record.attempts},
              {"process", m_process}});
}

auto SlotLog::reportDecisions(SlotClient &slots, TimePoint now) -> void
{
    if (now - m_reportedAt < reportInterval) {
        return;
    }
    m_reportedAt = now;
    const auto sums = slots.takeStatistics();
    m_metrics.addSlotWaits(sums.expectedWait, sums.actualWait);
    m_metrics.addRest(sums.rest);
    auto rejections = std::uint64_t{0};
    for (const auto &[kind, count] : sums.rejections) {
        m_metrics.addRejections(std::string(toText(kind)), count);
        rejections += count;
    }
    if (slots.waiting() == 0 && rejections == 0 && sums.refused == 0) {
        return;
    }
    const auto count = [&](RejectionKind kind) {
        const auto found = sums.rejections.find(kind);
        return found == sums.rejections.end() ? std::uint64_t{0} : found->second;
    };
    logEvent(LogLevel::Info, "slots",
             {{"waiting", slots.waiting()},
              {"held", slots.granted()},
              {"granted", sums.granted},
              {"refused", sums.refused},
              {"expected_wait_ms", toMs(sums.expectedWait)},
              {"actual_wait_ms", toMs(sums.actualWait)},
              {"rejected_full", count(RejectionKind::Full)},
              {"rejected_shedding", count(RejectionKind::Shedding)},
              {"rejected_leaving", count(RejectionKind::Leaving)},
              {"rejected_cold", count(RejectionKind::Cold)},
              {"rejected_unreported", count(RejectionKind::Unreported)},
              {"rest_ms", toMs(sums.rest)}});
}

} // namespace figlanding
