#pragma once

#include "figlanding/admission.h"
#include "figlanding/random.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Support for the benchmarks that simulate request policies: an event queue with simulated time,
/// a simulated backend server behind the real admission, and the output of figures.

namespace figlanding::bench {

/// Simulated time at which every run starts.
inline constexpr auto simulationStart = TimePoint{} + seconds(1000);

/// Returns @p duration in milliseconds.
inline auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the duration of @p value milliseconds, rounded towards zero to the clock's resolution.
inline auto fromMilliseconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/// Draws an exponentially distributed duration.
/// @param mean mean of the distribution, above 0
/// @param random source of randomness
inline auto drawExponential(Duration mean, RandomEngine &random) -> Duration
{
    return fromMilliseconds(
        std::exponential_distribution<double>(1.0 / toMilliseconds(mean))(random));
}

/// Returns the sample of nearest rank.
/// @param samples values in any order
/// @param percent percentile from 0 to 100
/// @return the percentile, or 0 if there are no samples
inline auto percentile(std::vector<double> samples, double percent) -> double
{
    if (samples.empty()) {
        return 0.0;
    }
    std::sort(samples.begin(), samples.end());
    const auto rank = percent / 100.0 * static_cast<double>(samples.size() - 1);
    return samples[static_cast<std::size_t>(std::lround(rank))];
}

/// Prints one result line.
/// @param name name of the figure
/// @param value measured value
/// @param unit unit of @p value and @p baseline
/// @param baseline value of the same figure for the baseline
inline void printFigure(std::string_view name, double value, std::string_view unit, double baseline)
{
    std::cout << name << ' ' << value << ' ' << unit << ' ' << baseline << '\n';
}

/// Discrete-event scheduler: runs callbacks in order of their simulated time, and those of equal
/// time in the order in which they were scheduled.
class EventQueue
{
public:
    using Callback = std::function<void()>;

    /// Schedules @p callback at @p moment.
    void at(TimePoint moment, Callback callback)
    {
        m_events.push(Event{moment, ++m_sequence, std::move(callback)});
    }
    /// Schedules @p callback after @p delay.
    void after(Duration delay, Callback callback)
    {
        at(m_now + delay, std::move(callback));
    }
    /// Runs all events that are due up to and including @p end.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().moment <= end) {
            m_now = m_events.top().moment;
            const auto callback = m_events.top().callback;
            m_events.pop();
            callback();
        }
    }
    /// Returns the current simulated time.
    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }

private:
    struct Event
    {
        TimePoint moment;
        std::uint64_t sequence = 0;
        Callback callback;

        // Inverted, because std::priority_queue pops its greatest element first.
        auto operator<(const Event &other) const -> bool
        {
            return std::pair(moment, sequence) > std::pair(other.moment, other.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    TimePoint m_now = simulationStart;
};

/// A backend server behind its dispatching VM. Admission is the production ServerAdmission; the
/// processing of requests is simulated.
class DispatchedServer
{
public:
    /// Draws the service time of the next request.
    using ServiceTime = std::function<Duration()>;
    /// Callbacks of one request.
    struct Callbacks
    {
        std::function<void()> onStart; ///< called when the request gets a slot
        /// Called once: with true when the request is answered, with false when it is refused or
        /// cancelled.
        std::function<void(bool answered)> onEnd;
    };

    /// @param events scheduler that simulates the service; must outlive this object
    /// @param options settings of the admission
    /// @param serviceTime called once for each request that starts
    DispatchedServer(EventQueue &events, const AdmissionOptions &options, ServiceTime serviceTime)
        : m_events(events)
        , m_admission(options)
        , m_serviceTime(std::move(serviceTime))
    { }

    /// Submits a request at the dispatching VM. Callbacks may run before this returns.
    /// @param team team that the request belongs to
    /// @param deadline simulated time by which the request must have ended
    /// @param callbacks notified of the start and the end of the request
    /// @return id of the request, for cancel()
    auto submit(const TeamId &team, TimePoint deadline, Callbacks callbacks) -> AdmissionId
    {
        const auto id = ++m_lastId;
        const auto request = AdmissionRequest{.id = id, .team = team, .deadline = deadline};
        m_callbacks.emplace(id, std::move(callbacks));
        switch (m_admission.submit(request, m_events.now())) {
        case AdmissionOutcome::Started:
            start(id);
            break;
        case AdmissionOutcome::Queued:
            break;
        case AdmissionOutcome::QueueFull:
        case AdmissionOutcome::DeadlineTooShort:
            end(id, false);
            break;
        }
        endRefused();
        return id;
    }
    /// Removes a request from the queue. Does nothing if it has started or ended.
    void cancel(AdmissionId id)
    {
        if (m_admission.cancelQueued(id)) {
            end(id, false);
        }
    }

private:
    void start(AdmissionId id)
    {
        m_callbacks.at(id).onStart();
        const auto time = m_serviceTime();
        m_events.after(time, [this, id, time] {
            m_admission.finish(id, RequestEnd::Answered, time, m_events.now());
            end(id, true);
            while (const auto next = m_admission.takeNext(m_events.now())) {
                start(next->id);
            }
            endRefused();
        });
    }
    void endRefused()
    {
        for (const auto &refused : m_admission.takeRefused(m_events.now())) {
            end(refused.request.id, false);
        }
    }
    void end(AdmissionId id, bool answered)
    {
        auto callbacks = m_callbacks.extract(id);
        callbacks.mapped().onEnd(answered);
    }

    EventQueue &m_events;
    ServerAdmission m_admission;
    ServiceTime m_serviceTime;
    std::map<AdmissionId, Callbacks> m_callbacks;
    AdmissionId m_lastId = 0;
};

} // namespace figlanding::bench
