#pragma once

#include "io/peer_connection.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// @file
/// The requests on a connection between two VMs, with their responses.

namespace figlanding {

/// A part of a body that was copied to be sent.
struct PeerBodyPart
{
    std::size_t size = 0;
    bool last = false; ///< nothing of the body is left

    auto operator==(const PeerBodyPart &) const -> bool = default;
};

/// Assembles the messages that arrive on the streams of a connection, holds the bodies that leave,
/// and decides at the end of a stream whether its request has run.
///
/// Functions that are given an unknown stream do nothing: a stream may end while parts of it are
/// still in flight.
class PeerStreams
{
public:
    using Role = PeerConnection::Role;
    using StreamId = PeerConnection::StreamId;

    /// @param handlers of the connection, which may be replaced later; must outlive the object
    PeerStreams(Role role, const PeerConnection::Handlers &handlers);

    /// Adds a stream whose request begins to arrive (server role).
    auto beginRequest(StreamId id) -> void;
    /// Adds a stream whose request was submitted (client role).
    /// @param body of the request
    /// @param callback as for PeerConnection::request()
    auto beginResponse(StreamId id, std::string body, PeerConnection::ResponseCallback callback)
        -> void;
    /// Sets the body of the response (server role).
    /// @return false if the stream is unknown or has a response
    [[nodiscard]] auto respond(StreamId id, std::string body) -> bool;
    /// Drops the callback of a stream.
    /// @return false if the stream is unknown
    [[nodiscard]] auto cancel(StreamId id) -> bool;

    /// Adds a field of the message that arrives; the names of pseudo-fields begin with a colon.
    auto addField(StreamId id, std::string_view name, std::string_view value) -> void;
    /// Adds a part of the body that arrives.
    /// @return false, and nothing is added, if the body would exceed maxPeerBodyBytes
    [[nodiscard]] auto addBody(StreamId id, std::string_view data) -> bool;
    /// Processes the end of the message that arrives: passes a request to its handler.
    auto endMessage(StreamId id) -> void;
    /// Copies the next part of the body that leaves.
    /// @return nothing if the stream is unknown
    [[nodiscard]] auto readBody(StreamId id, std::span<std::uint8_t> buffer)
        -> std::optional<PeerBodyPart>;

    /// Ends a stream and reports its outcome.
    /// @param errorCode code of HTTP/2
    auto close(StreamId id, std::uint32_t errorCode) -> void;
    /// Ends all streams, because the connection has ended.
    auto closeAll(const Error &reason) -> void;

private:
    struct Stream
    {
        HttpRequest request; ///< being received (server role)
        HttpResponse response; ///< being received (client role)
        std::string outgoing; ///< body being sent
        std::size_t sentBytes = 0;
        bool bodySent = false; ///< the whole body was read
        bool responded = false; ///< complete response received (client) or submitted (server)
        PeerConnection::ResponseCallback callback;
    };

    Role m_role;
    const PeerConnection::Handlers &m_handlers;
    std::map<StreamId, Stream> m_streams;
};

} // namespace figlanding
