#include "io/peer_streams.h"

#include "figlanding/http_grammar.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

constexpr int invalidStatus = 0;

auto outcomeOf(HttpResponse response) -> PeerOutcome
{
    if (response.status == invalidStatus) {
        return {.verdict = Verdict::MayHaveRun,
                .response = {},
                .error = {ErrorCode::ProtocolViolation, "answer has an invalid status"}};
    }
    return {.verdict = Verdict::Ran, .response = std::move(response), .error = {}};
}

} // namespace

PeerStreams::PeerStreams(Role role, const PeerConnection::Handlers &handlers)
    : m_role(role)
    , m_handlers(handlers)
{ }

auto PeerStreams::beginRequest(StreamId id) -> void
{
    m_streams.try_emplace(id);
}

auto PeerStreams::beginResponse(StreamId id, std::string body,
                                PeerConnection::ResponseCallback callback) -> void
{
    auto &stream = m_streams[id];
    stream.outgoing = std::move(body);
    stream.callback = std::move(callback);
}

auto PeerStreams::respond(StreamId id, std::string body) -> bool
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || found->second.responded) {
        return false;
    }
    found->second.outgoing = std::move(body);
    found->second.responded = true;
    return true;
}

auto PeerStreams::cancel(StreamId id) -> bool
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return false;
    }
    found->second.callback = nullptr;
    return true;
}

auto PeerStreams::addField(StreamId id, std::string_view name, std::string_view value) -> void
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    auto &stream = found->second;
    if (m_role == Role::Client) {
        if (name == ":status") {
            stream.response.status = parseStatus(value).value_or(invalidStatus);
        } else if (!name.starts_with(':')) {
            stream.response.headers.add(name, value);
        }
    } else if (name == ":method") {
        stream.request.method = value;
    } else if (name == ":path") {
        stream.request.target = value;
    } else if (!name.starts_with(':')) {
        stream.request.headers.add(name, value);
    }
}

auto PeerStreams::addBody(StreamId id, std::string_view data) -> bool
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return true;
    }
    auto &stream = found->second;
    auto &body = m_role == Role::Client ? stream.response.body : stream.request.body;
    if (body.size() + data.size() > maxPeerBodyBytes) {
        return false;
    }
    body.append(data);
    return true;
}

auto PeerStreams::endMessage(StreamId id) -> void
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    auto &stream = found->second;
    if (m_role == Role::Server) {
        m_handlers.onRequest(id, std::move(stream.request));
        return;
    }
    stream.responded = true;
}

auto PeerStreams::readBody(StreamId id, std::span<std::uint8_t> buffer)
    -> std::optional<PeerBodyPart>
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return std::nullopt;
    }
    auto &stream = found->second;
    const auto count = std::min(buffer.size(), stream.outgoing.size() - stream.sentBytes);
    std::copy_n(stream.outgoing.data() + stream.sentBytes, count, buffer.data());
    stream.sentBytes += count;
    if (stream.sentBytes == stream.outgoing.size()) {
        stream.bodySent = true;
    }
    return PeerBodyPart{.size = count, .last = stream.sentBytes == stream.outgoing.size()};
}

auto PeerStreams::close(StreamId id, std::uint32_t errorCode) -> void
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    auto stream = std::move(found->second);
    m_streams.erase(found);
    if (m_role == Role::Server) {
        if (m_handlers.onRequestEnded) {
            m_handlers.onRequestEnded(id);
        }
        return;
    }
    if (!stream.callback) {
        return;
    }
    if (stream.responded && errorCode == NGHTTP2_NO_ERROR) {
        stream.callback(outcomeOf(std::move(stream.response)));
        return;
    }
    const auto refused = errorCode == NGHTTP2_REFUSED_STREAM || !stream.bodySent;
    stream.callback({.verdict = refused ? Verdict::NotRun : Verdict::MayHaveRun,
                     .response = {},
                     .error = {ErrorCode::ConnectionFailed,
                               std::string("stream reset: ") + nghttp2_http2_strerror(errorCode)}});
}

auto PeerStreams::closeAll(const Error &reason) -> void
{
    // A callback may use the connection, so it must find no stream that is being ended.
    const auto open = std::exchange(m_streams, {});
    for (const auto &[id, stream] : open) {
        if (m_role == Role::Client && stream.callback) {
            const auto verdict = stream.bodySent ? Verdict::MayHaveRun : Verdict::NotRun;
            stream.callback({.verdict = verdict, .response = {}, .error = reason});
        }
        if (m_role == Role::Server && m_handlers.onRequestEnded) {
            m_handlers.onRequestEnded(id);
        }
    }
}

} // namespace figlanding
