#pragma once

#include "io/event_loop.h"

/// @file
/// Waits for events in tests that run an event loop of their own.

namespace figlanding::testing {

/// Runs a loop until a condition holds, or for at most @p limit.
/// @param condition checked every millisecond; must not run the loop
/// @return whether it held in the end
template <typename Condition>
auto runUntil(EventLoop &loop, Condition condition, Duration limit) -> bool
{
    const auto end = loop.now() + limit;
    auto timer = Timer(loop, [&] {
        if (condition() || loop.now() >= end) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(1));
    loop.run();
    return condition();
}

} // namespace figlanding::testing
