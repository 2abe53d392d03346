#pragma once

#include "figlanding/clock.h"
#include "figlanding/move_progress.h"
#include "figlanding/names.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

/// @file
/// Determines until when a VM may renew the lease of a server that loses shards.

namespace figlanding {

/// Stops renewing the leases of old owners while a move is open.
///
/// If an old owner does not acknowledge the revocation, its lease must have expired when the move
/// is committed. The wait before the commit accounts for renewals until the last view older than
/// the move expires, so no later renewal is allowed.
class LeaseRenewal
{
public:
    /// Updates the limits from a newly applied state. The limit of a move that was already open
    /// is unchanged.
    /// @param moves openMoves() of the state
    /// @param olderViewUntil ViewFreshness::freshUntil() before the state was applied; with
    /// nullopt, new moves forbid renewal at once
    auto onState(const std::vector<OpenMove> &moves, std::optional<TimePoint> olderViewUntil)
        -> void;

    /// Returns whether a VM whose view is fresh may renew the lease of @p server at @p now.
    [[nodiscard]] auto mayRenew(const BackendServerId &server, TimePoint now) const -> bool;

private:
    /// Time from which the lease is no longer renewed, by old owner and begin offset of the move.
    std::map<std::pair<BackendServerId, LogOffset>, std::optional<TimePoint>> m_renewUntil;
};

} // namespace figlanding
