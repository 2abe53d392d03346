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
    logEvent(LogLevel::Warning, "ticket-conflict",
             {{"kind", toText(conflict.kind)},
              {"from", conflict.from.value()},
              {"ticket", conflict.number},
              {"process", conflict.named.process},
              {"known_process", conflict.known.process},
              {"service", conflict.named.service.value()},
              {"known_service", conflict.known.service.value()},
              {"server", conflict.named.owner.value()},
              {"known_server", conflict.known.owner.value()},
              {"known_granted", conflict.known.granted}});
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

} // namespace figlanding
