#include "figlanding/cold_start_ramp.h"

#include "core/duration_conversions.h"

#include <algorithm>

namespace figlanding {

namespace {

// Time constant of the decaying average of service times.
constexpr auto serviceTimeConstant = seconds(10);

} // namespace

ColdStartRamp::ColdStartRamp(std::uint32_t slots, const ColdStartOptions &options)
    : m_slots(slots)
    , m_options(options)
    , m_limit(std::min(slots, options.initialLimit))
    , m_serviceTime(serviceTimeConstant)
{ }

auto ColdStartRamp::limit() const -> std::uint32_t
{
    return m_limit;
}

auto ColdStartRamp::ramping() const -> bool
{
    return m_limit < m_slots;
}

void ColdStartRamp::setSlots(std::uint32_t slots)
{
    m_slots = slots;
    m_limit = std::min(m_limit, slots);
}

void ColdStartRamp::adopt(std::uint32_t limit, std::string_view bootId)
{
    if (!m_bootId.empty() && m_bootId != bootId) {
        return;
    }
    m_bootId = bootId;
    m_limit = std::clamp(limit, m_limit, m_slots);
}

auto ColdStartRamp::isJump(double sample) const -> bool
{
    return m_serviceTime.count() >= m_options.minSamples
        && sample > m_options.jumpFactor * m_serviceTime.value();
}

void ColdStartRamp::onSuccess(Duration serviceTime, std::uint32_t running, TimePoint now)
{
    const auto sample = toMilliseconds(serviceTime);
    const auto jump = isJump(sample);
    m_jumps = jump ? m_jumps + 1 : 0;
    if (m_jumps >= m_options.jumpsToRestart) {
        // The new service time becomes the baseline for further jumps.
        m_serviceTime = DecayingAverage(serviceTimeConstant);
        restart(now);
    }
    // Jumps are excluded from the average; otherwise the first would raise it and mask the next.
    if (!jump || m_serviceTime.count() == 0) {
        m_serviceTime.add(sample, now);
    }
    // Only successes at the full limit show that the server sustains it.
    if (!ramping() || running < m_limit || now < m_noRaiseUntil) {
        return;
    }
    if (++m_successes >= m_options.successesPerSlot * m_limit) {
        m_successes = 0;
        m_noRaiseUntil = now + m_options.minRaiseInterval;
        ++m_limit;
    }
}

void ColdStartRamp::onShed(std::uint32_t running, TimePoint now)
{
    const auto sustained = running > 1 ? running - 1 : 1;
    m_limit = std::max(std::min(m_slots, m_options.initialLimit), std::min(m_limit, sustained));
    m_successes = 0;
    m_noRaiseUntil = now + m_options.holdAfterShed;
}

void ColdStartRamp::onFailure(TimePoint now)
{
    restart(now);
}

void ColdStartRamp::onBootId(std::string_view bootId, TimePoint now)
{
    if (!m_bootId.empty() && bootId != m_bootId) {
        m_serviceTime = DecayingAverage(serviceTimeConstant);
        m_coldSince.reset();
        restart(now);
    }
    m_bootId = bootId;
}

void ColdStartRamp::onColdReport(TimePoint now)
{
    m_coldSince = m_coldSince.value_or(now);
    if (now - *m_coldSince > m_options.maxColdReportDuration) {
        return;
    }
    restart(now);
    m_noRaiseUntil = std::max<TimePoint>(m_noRaiseUntil, now + m_options.holdAfterColdReport);
}

void ColdStartRamp::onWarmReport()
{
    m_coldSince.reset();
}

void ColdStartRamp::restart(TimePoint now)
{
    m_limit = std::min(m_slots, m_options.initialLimit);
    m_successes = 0;
    m_jumps = 0;
    m_noRaiseUntil = std::max(m_noRaiseUntil, now);
}

} // namespace figlanding
