#pragma once

#include "figlanding/record.h"
#include "io/http_client.h"

#include <cstdint>
#include <functional>
#include <vector>

/// @file
/// Client of the platform's append-only log service, which speaks JSON over HTTP.

namespace figlanding {

/// Response to a read of the log.
struct LogReadResponse
{
    LogOffset first = 0; ///< oldest retained offset; 0 if the log is empty
    LogOffset tail = 0; ///< newest offset; 0 if the log is empty
    std::vector<LogRecord> records; ///< consecutive records from the requested offset

    auto operator==(const LogReadResponse &) const -> bool = default;
};

/// Parameters of a read of the log.
struct LogReadOptions
{
    LogOffset from = 1; ///< offset of the first record to return
    std::uint32_t maxRecords = 1000;
    milliseconds wait{0}; ///< long poll: longest time to wait for a record at @ref from
};

/// Creates the HTTP request for a read.
[[nodiscard]] auto logReadRequest(const LogReadOptions &options) -> HttpRequest;
/// Parses the response to a read. A record that cannot be parsed becomes an UnreadableRecord.
/// @return the response, LogUnavailable if there is none or its status is not 200, or
///         ProtocolViolation if it is malformed
[[nodiscard]] auto parseLogReadResponse(const HttpOutcome &outcome) -> Result<LogReadResponse>;

/// Creates the HTTP request for an append.
[[nodiscard]] auto logAppendRequest(const Record &record) -> HttpRequest;
/// Parses the response to an append.
/// @return offset of the appended record, or the errors of parseLogReadResponse(); after an error
///         it is unknown whether the record was appended
[[nodiscard]] auto parseLogAppendResponse(const HttpOutcome &outcome) -> Result<LogOffset>;

/// Requirements on a client of the log. Each callback runs exactly once, on the event loop's
/// thread.
template <typename Service>
concept LogService = requires(Service &service, const LogReadOptions &options, const Record &record)
{
    service.read(options, [](const Settled<LogReadResponse> &) {});
    service.append(record, [](const Settled<LogOffset> &) {});
};

/// Accesses the log service over HTTP.
class HttpLogService
{
public:
    /// @param address address of the log service
    /// @param timeout time limit of a connection attempt and of a response; for the response to a
    ///        read, LogReadOptions::wait is added
    HttpLogService(HttpClient &client, SocketAddress address, milliseconds timeout);

    /// Reads records from an offset on.
    auto read(const LogReadOptions &options,
              std::function<void(const Settled<LogReadResponse> &)> callback) -> void;
    /// Appends a record.
    auto append(const Record &record, std::function<void(const Settled<LogOffset> &)> callback)
        -> void;

private:
    HttpClient &m_client;
    SocketAddress m_address;
    milliseconds m_timeout;
};

} // namespace figlanding
