#pragma once

#include "figlanding/http_message.h"
#include "gateway/request_record.h"
#include "io/metrics.h"

#include <cstdint>

/// @file
/// Turns the ends of requests into log lines and metrics.

namespace figlanding {

/// Logs each request that was not served as asked, and a sample of the others.
class RequestLog
{
public:
    /// @param metrics outlives the log
    explicit RequestLog(Metrics &metrics);

    auto add(const RequestRecord &record) -> void;
    /// Answers a question for the metrics.
    [[nodiscard]] auto metricsResponse() const -> HttpResponse;

private:
    Metrics &m_metrics;
    std::uint64_t m_served = 0;
};

} // namespace figlanding
