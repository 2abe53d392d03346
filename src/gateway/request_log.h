#pragma once

#include "figlanding/http_message.h"
#include "figlanding/objects.h"
#include "gateway/request_record.h"
#include "io/metrics.h"

#include <cstdint>

/// @file
/// Log lines and metrics of completed requests.

namespace figlanding {

/// Counts every request in the metrics. Logs each request that was refused, retried or has a
/// detail or a response that ended with its connection, and a sample of the ordinary ones.
class RequestLog
{
public:
    /// @param metrics must outlive the log
    explicit RequestLog(Metrics &metrics);

    /// Adds a completed request.
    auto add(const RequestRecord &record) -> void;
    /// Adds input that a server sent on a connection that no request used.
    auto addUnexpectedInput(const SocketAddress &server) -> void;
    /// Returns the response to a metrics scrape.
    [[nodiscard]] auto metricsResponse() const -> HttpResponse;

private:
    Metrics &m_metrics;
    std::uint64_t m_ordinaryRequests = 0;
};

} // namespace figlanding
