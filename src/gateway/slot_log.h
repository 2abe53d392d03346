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
    /// Counts what the brokers of this VM decided, once per second, and adds a line "slots" if
    /// there was anything.
    /// @param slots gives the sums of the decisions away
    auto reportDecisions(SlotClient &slots, TimePoint now) -> void;

private:
    Metrics &m_metrics;
    std::string m_process;
    TimePoint m_reportedAt;
};

} // namespace figlanding
