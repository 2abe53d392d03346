#include "io/peer_connection.h"

#include "io/peer_streams.h"

#include <nghttp2/nghttp2.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <utility>
#include <vector>

namespace figlanding {

namespace {

constexpr std::int32_t streamWindowBytes = 8 * 1024 * 1024;
constexpr std::int32_t connectionWindowBytes = 64 * 1024 * 1024;
constexpr std::uint32_t maxConcurrentStreams = 100000;
constexpr std::size_t readBufferBytes = std::size_t{64} * 1024;

auto headerField(std::string_view name, std::string_view value) -> nghttp2_nv
{
    nghttp2_nv field{};
    // nghttp2 copies names and values by default and never writes to them.
    field.name = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data()));
    field.namelen = name.size();
    field.value = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data()));
    field.valuelen = value.size();
    return field;
}

} // namespace

struct PeerConnection::Impl : std::enable_shared_from_this<Impl>
{
    EventLoop &loop;
    int fd;
    Role role;
    Handlers handlers;
    nghttp2_session *session = nullptr;
    std::shared_ptr<IoWatcher> watcher;
    PeerStreams streams;
    std::deque<std::function<void()>> pingCallbacks;
    std::string pendingWrite;
    bool closed = false;
    bool inSession = false; // nghttp2 is not reentrant: no send or receive from its callbacks

    Impl(EventLoop &eventLoop, int socket, Role side, Handlers events)
        : loop(eventLoop)
        , fd(socket)
        , role(side)
        , handlers(std::move(events))
        , streams(role, handlers)
    { }

    ~Impl()
    {
        watcher.reset();
        if (session != nullptr) {
            nghttp2_session_del(session);
        }
        if (fd >= 0) {
            ::close(fd);
        }
    }

    auto start() -> void;
    auto onReady(IoEvents events) -> void;
    auto readInput() -> void;
    auto flush() -> void;
    auto flushUnlessNested() -> void;
    auto closeWith(const Error &reason) -> void;
    auto submitRequest(HttpRequest request, ResponseCallback callback) -> StreamId;
    auto submitResponse(StreamId id, HttpResponse response) -> void;

    static auto self(void *userData) -> Impl &
    {
        return *static_cast<Impl *>(userData);
    }
    static auto onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
        -> int;
    static auto onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                         std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                         std::uint8_t flags, void *userData) -> int;
    static auto onDataChunk(nghttp2_session *, std::uint8_t flags, std::int32_t id,
                            const std::uint8_t *data, std::size_t length, void *userData) -> int;
    static auto onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData) -> int;
    static auto onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                              void *userData) -> int;
    static auto readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                         std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                         void *userData) -> ssize_t;
};

auto PeerConnection::Impl::start() -> void
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Impl::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Impl::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Impl::onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Impl::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Impl::onStreamClose);
    if (role == Role::Server) {
        nghttp2_session_server_new(&session, callbacks, this);
    } else {
        nghttp2_session_client_new(&session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);

    const auto settings = std::to_array<nghttp2_settings_entry>({
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
    });
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);

    watcher = std::make_shared<IoWatcher>(loop, fd, [this](IoEvents events) {
        // Keeps this object alive if a callback destroys its owner.
        const auto keepAlive = shared_from_this();
        onReady(events);
    });
    watcher->watch(IoEvents::ReadWrite);
}

auto PeerConnection::Impl::onReady(IoEvents events) -> void
{
    if ((static_cast<int>(events) & static_cast<int>(IoEvents::Read)) != 0) {
        readInput();
    }
    if (!closed) {
        flush();
    }
}

auto PeerConnection::Impl::readInput() -> void
{
    std::array<std::uint8_t, readBufferBytes> buffer{};
    while (!closed) {
        const auto received = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (received <= 0) {
            closeWith({ErrorCode::ConnectionFailed,
                       received == 0 ? "peer closed the connection" : std::strerror(errno)});
            return;
        }
        inSession = true;
        const auto consumed =
            nghttp2_session_mem_recv(session, buffer.data(), static_cast<std::size_t>(received));
        inSession = false;
        if (consumed < 0) {
            closeWith({ErrorCode::ProtocolViolation,
                       std::string("peer sent a wrong frame: ")
                           + nghttp2_strerror(static_cast<int>(consumed))});
            return;
        }
        if (static_cast<std::size_t>(received) < buffer.size()) {
            return;
        }
    }
}

auto PeerConnection::Impl::flush() -> void
{
    if (closed) {
        return;
    }
    while (true) {
        const std::uint8_t *data = nullptr;
        inSession = true;
        const auto length = nghttp2_session_mem_send(session, &data);
        inSession = false;
        if (length < 0) {
            closeWith({ErrorCode::ProtocolViolation, nghttp2_strerror(static_cast<int>(length))});
            return;
        }
        if (length == 0) {
            break;
        }
        pendingWrite.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    while (!pendingWrite.empty()) {
        const auto sent = ::send(fd, pendingWrite.data(), pendingWrite.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) {
            break;
        }
        if (sent < 0) {
            closeWith({ErrorCode::ConnectionFailed, std::strerror(errno)});
            return;
        }
        pendingWrite.erase(0, static_cast<std::size_t>(sent));
    }
    const auto wantsWrite = !pendingWrite.empty();
    watcher->watch(wantsWrite ? IoEvents::ReadWrite : IoEvents::Read);
    if (!wantsWrite && nghttp2_session_want_read(session) == 0
        && nghttp2_session_want_write(session) == 0) {
        closeWith({ErrorCode::ConnectionFailed, "session ended"});
    }
}

auto PeerConnection::Impl::flushUnlessNested() -> void
{
    if (!inSession && !closed) {
        flush();
    }
}

auto PeerConnection::Impl::closeWith(const Error &reason) -> void
{
    if (closed) {
        return;
    }
    closed = true;
    watcher->watch(IoEvents::None);
    // The watcher may be running its callback, so its destruction is deferred.
    post(loop, [finished = std::exchange(watcher, nullptr)] {});
    ::close(fd);
    fd = -1;
    streams.closeAll(reason);
    if (handlers.onClosed) {
        handlers.onClosed(reason);
    }
}

auto PeerConnection::Impl::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame,
                                          void *userData) -> int
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        self(userData).streams.beginRequest(frame->hd.stream_id);
    }
    return 0;
}

auto PeerConnection::Impl::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                                    const std::uint8_t *name, std::size_t nameLength,
                                    const std::uint8_t *value, std::size_t valueLength,
                                    std::uint8_t, void *userData) -> int
{
    self(userData).streams.addField(frame->hd.stream_id,
                                    {reinterpret_cast<const char *>(name), nameLength},
                                    {reinterpret_cast<const char *>(value), valueLength});
    return 0;
}

auto PeerConnection::Impl::onDataChunk(nghttp2_session *session, std::uint8_t, std::int32_t id,
                                       const std::uint8_t *data, std::size_t length, void *userData)
    -> int
{
    if (!self(userData).streams.addBody(id, {reinterpret_cast<const char *>(data), length})) {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
    }
    return 0;
}

auto PeerConnection::Impl::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    -> int
{
    auto &impl = self(userData);
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
        if (!impl.pingCallbacks.empty()) {
            const auto callback = std::move(impl.pingCallbacks.front());
            impl.pingCallbacks.pop_front();
            callback();
        }
        return 0;
    }
    const auto carriesMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    impl.streams.endMessage(frame->hd.stream_id);
    return 0;
}

auto PeerConnection::Impl::onStreamClose(nghttp2_session *, std::int32_t id,
                                         std::uint32_t errorCode, void *userData) -> int
{
    self(userData).streams.close(id, errorCode);
    return 0;
}

auto PeerConnection::Impl::readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                                    std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                                    void *userData) -> ssize_t
{
    const auto part = self(userData).streams.readBody(id, {buffer, length});
    if (!part) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (part->last) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(part->size);
}

auto PeerConnection::Impl::submitRequest(HttpRequest request, ResponseCallback callback) -> StreamId
{
    std::vector<nghttp2_nv> fields;
    fields.push_back(headerField(":method", request.method));
    fields.push_back(headerField(":scheme", "http"));
    fields.push_back(headerField(":authority", "peer"));
    fields.push_back(headerField(":path", request.target));
    for (const auto &[name, value] : request.headers.fields()) {
        fields.push_back(headerField(name, value));
    }
    nghttp2_data_provider provider{};
    provider.read_callback = &Impl::readBody;
    const auto id =
        nghttp2_submit_request(session, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (id < 0) {
        callback({.verdict = Verdict::NotRun,
                  .response = {},
                  .error = {ErrorCode::ConnectionFailed, nghttp2_strerror(id)}});
        return id;
    }
    streams.beginResponse(id, std::move(request.body), std::move(callback));
    flushUnlessNested();
    return id;
}

auto PeerConnection::Impl::submitResponse(StreamId id, HttpResponse response) -> void
{
    if (closed || !streams.respond(id, std::move(response.body))) {
        return;
    }
    const auto status = std::to_string(response.status);
    std::vector<nghttp2_nv> fields;
    fields.push_back(headerField(":status", status));
    for (const auto &[name, value] : response.headers.fields()) {
        fields.push_back(headerField(name, value));
    }
    nghttp2_data_provider provider{};
    provider.read_callback = &Impl::readBody;
    nghttp2_submit_response(session, id, fields.data(), fields.size(), &provider);
    flushUnlessNested();
}

PeerConnection::PeerConnection(EventLoop &loop, int fd, Role role, Handlers handlers)
    : m_impl(std::make_shared<Impl>(loop, fd, role, std::move(handlers)))
{
    m_impl->start();
}

PeerConnection::~PeerConnection()
{
    // Event handlers no longer run, but the callbacks of open client requests do.
    m_impl->handlers = {};
    m_impl->closeWith({ErrorCode::Cancelled, "connection was dropped"});
}

auto PeerConnection::request(HttpRequest request, ResponseCallback callback) -> StreamId
{
    if (m_impl->closed) {
        callback({.verdict = Verdict::NotRun,
                  .response = {},
                  .error = {ErrorCode::ConnectionFailed, "connection is closed"}});
        return -1;
    }
    return m_impl->submitRequest(std::move(request), std::move(callback));
}

auto PeerConnection::cancel(StreamId stream) -> void
{
    if (m_impl->closed || !m_impl->streams.cancel(stream)) {
        return;
    }
    nghttp2_submit_rst_stream(m_impl->session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    m_impl->flushUnlessNested();
}

auto PeerConnection::respond(StreamId stream, HttpResponse response) -> void
{
    m_impl->submitResponse(stream, std::move(response));
}

auto PeerConnection::ping(std::function<void()> onAcknowledged) -> void
{
    if (m_impl->closed) {
        return;
    }
    m_impl->pingCallbacks.push_back(std::move(onAcknowledged));
    nghttp2_submit_ping(m_impl->session, NGHTTP2_FLAG_NONE, nullptr);
    m_impl->flushUnlessNested();
}

auto PeerConnection::close(const Error &reason) -> void
{
    m_impl->closeWith(reason);
}

auto PeerConnection::isClosed() const -> bool
{
    return m_impl->closed;
}

} // namespace figlanding
