#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/record.h"

/// @file
/// The deterministic state transition function. The cluster state is the left fold of apply()
/// over the records of the log.

namespace figlanding {

/// Number of records after which the sequence of an inactive writer is discarded.
inline constexpr LogOffset writerRetentionRecords = 200'000;

/// Applies one record to the state.
///
/// A record that is invalid, expects another object version or carries a stale term is rejected:
/// it only adds an audit entry. A duplicate, whose sequence is not above the highest one of its
/// writer, is ignored without an audit entry. In each case the state's offset and time advance,
/// expired quarantines are removed and the sequences of inactive writers are discarded. A snapshot
/// chunk does nothing beyond that and has no audit entry.
/// @param state state after the preceding record; pass it by move to avoid a copy
/// @param record next record of the log; a record at or before the state's offset is ignored
/// @return state after @p record
[[nodiscard]] auto apply(ClusterState state, const LogRecord &record) -> ClusterState;

} // namespace figlanding
