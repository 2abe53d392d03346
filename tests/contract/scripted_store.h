#pragma once

#include "figlanding/gateway/store.h"
#include "io/event_loop.h"

#include <functional>
#include <utility>
#include <vector>

/// @file
/// A store for tests of TopicFollower.

namespace figlanding::testing {

/// A store whose responses the test chooses. Records the time of each read.
class ScriptedStore
{
public:
    explicit ScriptedStore(EventLoop &loop)
        : m_loop(loop)
    { }

    auto read(const ReadRequest &request, std::function<void(Settled<KeyedPage>)> callback) -> void
    {
        m_lastRead = request;
        m_reads.push_back(m_loop.now());
        m_latePage = std::exchange(m_page, std::move(callback));
    }
    auto readNewest(const NewestRequest &, std::function<void(Settled<KeyedSnapshot>)> callback)
        -> void
    {
        m_snapshotReads.push_back(m_loop.now());
        m_snapshot = std::move(callback);
    }
    auto append(const AppendRequest &, const std::function<void(Settled<LogOffset>)> &) -> void
    { }
    auto joinGroup(const GroupRequest &, const std::function<void(Settled<bool>)> &) -> void
    { }
    auto leaveGroup(const GroupRequest &) -> void
    { }

    auto respond(Settled<KeyedPage> page) -> void
    {
        std::exchange(m_page, nullptr)(std::move(page));
    }
    auto respond(Settled<KeyedSnapshot> snapshot) -> void
    {
        std::exchange(m_snapshot, nullptr)(std::move(snapshot));
    }
    auto respondToReplacedRead(Settled<KeyedPage> page) -> void
    {
        std::exchange(m_latePage, nullptr)(std::move(page));
    }
    [[nodiscard]] auto hasReplacedRead() const -> bool
    {
        return m_latePage != nullptr;
    }
    [[nodiscard]] auto awaitsPage() const -> bool
    {
        return m_page != nullptr;
    }
    [[nodiscard]] auto lastRead() const -> const ReadRequest &
    {
        return m_lastRead;
    }
    [[nodiscard]] auto awaitsSnapshot() const -> bool
    {
        return m_snapshot != nullptr;
    }
    // Returns when the reads of pages were sent.
    [[nodiscard]] auto reads() const -> const std::vector<TimePoint> &
    {
        return m_reads;
    }
    [[nodiscard]] auto snapshotReads() const -> std::size_t
    {
        return m_snapshotReads.size();
    }

private:
    EventLoop &m_loop;
    ReadRequest m_lastRead;
    std::vector<TimePoint> m_reads;
    std::vector<TimePoint> m_snapshotReads;
    std::function<void(Settled<KeyedPage>)> m_page;
    std::function<void(Settled<KeyedPage>)> m_latePage; ///< of the read before
    std::function<void(Settled<KeyedSnapshot>)> m_snapshot;
};

} // namespace figlanding::testing
