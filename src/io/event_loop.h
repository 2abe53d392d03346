#pragma once

#include "figlanding/clock.h"

#include <functional>
#include <memory>

/// @file
/// A libev event loop and its watchers. All callbacks run on the thread that calls run().

struct ev_loop;

namespace figlanding {

/// Owns one libev loop.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    /// Runs until stop() is called.
    auto run() -> void;
    /// Makes run() return after the current callback.
    auto stop() -> void;
    /// Returns the current time of the monotonic clock, not libev's cached time.
    [[nodiscard]] auto now() const -> TimePoint;
    /// Returns the underlying libev loop, to integrate libraries that use libev directly.
    [[nodiscard]] auto raw() const -> struct ev_loop *;

private:
    struct Posted;
    friend auto post(EventLoop &loop, std::function<void()> work) -> void;

    struct ev_loop *m_loop = nullptr;
    std::unique_ptr<Posted> m_posted;
};

/// One-shot or repeating timer. Destruction cancels it.
class Timer
{
public:
    /// @param loop must outlive the timer
    /// @param callback runs on the loop's thread; it may restart, stop or destroy the timer
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    /// Runs the callback once after @p delay; replaces an earlier start.
    auto startOnce(Duration delay) -> void;
    /// Runs the callback every @p interval, first after one interval; replaces an earlier start.
    auto startRepeating(Duration interval) -> void;
    auto stop() -> void;
    [[nodiscard]] auto active() const -> bool;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Bit set of the I/O events that an IoWatcher waits for.
enum class IoEvents : int { None = 0, Read = 1, Write = 2, ReadWrite = 3 };

/// Runs a callback when a file descriptor is ready. Does not own the descriptor.
class IoWatcher
{
public:
    /// @param loop must outlive the watcher
    /// @param fd must stay open while events are watched
    /// @param callback receives the events that are ready; it may destroy the watcher
    IoWatcher(EventLoop &loop, int fd, std::function<void(IoEvents)> callback);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    auto operator=(const IoWatcher &) -> IoWatcher & = delete;

    /// Sets the events to wait for; IoEvents::None pauses the watcher.
    auto watch(IoEvents events) -> void;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Runs a callback on the loop's thread when a POSIX signal arrives.
class SignalWatcher
{
public:
    SignalWatcher(EventLoop &loop, int signal, std::function<void()> callback);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    auto operator=(const SignalWatcher &) -> SignalWatcher & = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Queues @p work to run after the current callback returns, in an upcoming loop iteration. Must
/// be called on the loop's thread.
auto post(EventLoop &loop, std::function<void()> work) -> void;

} // namespace figlanding
