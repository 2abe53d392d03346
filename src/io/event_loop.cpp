#include "io/event_loop.h"

#include <ev.h>

#include <utility>
#include <vector>

namespace figlanding {

namespace {

using Callback = std::function<void()>;

auto toEvSeconds(Duration duration) -> ev_tstamp
{
    return std::chrono::duration<ev_tstamp>(duration).count();
}

auto toEvMask(IoEvents events) -> int
{
    const auto bits = static_cast<int>(events);
    const auto read = (bits & static_cast<int>(IoEvents::Read)) != 0 ? EV_READ : 0;
    const auto write = (bits & static_cast<int>(IoEvents::Write)) != 0 ? EV_WRITE : 0;
    return read | write;
}

auto toIoEvents(int mask) -> IoEvents
{
    const auto read = (mask & EV_READ) != 0 ? static_cast<int>(IoEvents::Read) : 0;
    const auto write = (mask & EV_WRITE) != 0 ? static_cast<int>(IoEvents::Write) : 0;
    return static_cast<IoEvents>(read | write);
}

} // namespace

/// Queue of posted callbacks; a zero-delay timer runs them in the loop.
struct EventLoop::Posted
{
    explicit Posted(struct ev_loop *evLoop)
        : loop(evLoop)
    {
        ev_timer_init(&watcher, &Posted::runAll, 0.0, 0.0);
        watcher.data = this;
    }

    static auto runAll(struct ev_loop *, ev_timer *watcher, int) -> void
    {
        auto *posted = static_cast<Posted *>(watcher->data);
        const auto batch = std::exchange(posted->queue, {});
        for (const auto &work : batch) {
            work();
        }
    }

    struct ev_loop *loop;
    ev_timer watcher{};
    std::vector<Callback> queue;
};

EventLoop::EventLoop()
    : m_loop(ev_loop_new(EVFLAG_AUTO))
    , m_posted(std::make_unique<Posted>(m_loop))
{ }

EventLoop::~EventLoop()
{
    ev_timer_stop(m_loop, &m_posted->watcher);
    m_posted.reset();
    ev_loop_destroy(m_loop);
}

auto EventLoop::run() -> void
{
    ev_run(m_loop, 0);
}

auto EventLoop::stop() -> void
{
    ev_break(m_loop, EVBREAK_ALL);
}

auto EventLoop::now() const -> TimePoint
{
    return MonotonicClock::now();
}

auto EventLoop::raw() const -> struct ev_loop *
{
    return m_loop;
}

auto post(EventLoop &loop, Callback work) -> void
{
    auto &posted = *loop.m_posted;
    posted.queue.push_back(std::move(work));
    ev_timer_start(posted.loop, &posted.watcher);
}

/// The callback is held by shared pointer so that it stays valid if it destroys its own timer.
struct Timer::Impl
{
    static auto fire(struct ev_loop *, ev_timer *watcher, int) -> void
    {
        const auto callback = static_cast<Impl *>(watcher->data)->callback;
        (*callback)();
    }

    auto start(Duration delay, Duration repeat) -> void
    {
        ev_timer_stop(loop, &watcher);
        // libev computes timeouts from its cached time, which is stale within a long callback and
        // would make the timer expire early.
        ev_now_update(loop);
        ev_timer_set(&watcher, toEvSeconds(delay), toEvSeconds(repeat));
        ev_timer_start(loop, &watcher);
    }

    struct ev_loop *loop = nullptr;
    std::shared_ptr<const Callback> callback;
    ev_timer watcher{};
};

Timer::Timer(EventLoop &loop, Callback callback)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = loop.raw();
    m_impl->callback = std::make_shared<const Callback>(std::move(callback));
    ev_timer_init(&m_impl->watcher, &Impl::fire, 0.0, 0.0);
    m_impl->watcher.data = m_impl.get();
}

Timer::~Timer()
{
    stop();
}

auto Timer::startOnce(Duration delay) -> void
{
    m_impl->start(delay, Duration::zero());
}

auto Timer::startRepeating(Duration interval) -> void
{
    m_impl->start(interval, interval);
}

auto Timer::stop() -> void
{
    ev_timer_stop(m_impl->loop, &m_impl->watcher);
}

auto Timer::active() const -> bool
{
    return ev_is_active(&m_impl->watcher) != 0;
}

/// The callback is held by shared pointer so that it stays valid if it destroys its own watcher.
struct IoWatcher::Impl
{
    using IoCallback = std::function<void(IoEvents)>;

    static auto fire(struct ev_loop *, ev_io *watcher, int events) -> void
    {
        const auto callback = static_cast<Impl *>(watcher->data)->callback;
        (*callback)(toIoEvents(events));
    }

    struct ev_loop *loop = nullptr;
    std::shared_ptr<const IoCallback> callback;
    ev_io watcher{};
    int fd = -1;
    int mask = 0;
};

IoWatcher::IoWatcher(EventLoop &loop, int fd, std::function<void(IoEvents)> callback)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = loop.raw();
    m_impl->callback = std::make_shared<const Impl::IoCallback>(std::move(callback));
    m_impl->fd = fd;
    ev_io_init(&m_impl->watcher, &Impl::fire, fd, 0);
    m_impl->watcher.data = m_impl.get();
}

IoWatcher::~IoWatcher()
{
    ev_io_stop(m_impl->loop, &m_impl->watcher);
}

auto IoWatcher::watch(IoEvents events) -> void
{
    const auto mask = toEvMask(events);
    if (mask == m_impl->mask) {
        return;
    }
    m_impl->mask = mask;
    ev_io_stop(m_impl->loop, &m_impl->watcher);
    ev_io_set(&m_impl->watcher, m_impl->fd, mask);
    if (mask != 0) {
        ev_io_start(m_impl->loop, &m_impl->watcher);
    }
}

struct SignalWatcher::Impl
{
    static auto fire(struct ev_loop *, ev_signal *watcher, int) -> void
    {
        const auto callback = static_cast<Impl *>(watcher->data)->callback;
        (*callback)();
    }

    struct ev_loop *loop = nullptr;
    std::shared_ptr<const Callback> callback;
    ev_signal watcher{};
};

SignalWatcher::SignalWatcher(EventLoop &loop, int signal, Callback callback)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = loop.raw();
    m_impl->callback = std::make_shared<const Callback>(std::move(callback));
    ev_signal_init(&m_impl->watcher, &Impl::fire, signal);
    m_impl->watcher.data = m_impl.get();
    ev_signal_start(m_impl->loop, &m_impl->watcher);
}

SignalWatcher::~SignalWatcher()
{
    ev_signal_stop(m_impl->loop, &m_impl->watcher);
}

} // namespace figlanding
