#include "figlanding/log_cursor.h"

#include "figlanding/state_machine.h"

#include <algorithm>

namespace figlanding {

namespace {

auto protocolViolation(std::string detail) -> boost::leaf::error_id
{
    return fail(ErrorCode::ProtocolViolation, std::move(detail));
}

// Checks that the page holds consecutive records from the requested offset on, none beyond the
// tail, and at least one if the requested offset exists.
auto checkConsecutive(const LogRead &read, const LogPage &page) -> Result<void>
{
    auto expected = read.from;
    for (const auto &record : page.records) {
        if (record.offset != expected) {
            return protocolViolation("the log returned offset " + std::to_string(record.offset)
                                     + " in place of " + std::to_string(expected));
        }
        ++expected;
    }
    if (expected > page.tail + 1 && !page.records.empty()) {
        return protocolViolation("the log returned offset " + std::to_string(expected - 1)
                                 + " beyond its tail " + std::to_string(page.tail));
    }
    if (page.records.empty() && read.from <= page.tail) {
        return protocolViolation("the log returned no record at offset " + std::to_string(read.from)
                                 + " before its tail " + std::to_string(page.tail));
    }
    return {};
}

} // namespace

LogCursor::LogCursor(ClusterState state, LogCursorOptions options)
    : m_state(std::move(state))
    , m_options(options)
    , m_tail(m_state.offset)
    , m_snapshots(options.snapshots)
{ }

auto LogCursor::nextRead() const -> LogRead
{
    if (!m_searchWindow) {
        return {.from = m_state.offset + 1, .maxRecords = m_options.maxRecords};
    }
    const auto left = std::max<LogOffset>(m_searchWindow->end - m_searchWindow->next, 1);
    return {.from = m_searchWindow->next,
            .maxRecords =
                static_cast<std::uint32_t>(std::min<LogOffset>(left, m_options.maxRecords)),
            .allowLongPoll = false};
}

auto LogCursor::accept(const LogRead &read, const LogPage &page) -> Result<LogProgress>
{
    if (read != nextRead()) {
        return protocolViolation("answer to a read at offset " + std::to_string(read.from)
                                 + ", the next read is at " + std::to_string(nextRead().from));
    }
    BOOST_LEAF_CHECK(validatePage(read, page));
    m_tail = page.tail;
    m_first = std::max(m_first, page.first);
    if (read.from < m_first) {
        return startSearch();
    }
    return m_searchWindow ? continueSearch(page) : Result<LogProgress>(applyPage(page));
}

auto LogCursor::validatePage(const LogRead &read, const LogPage &page) const -> Result<void>
{
    if (page.tail < m_tail) {
        return protocolViolation("the log's tail went back from " + std::to_string(m_tail) + " to "
                                 + std::to_string(page.tail));
    }
    if (page.first > page.tail + 1) {
        return protocolViolation("the log's first offset " + std::to_string(page.first)
                                 + " is beyond its tail " + std::to_string(page.tail));
    }
    if (read.from < std::max(m_first, page.first)) {
        return {}; // The requested record was dropped; accept() ignores the page's records.
    }
    return checkConsecutive(read, page);
}

auto LogCursor::applyPage(const LogPage &page) -> LogProgress
{
    for (const auto &record : page.records) {
        m_state = apply(std::move(m_state), record);
        collectChunk(record);
    }
    return LogProgress::Applied;
}

// Starts the search at the tail, with the last maxRecords records as the first window.
auto LogCursor::startSearch() -> LogProgress
{
    const auto end = m_tail + 1;
    const auto begin = std::max(m_first, end - std::min<LogOffset>(end, m_options.maxRecords));
    m_searchWindow = SearchWindow{.begin = begin, .next = begin, .end = end};
    return LogProgress::Searching;
}

auto LogCursor::continueSearch(const LogPage &page) -> Result<LogProgress>
{
    for (const auto &record : page.records) {
        if (m_searchWindow->next == m_searchWindow->end) {
            break;
        }
        collectChunk(record);
        ++m_searchWindow->next;
    }
    return m_searchWindow->next == m_searchWindow->end ? finishWindow() : LogProgress::Searching;
}

// Restores the state if a usable snapshot was found, or else moves the window backwards. Fails if
// the window already began at the first retained record.
auto LogCursor::finishWindow() -> Result<LogProgress>
{
    if (restoreFromSnapshot()) {
        m_searchWindow.reset();
        return LogProgress::Restored;
    }
    if (m_searchWindow->begin > m_first) {
        const auto end = m_searchWindow->begin;
        const auto begin = std::max(m_first, end - std::min<LogOffset>(end, m_options.maxRecords));
        m_searchWindow = SearchWindow{.begin = begin, .next = begin, .end = end};
        return LogProgress::Searching;
    }
    m_searchWindow.reset();
    return fail(
        ErrorCode::SnapshotIncomplete,
        "the log keeps offsets " + std::to_string(m_first) + " to " + std::to_string(m_tail)
            + " but no complete snapshot that reaches the first of them; next needed offset "
            + std::to_string(m_state.offset + 1) + "; " + m_snapshots.describePending());
}

// Replaces the state by that of the newest complete snapshot. Returns false if that snapshot does
// not reach the retained records, is not newer than the state, or cannot be decoded. One that
// cannot be decoded is discarded, so that an older one can be assembled in a later window.
auto LogCursor::restoreFromSnapshot() -> bool
{
    const auto &newest = m_snapshots.newest();
    if (!newest || newest->covers + 1 < m_first || newest->covers <= m_state.offset) {
        return false;
    }
    auto state = settle([&] { return decodeSnapshot(*newest); });
    if (!state) {
        m_snapshots.dropNewest();
        return false;
    }
    m_state = state.value();
    return true;
}

// Passes a snapshot chunk to the assembler; ignores other records and chunks that claim to cover
// their own offset or a later one. Errors are ignored: the assembler has discarded the corrupt
// snapshot, and an older one may still be complete.
auto LogCursor::collectChunk(const LogRecord &record) -> void
{
    const auto *const chunk = std::get_if<SnapshotChunk>(&record.record.payload);
    if (chunk != nullptr && chunk->covers < record.offset) {
        static_cast<void>(valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_snapshots.add(*chunk));
                return true;
            },
            [](const Error &) { return false; }));
    }
}

auto LogCursor::installState(ClusterState state) -> Result<void>
{
    if (state.offset <= m_state.offset) {
        return fail(ErrorCode::InvalidTransition,
                    "state at offset " + std::to_string(state.offset) + " is no newer than that at "
                        + std::to_string(m_state.offset));
    }
    m_state = std::move(state);
    m_tail = std::max(m_tail, m_state.offset);
    m_searchWindow.reset();
    return {};
}

auto LogCursor::snapshotOffset() const -> LogOffset
{
    return m_snapshots.newest() ? m_snapshots.newest()->covers : 0;
}

} // namespace figlanding
