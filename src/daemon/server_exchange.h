#pragma once

#include "daemon/dispatch_message.h"
#include "figlanding/admission.h"
#include "figlanding/cluster_state.h"
#include "io/http_client.h"

/// @file
/// What a dispatching VM sends to a backend server for a request, and what the outcome means.

namespace figlanding {

/// What the outcome of a call to a server means for its slot and for the caller.
struct ServerAnswer
{
    RequestEnd end = RequestEnd::Lost;
    DispatchResult result;
};

/// Creates the message for the server: the caller's request with the fields of figlanding.
/// @param state for an exclusive request, must have an assignment of its key
/// @param remaining time until the deadline of the request
[[nodiscard]] auto serverRequest(const DispatchRequest &request, const ClusterState &state,
                                 Duration remaining) -> HttpRequest;
/// Returns the options of the call that sends a request.
/// @param timeout of the call
[[nodiscard]] auto serverCallOptions(const DispatchRequest &request, milliseconds timeout)
    -> HttpCallOptions;
/// Interprets the outcome of the call for a request. That the request has not run is concluded only
/// if none of it was sent, or from a response that can't belong to another request.
[[nodiscard]] auto readServerOutcome(const DispatchRequest &request, HttpOutcome outcome)
    -> ServerAnswer;

} // namespace figlanding
