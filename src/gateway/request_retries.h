#pragma once

#include "figlanding/names.h"
#include "figlanding/retry_policy.h"
#include "figlanding/verdict.h"
#include "gateway/active_request.h"

#include <map>

/// @file
/// Decides whether a failed attempt of a request may be followed by another one.

namespace figlanding {

/// Settings of RequestRetries.
struct RequestRetriesOptions
{
    double ratio = 0.15; ///< retries allowed per request of this VM
    double reserve = 30.0; ///< retries that all VMs together may accumulate beyond the ratio
    milliseconds minTimeToSend{20}; ///< a request with less time left is not sent

    auto operator==(const RequestRetriesOptions &) const -> bool = default;
};

/// The retry budgets of this VM, one for each service.
///
/// A budget starts with a single retry. An earlier process of this VM may just have spent the VM's
/// part of the reserve, and a process that has just started does not know among how many VMs to
/// divide it.
class RequestRetries
{
public:
    explicit RequestRetries(const RequestRetriesOptions &options);

    /// Credits the budget of a service for a new request.
    /// @param fleetSize number of VMs, at least 1; they share the reserve
    auto onRequest(const ServiceId &service, double fleetSize) -> void;
    /// Withdraws a retry of a request from its service's budget.
    /// @param verdict of the last attempt
    /// @return false, without a withdrawal, if route, caller or deadline allow no other attempt, or
    /// the budget is exhausted
    [[nodiscard]] auto takeFor(const ActiveRequest &active, Verdict verdict, TimePoint now) -> bool;
    /// Withdraws a retry from the budget of a service.
    /// @return false, without a withdrawal, if the budget is exhausted
    [[nodiscard]] auto take(const ServiceId &service) -> bool;

private:
    [[nodiscard]] auto isRetryable(const ActiveRequest &active, Verdict verdict,
                                   TimePoint now) const -> bool;

    RequestRetriesOptions m_options;
    std::map<ServiceId, RetryBudget> m_budgets;
};

} // namespace figlanding
