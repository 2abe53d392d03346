#include "figlanding/gateway/relay_schedule.h"

#include <algorithm>
#include <bit>

namespace figlanding {

namespace {

constexpr std::size_t singleSteps = 5; ///< ranks that step in one by one

// Beyond the single ranks each step has twice as many ranks as the one before, so that the last of
// a hundred VMs waits eleven steps and few step in together.
auto stepsOf(std::size_t rank) -> std::size_t
{
    return rank <= singleSteps
        ? rank
        : singleSteps - 1 + static_cast<std::size_t>(std::bit_width(rank - singleSteps + 1));
}

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
    return m_options.period + m_options.step * static_cast<int>(stepsOf(rank) + 1);
}

auto RelaySchedule::delay(std::size_t rank, Duration pause, bool failed, TimePoint now) const
    -> Duration
{
    const auto due = m_relayedAt + patience(failed ? std::max(rank, singleSteps) : rank);
    const auto reads = rank == 0 && !failed;
    return reads || !m_relayed || due <= now ? pause : std::max(pause, due - now);
}

auto RelaySchedule::passesOn(std::size_t rank, TimePoint now) const -> bool
{
    return rank == 0 || m_relayedAt + patience(rank) <= now;
}

auto RelaySchedule::isSilent(TimePoint sentAt, TimePoint now) const -> bool
{
    return now - sentAt >= m_options.silentAfter;
}

auto RelaySchedule::pauseAfterFailure(std::uint32_t failures) const -> Duration
{
    constexpr auto maxDoublings = 8U;
    const auto doublings = std::min(std::max(failures, 1U) - 1, maxDoublings);
    return std::min<Duration>(m_options.longestRetry, m_options.firstRetry * (1U << doublings));
}

} // namespace figlanding
