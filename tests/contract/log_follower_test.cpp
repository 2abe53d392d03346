#include "daemon/log_follower.h"

#include "figlanding/snapshot.h"
#include "figlanding/state_machine.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;

namespace {

// An in-memory log service. It responds to a read in the next turn of the event loop.
class MemoryLog
{
public:
    explicit MemoryLog(EventLoop &loop)
        : m_loop(loop)
    { }

    auto add(RecordPayload payload) -> void
    {
        auto &record = records.emplace_back();
        record.offset = records.size();
        record.record.id = {.writer = "test", .sequence = record.offset};
        record.record.payload = std::move(payload);
        state = apply(std::move(state), record);
    }

    auto read(const LogReadOptions &options,
              const std::function<void(const Settled<LogReadResponse> &)> &callback) -> void
    {
        auto response = LogReadResponse{.first = first, .tail = records.size()};
        const auto end = std::min<LogOffset>(options.from + options.maxRecords, response.tail + 1);
        for (auto offset = std::max(options.from, first); offset < end; ++offset) {
            response.records.push_back(records.at(offset - 1));
        }
        post(m_loop, [response, callback] { callback(response); });
    }

    auto append(const Record &, const std::function<void(const Settled<LogOffset> &)> &) -> void
    { }

    LogOffset first = 1;
    std::vector<LogRecord> records;
    ClusterState state;

private:
    EventLoop &m_loop;
};

// What a follower reported until it reached the log's tail or failed.
struct Outcome
{
    ClusterState state;
    std::size_t states = 0;
    std::string error;
};

auto follow(EventLoop &loop, MemoryLog &log) -> Outcome
{
    auto outcome = Outcome{};
    const auto stopAt = [&](const ClusterState &state, LogOffset tail) {
        if (state.offset == tail) {
            loop.stop();
        }
    };
    LogFollower<MemoryLog> follower(
        loop, log, {},
        {.onState = [&](const ClusterState &) { ++outcome.states; },
         .onRead = [&](TimePoint, LogOffset tail) { stopAt(follower.state(), tail); },
         .onError =
             [&](const Error &error) {
                 outcome.error = describe(error);
                 loop.stop();
             }});
    follower.start();
    loop.run();
    outcome.state = follower.state();
    return outcome;
}

auto addTerms(MemoryLog &log, Term count) -> void
{
    for (; count > 0; --count) {
        log.add(TermClaim{.term = log.state.term + 1, .vm = VmId("vm-1")});
    }
}

} // namespace

TEST_CASE("a follower reads a complete log from its first record")
{
    EventLoop loop;
    auto log = MemoryLog(loop);
    addTerms(log, 5);
    const auto outcome = follow(loop, log);
    CHECK(outcome.state == log.state);
    CHECK(outcome.states == 1);
}

TEST_CASE("a follower of a truncated log starts from a snapshot")
{
    EventLoop loop;
    auto log = MemoryLog(loop);
    addTerms(log, 5);
    for (const auto &chunk : makeSnapshot(log.state, {.snapshotId = "s", .maxChunkBytes = 100})) {
        log.add(chunk);
    }
    addTerms(log, 2);
    log.first = 6;
    const auto outcome = follow(loop, log);
    CHECK(outcome.state == log.state);
    CHECK(outcome.error.empty());
}

TEST_CASE("a follower of a truncated log without a snapshot reports an error")
{
    EventLoop loop;
    auto log = MemoryLog(loop);
    addTerms(log, 5);
    log.first = 3;
    const auto outcome = follow(loop, log);
    CHECK(outcome.error.find("snapshot is incomplete: the log keeps offsets 3 to 5") == 0);
    CHECK(outcome.state == ClusterState{});
}
