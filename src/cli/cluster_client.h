#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"
#include "figlanding/log_cursor.h"
#include "figlanding/record.h"

#include <optional>
#include <string>
#include <vector>

/// @file
/// The tool's access to the fleet: the log service and the VMs' admin ports.

namespace figlanding::cli {

/// Addresses and limits of one run of the tool.
struct ConnectionOptions
{
    SocketAddress log;
    std::vector<SocketAddress> admin; ///< admin ports of VMs
    std::string author; ///< recorded in the audit trail
    milliseconds timeout{10000}; ///< for the whole command
};

/// The outcome of an appended record, as every VM sees it.
struct SubmitOutcome
{
    LogOffset offset = 0;
    bool accepted = false;
    std::string refusal; ///< why the record had no effect
};

/// What one VM says of itself.
struct VmView
{
    SocketAddress address; ///< admin port that was asked
    std::string vm; ///< empty if there was no answer
    LogOffset offset = 0;
    bool fresh = false;
    Term term = 0;
    std::string controller;
    std::vector<SocketAddress> adminAddresses; ///< of other VMs, as far as it knows them
    std::string error; ///< why there is no answer
};

/// Whether a record is in force on the VMs.
struct InForce
{
    bool everywhere = false;
    bool unreachable = false; ///< a VM gave no answer
    std::vector<VmView> views; ///< last answer of each VM
    std::vector<std::string> missing; ///< members of which no admin port is known
};

/// Reads and changes the fleet's state through the log.
class ClusterClient
{
public:
    explicit ClusterClient(ConnectionOptions options);

    /// Reads the log up to its tail and returns the folded state.
    /// @return LogUnavailable if the log gives no answer in time
    [[nodiscard]] auto readState() -> Result<ClusterState>;

    /// Appends a record and reads on until it was folded. A record whose answer was lost is
    /// found again by its id, or appended again under the same id.
    /// @return the outcome, or LogUnavailable if it is still unknown when the time is over
    [[nodiscard]] auto submit(RecordPayload payload) -> Result<SubmitOutcome>;

    /// Asks all known admin ports until every member has folded @p offset on a fresh view, or
    /// the time is over.
    [[nodiscard]] auto waitUntilInForce(LogOffset offset) -> Result<InForce>;

    /// Asks one admin port for its state.
    [[nodiscard]] auto askVm(const SocketAddress &address) const -> VmView;

    [[nodiscard]] auto options() const -> const ConnectionOptions &
    {
        return m_options;
    }

private:
    [[nodiscard]] auto timeLeft() const -> milliseconds;
    auto catchUp() -> Result<void>;
    auto readPage() -> Result<void>;
    auto noteRecord(const std::vector<LogRecord> &records) -> void;
    [[nodiscard]] auto outcomeAt(LogOffset offset) const -> Result<SubmitOutcome>;

    [[nodiscard]] auto askAll() const -> std::vector<VmView>;

    ConnectionOptions m_options;
    TimePoint m_deadline;
    LogCursor m_cursor;
    RecordId m_lastId;
    std::optional<LogOffset> m_found; ///< offset of the record that submit() waits for
};

} // namespace figlanding::cli
