#include "figlanding/gateway/decline_rest.h"

#include "core/duration_conversions.h"
#include "figlanding/gateway/slot_types.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

/// Time after which an ended request counts half in the share of rejections.
constexpr seconds halfLife{2};
/// Requests that count as run before any has ended, so that one rejection makes no high share.
constexpr double assumedRuns = 2.0;

auto decayFactor(Duration elapsed) -> double
{
    return std::exp2(-toSeconds(elapsed) / toSeconds(halfLife));
}

// Returns whether a rejection of this kind says that the server has no slot for a while.
auto isWithoutSlot(RejectionKind kind) -> bool
{
    return kind == RejectionKind::Full || kind == RejectionKind::Unreported;
}

} // namespace

auto toText(RejectionKind kind) -> std::string_view
{
    switch (kind) {
    case RejectionKind::Full:
        return "full";
    case RejectionKind::Shedding:
        return "shedding";
    case RejectionKind::Leaving:
        return "leaving";
    case RejectionKind::Cold:
        return "cold";
    case RejectionKind::Unreported:
        return "unreported";
    }
    return "unknown";
}

auto rejectionKindOf(const SlotResult &result, bool cold) -> RejectionKind
{
    if (result.terms && result.terms->leaving) {
        return RejectionKind::Leaving;
    }
    if (!result.load) {
        return RejectionKind::Unreported;
    }
    if (result.load->running + result.load->waiting >= result.load->slots) {
        return RejectionKind::Full;
    }
    return cold ? RejectionKind::Cold : RejectionKind::Shedding;
}

auto timeToFreeSlot(Duration serviceTime, std::uint32_t slots, std::uint32_t waiting) -> Duration
{
    // The first of n requests that started at independent times ends after 1 / (n + 1) of their
    // time on average; those that wait follow in intervals of 1 / n.
    const auto first = 1.0 / (slots + 1.0);
    const auto others = static_cast<double>(waiting) / std::max(1U, slots);
    return fromMilliseconds(toMilliseconds(serviceTime) * (first + others));
}

auto DeclineRest::onRejection(const SlotRejection &rejection, const DeclineRestOptions &options,
                              TimePoint now) -> Duration
{
    constexpr auto maxDoublings = 10U;
    addEnd(true, now);
    m_leaving = m_leaving || rejection.kind == RejectionKind::Leaving;
    // Requests that were granted before the server rejected another one tell nothing more than
    // that one.
    if (m_rejections > 0 && rejection.grantedAt <= m_countedAt) {
        return Duration::zero();
    }
    m_rejections += 1;
    m_countedAt = now;
    const auto isFull = isWithoutSlot(rejection.kind) || m_rejections >= options.believedRejections;
    if (!isFull) {
        return Duration::zero();
    }
    const auto factor = std::exp2(std::min(m_rests, maxDoublings));
    m_rests += 1;
    const auto rest = fromMilliseconds(std::clamp(toMilliseconds(rejection.timeToFreeSlot) * factor,
                                                  toMilliseconds(options.shortestRest),
                                                  toMilliseconds(options.longestRest)));
    m_until = std::max(m_until, now + rest);
    return rest;
}

auto DeclineRest::onRun(bool slotIsFree, TimePoint now) -> void
{
    addEnd(false, now);
    m_rejections = 0;
    m_rests = 0;
    if (slotIsFree) {
        m_until = std::min(m_until, now);
    }
}

auto DeclineRest::rejectedShare(TimePoint now) const -> double
{
    const auto factor = decayFactor(now - m_decayedAt);
    return m_rejected * factor / (m_ended * factor + assumedRuns);
}

auto DeclineRest::addEnd(bool rejected, TimePoint now) -> void
{
    const auto factor = decayFactor(now - m_decayedAt);
    m_rejected = m_rejected * factor + (rejected ? 1.0 : 0.0);
    m_ended = m_ended * factor + 1.0;
    m_decayedAt = now;
}

} // namespace figlanding
