#include "figlanding/timing.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace figlanding {

namespace {

auto formatMilliseconds(milliseconds value) -> std::string
{
    return std::to_string(value.count()) + " ms";
}

// Requires a limit of more than two renewal intervals, so that one lost renewal is tolerated.
auto checkSurvivesLostRenewal(const std::string &name, milliseconds limit, milliseconds interval)
    -> Result<void>
{
    if (limit <= 2 * interval) {
        return fail(ErrorCode::InvalidValue,
                    name + " is " + formatMilliseconds(limit)
                        + "; it must exceed two renewal intervals of "
                        + formatMilliseconds(interval));
    }
    return {};
}

} // namespace

auto unacknowledgedWait(const Timing &timing) -> milliseconds
{
    return timing.viewLifetime + timing.clockDriftAllowance
        + std::max(timing.serverLease, timing.exclusiveDeadline);
}

auto recoveryTime(const Timing &timing) -> milliseconds
{
    const auto detection = timing.suspicionTimeout + timing.probeInterval;
    return detection + 2 * timing.heartbeatInterval + unacknowledgedWait(timing) + logAllowance;
}

auto checkTiming(const Timing &timing) -> Result<void>
{
    const auto limits = std::array<std::pair<const char *, milliseconds>, 6>{
        std::pair{"viewLifetime", timing.viewLifetime},
        std::pair{"heartbeatInterval", timing.heartbeatInterval},
        std::pair{"suspicionTimeout", timing.suspicionTimeout},
        std::pair{"serverLease", timing.serverLease},
        std::pair{"exclusiveDeadline", timing.exclusiveDeadline},
        std::pair{"probeInterval", timing.probeInterval},
    };
    for (const auto &[name, value] : limits) {
        if (value <= milliseconds::zero()) {
            return fail(ErrorCode::InvalidValue,
                        std::string(name) + " must be positive, but is "
                            + formatMilliseconds(value));
        }
    }
    BOOST_LEAF_CHECK(
        checkSurvivesLostRenewal("viewLifetime", timing.viewLifetime, timing.heartbeatInterval));
    BOOST_LEAF_CHECK(checkSurvivesLostRenewal("suspicionTimeout", timing.suspicionTimeout,
                                              timing.heartbeatInterval));
    BOOST_LEAF_CHECK(
        checkSurvivesLostRenewal("serverLease", timing.serverLease, timing.probeInterval));
    if (recoveryTime(timing) > maxRecoveryTime) {
        return fail(ErrorCode::InvalidValue,
                    "worst-case recovery time is " + formatMilliseconds(recoveryTime(timing))
                        + "; at most " + formatMilliseconds(maxRecoveryTime) + " are allowed");
    }
    return {};
}

} // namespace figlanding
