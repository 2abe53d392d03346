#pragma once

#include "figlanding/error.h"
#include "io/socket.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// Execution history of backend servers, written as JSON lines that survive a crash.

namespace figlanding::standins {

/// One request executed by a server. Times are CLOCK_MONOTONIC nanoseconds.
struct Execution
{
    std::string server;
    std::string bootId;
    std::uint64_t sequence = 0; ///< number within the server process
    std::string requestId;
    std::string idempotencyKey;
    std::string method;
    std::string target;
    std::string team;
    std::string service;
    std::string shard; ///< index, or "key:" and the isolated key; empty for pool services
    std::string routingKey;
    std::uint64_t fence = 0;
    bool sawAuthorization = false;
    std::int64_t startNs = 0;
    std::int64_t endNs = 0; ///< 0 while it runs, or if the process ended before it
    std::int64_t deadlineNs = 0; ///< time after which it has no effect; 0 if none
    /// "answered", "answer-lost" (ran, but no response was sent), "cancelled", "deadline" (expired
    /// before the end) or "fenced" (lease or grant lost before the end); empty while endNs is 0.
    std::string outcome;

    auto operator==(const Execution &) const -> bool = default;
};

/// A request beyond a concurrency limit of a server: its slots, or its lower limit while cold.
struct ServerViolation
{
    std::string server;
    std::string kind; ///< "slots" or "cold"
    std::string requestId;
    std::int64_t atNs = 0;
    std::string detail; ///< what the server had shown of its state before; empty for "slots"

    auto operator==(const ServerViolation &) const -> bool = default;
};

/// The parsed histories of any number of servers.
struct Histories
{
    std::vector<Execution> executions;
    std::vector<ServerViolation> violations;
};

/// Writes the execution history of one server process.
class ExecutionHistory
{
public:
    /// @param server name of the server
    /// @param bootId random identifier of this server process
    ExecutionHistory(std::string server, std::string bootId);

    /// Appends each further line to a file too, before the caller continues.
    /// @return IoFailure if the file can't be opened
    [[nodiscard]] auto appendTo(const std::string &path) -> Result<void>;
    /// Records the start of an execution.
    /// @param execution its server, boot ID, sequence number and times are filled in
    /// @return its sequence number
    auto begin(Execution execution) -> std::uint64_t;
    /// Records the end of an execution.
    /// @param sequence number returned by begin()
    /// @param outcome see Execution::outcome
    auto end(std::uint64_t sequence, std::string_view outcome) -> void;
    /// Records a request beyond a concurrency limit.
    /// @param kind see ServerViolation::kind
    /// @param detail see ServerViolation::detail
    auto addViolation(std::string_view kind, const std::string &requestId,
                      std::string_view detail = {}) -> void;
    /// Returns all lines written so far.
    [[nodiscard]] auto text() const -> const std::string &;

private:
    auto write(const nlohmann::json &event) -> void;

    std::string m_server;
    std::string m_bootId;
    FileDescriptor m_file;
    std::string m_text;
    std::uint64_t m_nextSequence = 1;
};

/// Parses the history of one server and adds it to @p histories. An unterminated last line is
/// skipped: the process was killed while writing it.
/// @return ProtocolViolation if any other line is not an event
[[nodiscard]] auto addHistory(Histories &histories, const std::string &text) -> Result<void>;

} // namespace figlanding::standins
