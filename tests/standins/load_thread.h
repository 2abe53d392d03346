#pragma once

#include "io/load_runner.h"
#include "standins/history_checker.h"

#include <atomic>
#include <thread>
#include <vector>

/// @file
/// Load generation in a background thread.

namespace figlanding::standins {

/// Runs a load plan in a background thread and records each request as its caller saw it.
class LoadThread
{
public:
    /// Starts the thread.
    LoadThread(LoadPlan plan, LoadRunnerOptions options);
    LoadThread(const LoadThread &) = delete;
    auto operator=(const LoadThread &) -> LoadThread & = delete;
    ~LoadThread();

    /// Returns whether all requests have completed.
    [[nodiscard]] auto ended() const -> bool
    {
        return m_ended;
    }
    /// Waits until all requests have completed.
    auto join() -> void;
    /// Returns the summary; valid after join().
    [[nodiscard]] auto report() const -> const LoadReport &
    {
        return m_runner.report();
    }
    /// Returns one record per request; valid after join().
    [[nodiscard]] auto records() const -> const std::vector<CallerRecord> &
    {
        return m_records;
    }

private:
    auto run() -> void;

    LoadProfile m_profile;
    EventLoop m_loop;
    LoadRunner m_runner;
    std::vector<CallerRecord> m_records;
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

} // namespace figlanding::standins
