#pragma once

#include "figlanding/clock.h"

#include <cstdint>

/// @file
/// Exponentially decaying estimators of a rate and of a mean.

namespace figlanding {

/// Estimates the rate of events with exponential decay.
class DecayingRate
{
public:
    /// @param timeConstant time after which an event's contribution has fallen to 1/e
    explicit DecayingRate(Duration timeConstant);

    /// Records @p count events at @p now.
    void add(double count, TimePoint now);
    /// Returns the estimated rate at @p now, in events per second.
    [[nodiscard]] auto perSecond(TimePoint now) const -> double;

private:
    [[nodiscard]] auto weightAt(TimePoint now) const -> double;

    Duration m_timeConstant;
    double m_weight = 0.0;
    TimePoint m_updatedAt{};
};

/// Exponentially weighted moving average of samples.
class DecayingAverage
{
public:
    /// @param timeConstant time after which a sample's weight has fallen to 1/e
    explicit DecayingAverage(Duration timeConstant);

    /// Records one sample taken at @p now.
    void add(double sample, TimePoint now);
    /// Records one sample; if the sample exceeds the average, the average is set to the sample.
    void addPeakSensitive(double sample, TimePoint now);
    /// Returns the average; 0 if there is no sample.
    [[nodiscard]] auto value() const -> double;
    /// Returns the average, decayed by the time from the last sample to @p now.
    [[nodiscard]] auto decayedValue(TimePoint now) const -> double;
    /// Returns the number of samples recorded since construction.
    [[nodiscard]] auto count() const -> std::uint64_t;

private:
    Duration m_timeConstant;
    double m_value = 0.0;
    std::uint64_t m_count = 0;
    TimePoint m_updatedAt{};
};

} // namespace figlanding
