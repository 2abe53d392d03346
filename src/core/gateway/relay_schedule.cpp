#include "figlanding/gateway/relay_schedule.h"

#include <algorithm>
#include <bit>

namespace figlanding {

namespace {

constexpr std::size_t linearRanks = 5; ///< ranks that take over one at a time

// Beyond the linear ranks, each step covers twice as many ranks as the previous one. The last of a
// hundred VMs thus waits eleven steps, and few VMs take over at the same time.
auto delaySteps(std::size_t rank) -> std::size_t
{
    return rank <= linearRanks
        ? rank
        : linearRanks - 1 + static_cast<std::size_t>(std::bit_width(rank - linearRanks + 1));
}

} // namespace

RelaySchedule::RelaySchedule(const RelayScheduleOptions &options)
    : m_options(options)
{ }

auto RelaySchedule::onStart(TimePoint now) -> void
{
    m_startedAt = now;
}

auto RelaySchedule::onRelayReceived(TimePoint now) -> void
{
    m_relayed = true;
    m_relayedAt = std::max(m_relayedAt, now);
}

auto RelaySchedule::isSilent(TimePoint now) const -> bool
{
    return now - m_startedAt < m_options.silenceAfterStart;
}

auto RelaySchedule::relayTimeout(std::size_t rank) const -> Duration
{
    return m_options.period + m_options.step * static_cast<int>(delaySteps(rank) + 1);
}

auto RelaySchedule::delay(std::size_t rank, Duration pause, bool failed, TimePoint now) const
    -> Duration
{
    const auto due = m_relayedAt + relayTimeout(failed ? std::max(rank, linearRanks) : rank);
    if (!m_relayed && isSilent(now)) {
        return std::max<Duration>(pause, m_options.pauseAfterStart);
    }
    const auto reads = rank == 0 && !failed;
    return reads || !m_relayed || due <= now ? pause : std::max(pause, due - now);
}

auto RelaySchedule::shouldRelay(std::size_t rank, TimePoint now) const -> bool
{
    const auto due = std::max(m_startedAt, m_relayedAt) + relayTimeout(rank);
    return !isSilent(now) && (rank == 0 || due <= now);
}

auto RelaySchedule::hasTimedOut(TimePoint silentSince, std::uint32_t replaced, TimePoint now) const
    -> bool
{
    constexpr auto maxDoublings = std::uint32_t{3};
    return now - silentSince >= m_options.readTimeout * (1U << std::min(replaced, maxDoublings));
}

auto RelaySchedule::pauseAfterFailure(std::uint32_t failures) const -> Duration
{
    constexpr auto maxDoublings = 8U;
    const auto doublings = std::min(std::max(failures, 1U) - 1, maxDoublings);
    return std::min<Duration>(m_options.maxRetryDelay,
                              m_options.initialRetryDelay * (1U << doublings));
}

} // namespace figlanding
