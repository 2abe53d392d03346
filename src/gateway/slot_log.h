#pragma once

#include "figlanding/gateway/server_registry.h"
#include "gateway/request_record.h"
#include "gateway/slot_client.h"
#include "io/metrics.h"

#include <string>

/// @file
/// Log lines and metrics of slots that do not belong to the request that uses them.

namespace figlanding {

/// Logs and counts each mismatch between a request and a slot.
class SlotLog
{
public:
    /// @param metrics must outlive the log
    /// @param process incarnation of this VM's process
    SlotLog(Metrics &metrics, std::string process);

    /// Adds a message that does not agree with its ticket.
    auto add(const TicketConflict &conflict) -> void;
    /// Adds a grant of a server that runs another service than the request's.
    auto addOtherService(const RequestRecord &record, const ServerEntry &server) -> void;
    /// Adds the state of the queues of the slots that this VM allocates; logged once a second while
    /// requests wait.
    auto addQueue(std::size_t waiting, std::size_t granted, TimePoint now) -> void;

private:
    Metrics &m_metrics;
    std::string m_process;
    TimePoint m_queueLoggedAt;
};

} // namespace figlanding
