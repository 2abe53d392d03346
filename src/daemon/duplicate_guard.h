#pragma once

#include "daemon/dispatch_message.h"
#include "figlanding/idempotency.h"

#include <optional>

/// @file
/// Keeps a request with an Idempotency-Key from running twice on this dispatching VM.

namespace figlanding {

/// Applies an IdempotencyStore to dispatched requests. Requests without a key, and those that may
/// be repeated anyway, are let through and not stored.
class DuplicateGuard
{
public:
    /// @param now creation time
    explicit DuplicateGuard(TimePoint now);

    /// Registers a request.
    /// @return the result if the request must not run; nothing if it is to be sent, after which
    /// finish() must be called once
    [[nodiscard]] auto begin(const DispatchRequest &request, TimePoint now)
        -> std::optional<DispatchResult>;
    /// Stores the result of a request that begin() let through. One that was not run may run again.
    auto finish(const DispatchRequest &request, const DispatchResult &result, TimePoint now)
        -> void;

private:
    IdempotencyStore m_store;
};

} // namespace figlanding
