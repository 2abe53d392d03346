#pragma once

#include "figlanding/error.h"
#include "figlanding/names.h"
#include "figlanding/objects.h"

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Status reports exchanged between VMs, and their JSON encoding.

namespace figlanding {

/// The status of a VM, sent in heartbeats and in the answers to them.
struct PeerReport
{
    VmId vm;
    AvailabilityZoneId zone;
    SocketAddress peerAddress;
    SocketAddress adminAddress;
    std::string incarnation; ///< random identifier of this run of the VM
    LogOffset appliedOffset = 0; ///< last record that the VM has applied
    /// All requests that the VM dispatched to exclusive services under a view older than this
    /// offset have ended.
    LogOffset drainedOffset = 0;
    bool canConfirm = false; ///< ViewFreshness::canConfirm() of the VM
    bool leaving = false; ///< is shutting down and accepts no new work
    bool logReachable = true; ///< its last read or append of the log succeeded
    std::vector<BackendServerId> suspects; ///< servers whose probes from this VM fail
    std::vector<VmId> suspectedVms; ///< members from which this VM receives no heartbeats

    auto operator==(const PeerReport &) const -> bool = default;
};

/// Encodes a report as JSON.
[[nodiscard]] auto encodePeerReport(const PeerReport &report) -> std::string;
/// Decodes a report; does not throw on any input.
/// @returns the report, or ErrorCode::ProtocolViolation if the text is not a valid report
[[nodiscard]] auto decodePeerReport(std::string_view text) -> Result<PeerReport>;

} // namespace figlanding
