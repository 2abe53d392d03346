#include "gateway/request_admission.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

// Refuses a request that another VM, or this one a little later, may serve.
auto refusalForNow(std::string detail) -> Refusal
{
    /// A VM that reads its configuration has it within about this time.
    constexpr auto retryAfter = milliseconds(300);
    return {.reason = RefusalReason::ViewNotFresh,
            .detail = std::move(detail),
            .retryAfter = retryAfter};
}

} // namespace

RequestAdmission::RequestAdmission(const RequestAdmissionOptions &options, TeamLimits &limits,
                                   StateQuery state, StatusQuery status)
    : m_options(options)
    , m_limits(limits)
    , m_state(std::move(state))
    , m_status(std::move(status))
    , m_random(options.randomSeed)
{ }

auto RequestAdmission::admit(ActiveRequest &active) -> std::optional<Refusal>
{
    active.state = m_state();
    if (!active.state) {
        return refusalForNow("no configuration yet");
    }
    if (status() == ConfigurationStatus::Outdated) {
        return refusalForNow("a newer configuration is in force");
    }
    const auto &request = active.exchange->request();
    active.route = active.state->findRoute(active.caller.host, pathOf(request.target));
    if (active.route == nullptr) {
        return refusalOfUnknown(RefusalReason::NoRoute, active.caller.host + " " + request.target);
    }
    const auto &route = *active.route;
    active.record.route = route.id;
    active.record.configVersion = active.state->state().version;
    active.priority = route.priority;
    const auto timeout = std::min(route.timeout, active.caller.deadline.value_or(route.timeout));
    active.deadline = active.receivedAt + timeout - m_options.responseMargin;
    // A deadline may be any number, so the time spent is bounded before it meets a point in time.
    const auto timeSpent =
        std::min(m_retryTime.timeSpent(route.id, active.caller), route.latencyObjective);
    active.objectiveAt = active.receivedAt + route.latencyObjective - timeSpent;
    active.service = pickService(route, m_uniform(m_random));
    active.record.service = active.service;
    return admitTeam(active);
}

auto RequestAdmission::admitTeam(ActiveRequest &active) -> std::optional<Refusal>
{
    if (active.route->open || !active.state->hasTeams()) {
        return std::nullopt;
    }
    const auto *team = active.state->findTeam(active.caller.apiKey);
    if (team == nullptr) {
        const auto missing = active.caller.apiKey.empty();
        return refusalOfUnknown(
            missing ? RefusalReason::MissingTeamKey : RefusalReason::InvalidTeamKey, {});
    }
    active.team = team->id;
    active.record.team = team->id;
    active.priority = team->priority.value_or(active.priority);
    const auto rate = TeamRate{.perSecond = team->ratePerSecond, .burst = team->burst};
    if (!m_limits.admit(team->id, rate, active.receivedAt)) {
        return Refusal{.reason = RefusalReason::RateLimited,
                       .detail = "team " + team->id.value(),
                       .retryAfter = m_limits.retryAfter(team->id, rate)};
    }
    active.usesTeamRate = rate.perSecond > 0.0;
    return std::nullopt;
}

auto RequestAdmission::status() const -> ConfigurationStatus
{
    return m_status ? m_status() : ConfigurationStatus::Confirmed;
}

// Callers do not repeat a request whose route or API key does not exist. While a newer
// configuration may be in force that has it, they are told to come back.
auto RequestAdmission::refusalOfUnknown(RefusalReason reason, std::string detail) const -> Refusal
{
    if (status() == ConfigurationStatus::Confirmed) {
        return {.reason = reason, .detail = std::move(detail)};
    }
    return refusalForNow("configuration not confirmed");
}

auto RequestAdmission::onEnd(const ActiveRequest &active) -> void
{
    if (active.usesTeamRate && active.record.verdict == Verdict::NotRun) {
        m_limits.refund(active.team);
    }
}

} // namespace figlanding
