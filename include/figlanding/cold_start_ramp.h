#pragma once

#include "figlanding/clock.h"
#include "figlanding/decaying.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Concurrency limit of a backend server that is warming up.

namespace figlanding {

/// Settings of a ColdStartRamp.
struct ColdStartOptions
{
    std::uint32_t initialLimit = 1; ///< concurrency limit after a restart
    /// Number of successes at the full current limit, as a multiple of that limit, that raise it
    /// by one.
    std::uint32_t successesPerSlot = 3;
    double jumpFactor = 4.0; ///< a service time above this multiple of the average is a jump
    std::uint32_t jumpsToRestart = 3; ///< consecutive jumps that restart the ramp
    std::uint64_t minSamples = 20; ///< service times required before jumps are detected
    milliseconds minRaiseInterval{100}; ///< minimum time between two increases of the limit
    milliseconds holdAfterShed{500}; ///< the limit is not raised for this long after a shed
    /// The limit is not raised for this long after a probe that reports a cold server; must exceed
    /// the probe interval, or the limit would rise between two probes.
    milliseconds holdAfterColdReport{500};
    /// Cold reports are ignored once they have continued for longer than this.
    milliseconds maxColdReportDuration{20'000};

    auto operator==(const ColdStartOptions &) const -> bool = default;
};

/// Raises the concurrency limit of a server step by step as requests succeed at the current limit.
///
/// The ramp restarts at the initial limit when the server shows a new boot id, reports that it is
/// cold, fails a request, or when its service time jumps. A report that the server is warm does
/// not raise the limit.
class ColdStartRamp
{
public:
    /// @param slots concurrency limit of the warm server, at least 1
    ColdStartRamp(std::uint32_t slots, const ColdStartOptions &options);

    /// Returns the number of requests that the server may run concurrently.
    [[nodiscard]] auto limit() const -> std::uint32_t;
    /// Returns whether the limit is below that of the warm server.
    [[nodiscard]] auto ramping() const -> bool;

    /// Changes the concurrency limit of the warm server.
    void setSlots(std::uint32_t slots);
    /// Adopts the limit that another VM reached for the same boot of the server, unless it is
    /// lower than the current one. Ignored if a probe has shown another boot id.
    void adopt(std::uint32_t limit, std::string_view bootId);
    /// Returns the last known boot id; empty if unknown.
    [[nodiscard]] auto bootId() const -> const std::string &
    {
        return m_bootId;
    }
    /// Records a complete response.
    /// @param running number of requests that were running when it ended, including this one
    void onSuccess(Duration serviceTime, std::uint32_t running, TimePoint now);
    /// Records that the server rejected a request without running it.
    /// @param running number of requests that were running at that time, including this one
    void onShed(std::uint32_t running, TimePoint now);
    /// Records a lost connection or a timeout. Restarts the ramp.
    void onFailure(TimePoint now);
    /// Records the boot id returned by a probe. A boot id that differs from the last known one
    /// restarts the ramp; the first known boot id does not.
    void onBootId(std::string_view bootId, TimePoint now);
    /// Records a probe that reports a cold server.
    void onColdReport(TimePoint now);
    /// Records a probe that reports a warm server.
    void onWarmReport();

private:
    void restart(TimePoint now);
    [[nodiscard]] auto isJump(double sample) const -> bool;

    std::uint32_t m_slots;
    ColdStartOptions m_options;
    std::uint32_t m_limit;
    std::uint32_t m_successes = 0;
    std::uint32_t m_jumps = 0;
    DecayingAverage m_serviceTime; ///< in milliseconds
    TimePoint m_noRaiseUntil;
    std::optional<TimePoint> m_coldSince; ///< time of the first of the consecutive cold reports
    std::string m_bootId;
};

} // namespace figlanding
