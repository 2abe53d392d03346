#pragma once

#include "figlanding/gateway/caller_protocol.h"
#include "figlanding/gateway/connection_trust.h"
#include "gateway/active_request.h"
#include "io/http_client.h"

/// @file
/// Reads the responses of servers and decides which of them are believed.

namespace figlanding {

/// Evaluates the outcomes of calls to servers, and decides which calls need a new connection
/// because of earlier outcomes.
///
/// The caller is told that a request has not run, or the request is sent again, because of a
/// rejection. So a rejection counts only if it cannot belong to another request.
template <CallerProtocol Protocol>
class ResponseTrust
{
public:
    /// Evaluates a complete response to a request at its server and records a rejection with the
    /// request. Of a rejection that may belong to no request, nothing is used.
    /// @param outcome with a response
    /// @return what the response says; only the kind Unproven for a rejection that is not believed
    [[nodiscard]] auto read(ActiveRequest &active, const HttpOutcome &outcome, TimePoint now)
        -> ServerResponse
    {
        auto response = Protocol::readResponse(outcome.response, active.caller.id);
        const auto rejected =
            response.kind == ResponseKind::NotRun || response.kind == ResponseKind::WrongServer;
        if (!rejected) {
            return response;
        }
        active.record.rejection = {.status = outcome.response.status,
                                   .identified = response.identified,
                                   .firstOnConnection = outcome.newConnection};
        // A server cannot return an id that the caller did not send.
        if (!response.identified && !active.caller.id.empty()) {
            m_connections.addRejection(active.server, outcome.newConnection, now);
        }
        return outcome.attributed ? response : ServerResponse{.kind = ResponseKind::Unproven};
    }
    /// Records that a request got no complete response from its server.
    /// @param outcome with an error
    auto onFailure(const ActiveRequest &active, const HttpOutcome &outcome, TimePoint now) -> void
    {
        if (outcome.error.code == ErrorCode::ProtocolViolation) {
            m_connections.addViolation(active.server, now);
        }
    }
    /// Returns whether the next call to a server needs a new connection. For an idempotent request,
    /// that is so once after each unproven rejection.
    [[nodiscard]] auto takeNewConnection(const ServerIncarnation &server,
                                         Repeatability repeatability, TimePoint now) -> bool
    {
        return m_connections.takeNewConnection(server, repeatability, now);
    }
    /// Forgets the servers of which nothing recent is recorded.
    auto expire(TimePoint now) -> void
    {
        m_connections.expire(now);
    }

private:
    ConnectionTrust m_connections;
};

} // namespace figlanding
