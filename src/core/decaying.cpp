#include "figlanding/decaying.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

// Minimum weight of a new sample. Without it, samples with equal times would not change the
// average.
constexpr auto minSampleWeight = 0.05;

auto decayFactor(Duration elapsed, Duration timeConstant) -> double
{
    const auto ratio =
        static_cast<double>(elapsed.count()) / static_cast<double>(timeConstant.count());
    return std::exp(-std::max(0.0, ratio));
}

} // namespace

DecayingRate::DecayingRate(Duration timeConstant)
    : m_timeConstant(timeConstant)
{ }

auto DecayingRate::weightAt(TimePoint now) const -> double
{
    return m_weight * decayFactor(now - m_updatedAt, m_timeConstant);
}

void DecayingRate::add(double count, TimePoint now)
{
    m_weight = weightAt(now) + count;
    m_updatedAt = std::max(m_updatedAt, now);
}

auto DecayingRate::perSecond(TimePoint now) const -> double
{
    return weightAt(now) / std::chrono::duration<double>(m_timeConstant).count();
}

DecayingAverage::DecayingAverage(Duration timeConstant)
    : m_timeConstant(timeConstant)
{ }

void DecayingAverage::add(double sample, TimePoint now)
{
    const auto weight = m_count == 0
        ? 1.0
        : std::max(minSampleWeight, 1.0 - decayFactor(now - m_updatedAt, m_timeConstant));
    m_value += weight * (sample - m_value);
    m_updatedAt = std::max(m_updatedAt, now);
    ++m_count;
}

void DecayingAverage::addPeakSensitive(double sample, TimePoint now)
{
    add(sample, now);
    m_value = std::max(m_value, sample);
}

auto DecayingAverage::value() const -> double
{
    return m_value;
}

auto DecayingAverage::decayedValue(TimePoint now) const -> double
{
    return m_value * decayFactor(now - m_updatedAt, m_timeConstant);
}

auto DecayingAverage::count() const -> std::uint64_t
{
    return m_count;
}

} // namespace figlanding
