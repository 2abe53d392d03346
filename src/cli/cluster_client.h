#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"
#include "figlanding/log_cursor.h"
#include "figlanding/record.h"

#include <optional>
#include <string>
#include <vector>

/// @file
/// Client for the log service and for the admin ports of the VMs.

namespace figlanding::cli {

/// Addresses, author and time limit of one command.
struct ClientOptions
{
    SocketAddress log; ///< log service
    std::vector<SocketAddress> admin; ///< admin ports of VMs
    std::string author; ///< name that the audit trail records
    milliseconds timeout{10000}; ///< for the whole command
};

/// Outcome of an appended record. It follows from the log alone, so it is the same on every VM.
struct SubmitOutcome
{
    LogOffset offset = 0;
    bool accepted = false;
    std::string refusal; ///< why the record had no effect; empty if accepted
};

/// Status that one VM reports at its admin port.
struct VmStatus
{
    SocketAddress address; ///< admin port that was queried
    std::string vm; ///< name of the VM; empty if there was no valid response
    LogOffset offset = 0; ///< newest record that the VM has applied
    bool fresh = false; ///< whether the VM's state is recent enough to act on
    Term term = 0;
    std::string controller;
    std::vector<SocketAddress> adminAddresses; ///< of the members that the VM lists
    std::string error; ///< why there is no valid response
};

/// Reports whether a record is in force on every VM, that is applied to a fresh state.
struct InForceReport
{
    bool everywhere = false;
    bool unreachable = false; ///< a VM gave no valid response
    std::vector<VmStatus> vmStatuses; ///< last response of each VM
    std::vector<std::string> missing; ///< members that no queried admin port belongs to
};

/// Reads the fleet's state from the log and changes it by appending records. All calls share
/// one deadline, which starts at construction.
class ClusterClient
{
public:
    explicit ClusterClient(ClientOptions options);

    /// Reads the log up to its tail.
    /// @return the resulting state, or the last read's error (LogUnavailable if reads succeed but
    /// do not reach the tail) at the deadline
    [[nodiscard]] auto readState() -> Result<ClusterState>;

    /// Appends a record and reads the log until the record is applied. If the response to the
    /// append is lost, the record is looked up in the log by its id and, if missing, appended
    /// again under the same id.
    /// @return the outcome, or LogUnavailable if it is still unknown at the deadline
    [[nodiscard]] auto submit(RecordPayload payload) -> Result<SubmitOutcome>;

    /// Polls all known admin ports until every member has applied @p offset to a fresh state, or
    /// until the deadline.
    /// @return the last report that the deadline did not cut off, else the first; MissingField
    /// without an admin address; or an error of readState() if there is no report
    [[nodiscard]] auto waitUntilInForce(LogOffset offset) -> Result<InForceReport>;

    /// Queries one admin port.
    /// @return the VM's status; a failure is described in its field "error"
    [[nodiscard]] auto queryVm(const SocketAddress &address) const -> VmStatus;

    [[nodiscard]] auto options() const -> const ClientOptions &
    {
        return m_options;
    }

private:
    [[nodiscard]] auto remainingTime() const -> milliseconds;
    auto readToTail() -> Result<void>;
    auto readPage() -> Result<void>;
    auto findSubmittedRecord(const std::vector<LogRecord> &records) -> void;
    [[nodiscard]] auto outcomeAt(LogOffset offset) const -> Result<SubmitOutcome>;

    // Queries the configured admin ports and those of the members that the responses list.
    [[nodiscard]] auto queryAllVms() const -> std::vector<VmStatus>;

    ClientOptions m_options;
    TimePoint m_deadline;
    LogCursor m_cursor;
    RecordId m_submittedId; ///< id of the newest record that submit() appended
    std::optional<LogOffset> m_submittedOffset; ///< offset of that record, once it was read
};

} // namespace figlanding::cli
