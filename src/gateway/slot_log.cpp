#include "gateway/slot_log.h"

#include "io/log.h"

#include <utility>

namespace figlanding {

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

auto SlotLog::addQueue(std::size_t waiting, std::size_t granted, TimePoint now) -> void
{
    constexpr auto interval = seconds(1);
    if (waiting > 0 && now - m_queueLoggedAt >= interval) {
        m_queueLoggedAt = now;
        logEvent(LogLevel::Info, "slots", {{"waiting", waiting}, {"granted", granted}});
    }
}

} // namespace figlanding
