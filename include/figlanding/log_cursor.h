#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"
#include "figlanding/snapshot.h"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// Follows the log: decides what to read next and applies what was read to the state. Performs
/// no I/O itself.

namespace figlanding {

/// A read request to the log.
struct LogRead
{
    LogOffset from = 1;
    std::uint32_t maxRecords = 1000;
    bool allowLongPoll = true; ///< the log may hold its answer until a record at @ref from exists

    auto operator==(const LogRead &) const -> bool = default;
};

/// The log's answer to a read.
struct LogPage
{
    LogOffset first = 0; ///< oldest retained offset; 0 if the log is empty
    LogOffset tail = 0; ///< newest offset; 0 if the log is empty
    std::vector<LogRecord> records; ///< consecutive, from the requested offset
};

/// Outcome of LogCursor::accept().
enum class LogProgress {
    Applied, ///< the page's records were applied to the state
    Searching, ///< the log has dropped needed records; the search for a snapshot goes on
    Restored, ///< the state was replaced by the state of a snapshot
};

/// Settings of LogCursor.
struct LogCursorOptions
{
    std::uint32_t maxRecords = 1000; ///< per read
    SnapshotAssemblerOptions snapshots;
};

/// Applies the records of the log in offset order without gaps. If the log no longer retains the
/// next record, the cursor searches the log for a complete snapshot, window by window from the tail
/// backwards, and continues from that snapshot. The offset of the state never decreases.
class LogCursor
{
public:
    /// @param state state to continue from, such as one from another VM; empty by default
    /// @param options limits of reads and snapshots
    explicit LogCursor(ClusterState state = {}, LogCursorOptions options = {});

    /// Returns the next read to perform.
    [[nodiscard]] auto nextRead() const -> LogRead;

    /// Processes the answer to a read.
    /// @param read the read, as returned by nextRead()
    /// @param page the log's answer to it
    /// @return the outcome; ProtocolViolation if the page contradicts the read or earlier pages,
    /// in which case nothing has changed; SnapshotIncomplete if the log retains neither the next
    /// record nor a complete snapshot, in which case the next answer restarts the search. Retry
    /// later after either error.
    [[nodiscard]] auto accept(const LogRead &read, const LogPage &page) -> Result<LogProgress>;

    /// Replaces the state by a newer one from another VM and ends a search for a snapshot.
    /// @return InvalidTransition if @p state is not newer
    [[nodiscard]] auto installState(ClusterState state) -> Result<void>;

    [[nodiscard]] auto state() const -> const ClusterState &
    {
        return m_state;
    }
    /// Returns whether the state includes every record up to the newest known tail.
    [[nodiscard]] auto caughtUp() const -> bool
    {
        return !m_searchWindow && m_state.offset >= m_tail;
    }
    /// Returns whether the cursor is searching the log for a snapshot.
    [[nodiscard]] auto searching() const -> bool
    {
        return m_searchWindow.has_value();
    }
    /// Returns the highest known value of the oldest retained offset.
    [[nodiscard]] auto first() const -> LogOffset
    {
        return m_first;
    }
    /// Returns the highest known offset of the log.
    [[nodiscard]] auto tail() const -> LogOffset
    {
        return m_tail;
    }
    /// Returns the offset that the newest complete snapshot covers, or 0 if none was found.
    [[nodiscard]] auto snapshotOffset() const -> LogOffset;

private:
    // Range of offsets that is being read for snapshots. Each next window ends where the
    // previous one began, so the search goes backwards.
    struct SearchWindow
    {
        LogOffset begin = 0; ///< first offset of the window
        LogOffset next = 0; ///< next offset to read
        LogOffset end = 0; ///< offset after the window
    };

    [[nodiscard]] auto validatePage(const LogRead &read, const LogPage &page) const -> Result<void>;
    auto applyPage(const LogPage &page) -> LogProgress;
    auto startSearch() -> LogProgress;
    auto continueSearch(const LogPage &page) -> Result<LogProgress>;
    auto finishWindow() -> Result<LogProgress>;
    auto restoreFromSnapshot() -> bool;
    auto collectChunk(const LogRecord &record) -> void;

    ClusterState m_state;
    LogCursorOptions m_options;
    LogOffset m_first = 1;
    LogOffset m_tail = 0;
    std::optional<SearchWindow> m_searchWindow;
    SnapshotAssembler m_snapshots;
};

} // namespace figlanding
