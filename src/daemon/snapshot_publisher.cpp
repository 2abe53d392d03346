#include "daemon/snapshot_publisher.h"

#include "figlanding/snapshot.h"
#include "io/log.h"
#include "io/random_bytes.h"

namespace figlanding {

namespace {

constexpr seconds checkInterval{1};
constexpr std::size_t snapshotIdBytes = 8;

} // namespace

SnapshotPublisher::SnapshotPublisher(EventLoop &loop, SnapshotPublisherHandlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
    , m_newestSeenAt(loop.now())
    , m_timer(loop, [this] { publishIfDue(); })
{ }

auto SnapshotPublisher::start() -> void
{
    m_timer.startRepeating(checkInterval);
}

auto SnapshotPublisher::publishIfDue() -> void
{
    const auto &cursor = m_handlers.cursor();
    const auto now = m_loop.now();
    if (cursor.snapshotOffset() != m_newest) {
        m_newest = cursor.snapshotOffset();
        m_newestSeenAt = now;
    }
    const auto due = isSnapshotDue({.first = cursor.first(),
                                    .tail = cursor.tail(),
                                    .covers = m_newest,
                                    .age = now - m_newestSeenAt},
                                   {});
    if (!due || !m_handlers.mayWrite()) {
        return;
    }
    const auto &state = m_handlers.state();
    const auto chunks =
        makeSnapshot(state, {.term = state.term, .snapshotId = randomHex(snapshotIdBytes)});
    logEvent(LogLevel::Info, "snapshot", {{"covers", state.offset}, {"chunks", chunks.size()}});
    for (const auto &chunk : chunks) {
        m_handlers.append(chunk);
    }
}

} // namespace figlanding
