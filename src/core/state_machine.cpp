#include "figlanding/state_machine.h"

#include "apply_steps.h"

#include <algorithm>

namespace figlanding {

namespace {

// Inactive writers are pruned when the offset is a multiple of this. The trigger is an offset
// because every VM must prune after the same record.
constexpr LogOffset writerPruneInterval = 1024;

// Returns the author for the audit trail: the one that the payload names, or the controller if
// the payload carries the current term, or else the record's writer.
auto authorOf(const ClusterState &state, const Record &record) -> std::string
{
    if (const auto *const change = std::get_if<ConfigChange>(&record.payload)) {
        return change->author;
    }
    if (const auto *const claim = std::get_if<TermClaim>(&record.payload)) {
        return claim->vm.value();
    }
    if (const auto *const quarantine = std::get_if<QuarantineChange>(&record.payload)) {
        return quarantine->author;
    }
    const auto term = std::visit(
        [](const auto &payload) -> Term {
            if constexpr (requires { payload.term; }) {
                return payload.term;
            }
            return 0;
        },
        record.payload);
    return term == state.term && !state.controller.empty() ? state.controller.value()
                                                           : record.id.writer;
}

// Stores the sequence as the highest one of its writer. Returns false for a duplicate, that is,
// if the sequence is not above the stored one.
auto registerRecordId(ClusterState &state, const RecordId &id) -> bool
{
    const auto [entry, isNew] = state.writers.try_emplace(id.writer, id.sequence, state.offset);
    if (isNew) {
        return true;
    }
    auto &[highest, lastSeen] = entry->second;
    lastSeen = state.offset;
    if (id.sequence <= highest) {
        return false;
    }
    highest = id.sequence;
    return true;
}

// Discards the sequences of writers whose last record is older than writerRetentionRecords.
auto pruneWriters(ClusterState &state) -> void
{
    if (state.offset % writerPruneInterval != 0 || state.offset <= writerRetentionRecords) {
        return;
    }
    const auto oldest = state.offset - writerRetentionRecords;
    std::erase_if(state.writers,
                  [oldest](const auto &entry) { return entry.second.second < oldest; });
}

auto removeExpiredQuarantines(ClusterState &state) -> void
{
    std::erase_if(state.quarantines, [now = state.unixMs](const auto &entry) {
        return entry.second.untilUnixMs <= now;
    });
}

auto appendAudit(ClusterState &state, AuditEntry entry) -> void
{
    state.audit.push_back(std::move(entry));
    if (state.audit.size() > maxAuditEntries) {
        state.audit.pop_front();
    }
}

// Applies the payload and adds the audit entry with the outcome.
auto applyRecord(ClusterState &state, const LogRecord &record) -> void
{
    const auto &payload = record.record.payload;
    const auto position = RecordPosition{.offset = record.offset, .unixMs = state.unixMs};
    auto entry = AuditEntry{.offset = record.offset,
                            .unixMs = record.appendedUnixMs,
                            .author = authorOf(state, record.record),
                            .summary = summaryOf(payload)};
    entry.refusal = valueOrElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(std::visit(
                [&](const auto &value) { return applyPayload(state, value, position); }, payload));
            return std::string{};
        },
        [](const Error &error) { return describe(error); });
    entry.accepted = entry.refusal.empty();
    appendAudit(state, std::move(entry));
}

} // namespace

auto apply(ClusterState state, const LogRecord &record) -> ClusterState
{
    if (record.offset <= state.offset) {
        return state;
    }
    state.offset = record.offset;
    state.unixMs = std::max(state.unixMs, record.appendedUnixMs);
    removeExpiredQuarantines(state);
    // An unreadable record has no id, so duplicates of it cannot be detected.
    const auto isUnreadable = std::holds_alternative<UnreadableRecord>(record.record.payload);
    const auto isFirstDelivery = isUnreadable || registerRecordId(state, record.record.id);
    if (isFirstDelivery && !std::holds_alternative<SnapshotChunk>(record.record.payload)) {
        applyRecord(state, record);
    }
    pruneWriters(state);
    return state;
}

} // namespace figlanding
