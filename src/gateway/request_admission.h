#pragma once

#include "figlanding/gateway/desired_state.h"
#include "figlanding/gateway/retry_time_estimator.h"
#include "figlanding/gateway/team_limits.h"
#include "figlanding/random.h"
#include "figlanding/refusal.h"
#include "gateway/active_request.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

/// @file
/// Decides whether a request of a caller is accepted, and determines its route, team, service,
/// deadline and latency objective.

namespace figlanding {

/// Settings of RequestAdmission.
struct RequestAdmissionOptions
{
    /// Subtracted from the deadline, so that the response reaches the caller in time.
    milliseconds responseMargin{10};
    std::uint64_t randomSeed = 0; ///< of the choice among the services of a split route

    auto operator==(const RequestAdmissionOptions &) const -> bool = default;
};

/// Admits requests by the newest configuration and the limits of the teams.
class RequestAdmission
{
public:
    /// Returns the newest configuration; null until one was read.
    using StateQuery = std::function<std::shared_ptr<const DesiredStateIndex>()>;

    /// Returns whether the configuration is known to be in force.
    using ConfirmationQuery = std::function<bool()>;

    /// @param limits must outlive this object
    /// @param confirmed decides whether a request whose route or API key is missing from the
    /// configuration is refused for good, or for now; empty: for good
    RequestAdmission(const RequestAdmissionOptions &options, TeamLimits &limits, StateQuery state,
                     ConfirmationQuery confirmed = {});

    /// Fills in the fields of @p active that follow from its caller and the configuration.
    /// @return the refusal if the request is not admitted
    [[nodiscard]] auto admit(ActiveRequest &active) -> std::optional<Refusal>;
    /// Processes the end of a request, whose verdict its record holds. A request that did not run
    /// does not count against the rate of its team.
    auto onEnd(const ActiveRequest &active) -> void;

private:
    [[nodiscard]] auto admitTeam(ActiveRequest &active) -> std::optional<Refusal>;
    [[nodiscard]] auto refusalOfUnknown(RefusalReason reason, std::string detail) const -> Refusal;

    RequestAdmissionOptions m_options;
    TeamLimits &m_limits;
    StateQuery m_state;
    ConfirmationQuery m_confirmed;
    RandomEngine m_random;
    std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
    RetryTimeEstimator m_retryTime;
};

} // namespace figlanding
