#include "figlanding/gateway/version_evidence.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace figlanding {

namespace {

/// Time from a server's first announcement until its responses count. A server that has just
/// started is slow for some seconds, also if it does not call itself cold.
constexpr milliseconds settleTime{3000};
/// Failures in a row after which a VM stops to send to the new version by itself.
constexpr std::uint32_t maxFailuresInARow = 8;

// Returns whether the request failed; nothing if the result says nothing of the server's version.
auto hasFailed(SlotEnd end) -> std::optional<bool>
{
    switch (end) {
    case SlotEnd::Served:
        return false;
    case SlotEnd::Failed:
    case SlotEnd::Lost:
    case SlotEnd::Unreachable:
    case SlotEnd::TimedOut:
        return true;
    case SlotEnd::Declined:
    case SlotEnd::Abandoned:
    case SlotEnd::Misdirected:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

auto responseTimeClass(Duration elapsed) -> std::size_t
{
    const auto ms = std::max(1.0, toMilliseconds(elapsed));
    const auto index = static_cast<std::size_t>(2.0 * std::log2(ms));
    return std::min(index, responseTimeClasses - 1);
}

auto ResponseCounts::total() const -> std::uint32_t
{
    return std::accumulate(successes.begin(), successes.end(), failures);
}

auto ResponseCounts::operator+=(const ResponseCounts &other) -> ResponseCounts &
{
    failures += other.failures;
    for (std::size_t i = 0; i < successes.size(); ++i) {
        successes.at(i) += other.successes.at(i);
    }
    return *this;
}

auto isSettling(const RegisteredServer &server, TimePoint now) -> bool
{
    return now < server.coldUntil || now - server.firstSeenAt < settleTime;
}

auto VersionEvidence::add(const RouteId &route, const RegisteredServer &server, bool isNewVersion,
                          const SlotResult &result, TimePoint now) -> void
{
    const auto failed = hasFailed(result.end);
    if (!failed || isSettling(server, now - result.elapsed)) {
        return;
    }
    auto &counts =
        m_counts[{.route = route, .server = isNewVersion ? server.entry.id : BackendServerId()}];
    if (*failed) {
        counts.failures += 1;
    } else {
        counts.successes.at(responseTimeClass(result.elapsed)) += 1;
    }
    if (isNewVersion) {
        m_failuresInARow = *failed ? m_failuresInARow + 1 : 0;
    }
}

auto VersionEvidence::onlyFailures() const -> bool
{
    return m_failuresInARow >= maxFailuresInARow;
}

} // namespace figlanding
