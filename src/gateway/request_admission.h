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

/// What is known of the newest configuration that this VM has.
enum class ConfigurationStatus {
    Confirmed, ///< it is in force
    Unconfirmed, ///< a newer one may be in force
    Outdated, ///< another VM has had a newer one for a while
};

/// Admits requests by the newest configuration and the limits of the teams.
class RequestAdmission
{
public:
    /// Returns the newest configuration; null until one was read.
    using StateQuery = std::function<std::shared_ptr<const DesiredStateIndex>()>;

    using StatusQuery = std::function<ConfigurationStatus()>;

    /// @param limits must outlive this object
    /// @param status of the configuration. Unless it is confirmed, a request whose route or API key
    /// is missing is refused for now, not for good; while it is outdated, every request is. Empty:
    /// always confirmed
    RequestAdmission(const RequestAdmissionOptions &options, TeamLimits &limits, StateQuery state,
                     StatusQuery status = {});

    /// Fills in the fields of @p active that follow from its caller and the configuration.
    /// @return the refusal if the request is not admitted
    [[nodiscard]] auto admit(ActiveRequest &active) -> std::optional<Refusal>;
    /// Processes the end of a request, whose verdict its record holds. A request that did not run
    /// does not count against the rate of its team.
    auto onEnd(const ActiveRequest &active) -> void;

private:
    [[nodiscard]] auto admitTeam(ActiveRequest &active) -> std::optional<Refusal>;
    [[nodiscard]] auto status() const -> ConfigurationStatus;
    [[nodiscard]] auto refusalOfUnknown(RefusalReason reason, std::string detail) const -> Refusal;

    RequestAdmissionOptions m_options;
    TeamLimits &m_limits;
    StateQuery m_state;
    StatusQuery m_status;
    RandomEngine m_random;
    std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
    RetryTimeEstimator m_retryTime;
};

} // namespace figlanding
