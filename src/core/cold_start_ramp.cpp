#include "figlanding/cold_start_ramp.h"

#include "core/duration_conversions.h"

#include <algorithm>

namespace figlanding {

namespace {

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
        // The present service time becomes the one to compare with.
        m_serviceTime = DecayingAverage(serviceTimeConstant);
        restart(now);
    }
    // Jumps stay out of the average, or the first would hide the next.
    if (!jump || m_serviceTime.count() == 0) {
        m_serviceTime.add(sample, now);
    }
    // Only successes under the full limit show that the server bears it.
    if (!ramping() || running < m_limit || now < m_heldUntil) {
        return;
    }
    if (++m_successes >= m_options.successesPerSlot * m_limit) {
        m_successes = 0;
        m_heldUntil = now + m_options.minStepTime;
        ++m_limit;
    }
}

void ColdStartRamp::onShed(std::uint32_t running, TimePoint now)
{
    const auto borne = running > 1 ? running - 1 : 1;
    m_limit = std::max(std::min(m_slots, m_options.initialLimit), std::min(m_limit, borne));
    m_successes = 0;
    m_heldUntil = now + m_options.holdAfterShed;
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
    if (now - *m_coldSince > m_options.maxColdReports) {
        return;
    }
    restart(now);
    m_heldUntil = std::max<TimePoint>(m_heldUntil, now + m_options.holdAfterColdReport);
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
    m_heldUntil = std::max(m_heldUntil, now);
}

} // namespace figlanding
