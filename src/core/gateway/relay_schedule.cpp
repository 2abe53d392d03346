#include "figlanding/gateway/relay_schedule.h"

#include <algorithm>

namespace figlanding {

namespace {

constexpr std::size_t maxSteps = 5; ///< beyond this rank all wait equally long

} // namespace

RelaySchedule::RelaySchedule(const RelayScheduleOptions &options)
    : m_options(options)
{ }

auto RelaySchedule::onRelayed(TimePoint readAt) -> void
{
    m_relayed = true;
    m_relayedAt = std::max(m_relayedAt, readAt);
}

auto RelaySchedule::patience(std::size_t rank) const -> Duration
{
    return m_options.period + m_options.step * static_cast<int>(std::min(rank, maxSteps) + 1);
}

auto RelaySchedule::delay(std::size_t rank, Duration pause, bool failed, TimePoint now) const
    -> Duration
{
    const auto due = m_relayedAt + patience(failed ? maxSteps : rank);
    const auto reads = rank == 0 && !failed;
    return reads || !m_relayed || due <= now ? pause : std::max(pause, due - now);
}

} // namespace figlanding
