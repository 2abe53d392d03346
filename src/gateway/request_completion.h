#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/refusal.h"
#include "figlanding/verdict.h"
#include "gateway/active_request.h"
#include "gateway/request_admission.h"
#include "io/event_loop.h"

#include <functional>
#include <utility>

/// @file
/// Completes requests: answers the caller and reports the record of the request.

namespace figlanding {

/// Completes a request in one of three ways. Each request is completed once, and its record is
/// reported before its caller is answered.
template <CallerProtocol Protocol>
class RequestCompletion
{
public:
    /// @param loop must outlive this object
    /// @param admission is told of each end; must outlive this object
    /// @param onEnd called with the record of each request
    RequestCompletion(EventLoop &loop, RequestAdmission &admission,
                      std::function<void(const RequestRecord &)> onEnd)
        : m_loop(loop)
        , m_admission(admission)
        , m_onEnd(std::move(onEnd))
    { }

    /// Passes the response of a server on to the caller.
    auto respond(ActiveRequest &active, HttpResponse response) -> void
    {
        active.record.status = response.status;
        active.record.verdict = Verdict::Ran;
        active.record.bodyEnd = response.bodyEnd;
        reportEnd(active);
        if (active.exchange) {
            active.exchange->respond(Protocol::callerResponse(std::move(response)));
        }
    }
    /// Refuses a request. The caller is told the verdict on all its attempts.
    /// @param refusal with the verdict of the refusal alone
    auto refuse(ActiveRequest &active, Refusal refusal) -> void
    {
        active.verdict = combine(active.verdict, refusal.verdict);
        refusal.verdict = active.verdict;
        auto response = Protocol::refusal(refusal, active.caller.id);
        active.record.status = response.status;
        active.record.verdict = active.verdict;
        active.record.refusal = refusal.reason;
        if (active.record.detail.empty()) {
            active.record.detail = refusal.detail;
        }
        reportEnd(active);
        if (active.exchange) {
            active.exchange->respond(std::move(response));
        }
    }
    /// Ends a request whose caller has disconnected.
    auto abandon(ActiveRequest &active) -> void
    {
        active.record.detail = "caller left";
        active.record.verdict = active.verdict;
        reportEnd(active);
    }

private:
    auto reportEnd(ActiveRequest &active) -> void
    {
        active.record.elapsed = m_loop.now() - active.receivedAt;
        m_admission.onEnd(active);
        m_onEnd(active.record);
    }

    EventLoop &m_loop;
    RequestAdmission &m_admission;
    std::function<void(const RequestRecord &)> m_onEnd;
};

} // namespace figlanding
