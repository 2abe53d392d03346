#include "io/http_client.h"

#include "io/http_request_check.h"
#include "io/http_transfer.h"
#include "io/socket.h"

#include <curl/curl.h>
#include <ev.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figlanding {

namespace {

// Watches one socket for libcurl. When the socket is closed, the watcher is kept for the next
// socket that gets the same descriptor number.
struct SocketWatcher
{
    ev_io watcher{};
    void *owner = nullptr;
};

// A call whose request is invalid and was not passed to libcurl. Its callback runs from the event
// loop, after call() has returned.
struct RejectedCall
{
    HttpClient::CallId id = 0;
    Error error;
    HttpClient::Callback callback;
};

} // namespace

struct HttpClient::Impl
{
    Impl(EventLoop &eventLoop, HttpClientOptions clientOptions);
    ~Impl();
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto call(const SocketAddress &address, HttpRequest request, const HttpCallOptions &callOptions,
              Callback callback) -> CallId;
    auto cancel(CallId id) -> void;
    auto handleSocketAction(curl_socket_t fd, int events) -> void;
    auto reportCompleted() -> void;
    auto reportRejected() -> void;
    auto completeTransfer(HttpTransfer &transfer, CURLcode code) -> void;
    auto acquireTransfer() -> std::unique_ptr<HttpTransfer>;
    auto releaseTransfer(std::unique_ptr<HttpTransfer> transfer) -> void;
    auto watchProgress(CallId id, Duration delay) -> void;
    auto checkProgress(CallId id) -> void;
    auto watchSocket(curl_socket_t fd, int what) -> void;
    auto startTimer(Duration delay) -> void;

    static auto onSocket(CURL *easy, curl_socket_t fd, int what, void *self, void *socketData)
        -> int;
    static auto onTimeoutChange(CURLM *multi, long timeoutMs, void *self) -> int;
    static auto onReady(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    static auto onTimer(struct ev_loop *loop, ev_timer *watcher, int events) -> void;
    static auto onCloseSocket(void *self, curl_socket_t fd) -> int;

    EventLoop &loop;
    HttpClientOptions options;
    CURLM *multi;
    ConnectionRegistry registry;
    ResponseBudget budget;
    ev_timer timer{};
    std::vector<std::unique_ptr<SocketWatcher>> watchers; // indexed by file descriptor
    std::unordered_map<CallId, std::unique_ptr<HttpTransfer>> active;
    std::unordered_map<CallId, std::unique_ptr<Timer>> progressTimers; // of slow responses
    std::vector<std::unique_ptr<HttpTransfer>> idle;
    std::deque<RejectedCall> rejected;
    CallId lastId = 0;
    // Set to false on destruction. A callback may destroy the client, so loops that run callbacks
    // keep a copy and check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

namespace {

constexpr std::size_t maxIdleTransfers = 256;

auto globalInit() -> void
{
    static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK) {
        throw std::runtime_error("curl_global_init failed");
    }
}

auto makeMulti() -> CURLM *
{
    globalInit();
    auto *multi = curl_multi_init();
    if (multi == nullptr) {
        throw std::runtime_error("curl_multi_init failed");
    }
    return multi;
}

} // namespace

HttpClient::Impl::Impl(EventLoop &eventLoop, HttpClientOptions clientOptions)
    : loop(eventLoop)
    , options(std::move(clientOptions))
    , multi(makeMulti())
    , budget(options.maxBufferedBytes)
{
    ev_timer_init(&timer, &Impl::onTimer, 0.0, 0.0);
    timer.data = this;
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimeoutChange);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.maxConnectionsPerHost));
    curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(options.maxConnections));
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.maxIdleConnections));
}

HttpClient::Impl::~Impl()
{
    *alive = false;
    for (auto &[id, transfer] : active) {
        curl_multi_remove_handle(multi, transfer->handle());
    }
    active.clear();
    idle.clear();
    curl_multi_cleanup(multi);
    ev_timer_stop(loop.raw(), &timer);
    for (auto &watcher : watchers) {
        if (watcher) {
            ev_io_stop(loop.raw(), &watcher->watcher);
        }
    }
}

auto HttpClient::Impl::call(const SocketAddress &address, HttpRequest request,
                            const HttpCallOptions &callOptions, Callback callback) -> CallId
{
    const auto id = ++lastId;
    if (auto fault = findRequestError(request); !fault.empty()) {
        auto error = Error{.code = ErrorCode::InvalidValue, .detail = std::move(fault)};
        rejected.push_back(RejectedCall{id, std::move(error), std::move(callback)});
        startTimer(Duration::zero());
        return id;
    }
    auto transfer = acquireTransfer();
    transfer->prepare(id, address, std::move(request), callOptions, std::move(callback));
    auto *handle = transfer->handle();
    active.emplace(id, std::move(transfer));
    curl_multi_add_handle(multi, handle);
    if (callOptions.slowResponse) {
        progressTimers.emplace(id,
                               std::make_unique<Timer>(loop, [this, id] { checkProgress(id); }));
        watchProgress(id, callOptions.timeout);
    }
    return id;
}

auto HttpClient::Impl::cancel(CallId id) -> void
{
    std::erase_if(rejected, [id](const RejectedCall &call) { return call.id == id; });
    const auto found = active.find(id);
    if (found == active.end()) {
        return;
    }
    auto transfer = std::move(found->second);
    active.erase(found);
    progressTimers.erase(id);
    curl_multi_remove_handle(multi, transfer->handle());
    releaseTransfer(std::move(transfer));
}

auto HttpClient::Impl::acquireTransfer() -> std::unique_ptr<HttpTransfer>
{
    if (!idle.empty()) {
        auto transfer = std::move(idle.back());
        idle.pop_back();
        return transfer;
    }
    auto transfer = std::make_unique<HttpTransfer>(registry, budget, options);
    curl_easy_setopt(transfer->handle(), CURLOPT_CLOSESOCKETFUNCTION, &Impl::onCloseSocket);
    curl_easy_setopt(transfer->handle(), CURLOPT_CLOSESOCKETDATA, this);
    return transfer;
}

auto HttpClient::Impl::releaseTransfer(std::unique_ptr<HttpTransfer> transfer) -> void
{
    (void)transfer->takeCallback();
    transfer->discardMessages();
    if (idle.size() < maxIdleTransfers) {
        idle.push_back(std::move(transfer));
    }
}

auto HttpClient::Impl::handleSocketAction(curl_socket_t fd, int events) -> void
{
    auto running = 0;
    const auto aliveFlag = alive;
    curl_multi_socket_action(multi, fd, events, &running);
    reportCompleted();
    if (*aliveFlag) {
        reportRejected();
    }
}

auto HttpClient::Impl::reportCompleted() -> void
{
    const auto aliveFlag = alive;
    auto queuedMessages = 0;
    while (*aliveFlag) {
        const auto *message = curl_multi_info_read(multi, &queuedMessages);
        if (message == nullptr) {
            return;
        }
        if (message->msg == CURLMSG_DONE) {
            char *owner = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
            const auto code = message->data.result;
            completeTransfer(*reinterpret_cast<HttpTransfer *>(owner), code);
        }
    }
}

auto HttpClient::Impl::completeTransfer(HttpTransfer &transfer, CURLcode code) -> void
{
    curl_multi_remove_handle(multi, transfer.handle());
    if (code != CURLE_OK && transfer.shouldRetry()) {
        transfer.prepareRetry();
        curl_multi_add_handle(multi, transfer.handle());
        return;
    }
    const auto found = active.find(transfer.id());
    auto owned = std::move(found->second);
    active.erase(found);
    progressTimers.erase(owned->id());
    auto outcome = owned->finish(code);
    auto callback = owned->takeCallback();
    releaseTransfer(std::move(owned));
    callback(std::move(outcome));
}

auto HttpClient::Impl::watchProgress(CallId id, Duration delay) -> void
{
    progressTimers.at(id)->startOnce(delay);
}

// Ends a call without a byte of its response for too long; otherwise checks again when it would be.
auto HttpClient::Impl::checkProgress(CallId id) -> void
{
    auto &transfer = *active.at(id);
    const auto left = transfer.dueAt() - MonotonicClock::now();
    if (left > Duration::zero()) {
        watchProgress(id, left);
        return;
    }
    completeTransfer(transfer, CURLE_OPERATION_TIMEDOUT);
}

auto HttpClient::Impl::reportRejected() -> void
{
    const auto aliveFlag = alive;
    while (*aliveFlag && !rejected.empty()) {
        auto call = std::move(rejected.front());
        rejected.pop_front();
        auto outcome = HttpOutcome{};
        outcome.error = std::move(call.error);
        call.callback(std::move(outcome));
    }
}

auto HttpClient::Impl::startTimer(Duration delay) -> void
{
    ev_timer_stop(loop.raw(), &timer);
    ev_timer_set(&timer, std::chrono::duration<double>(delay).count(), 0.0);
    ev_timer_start(loop.raw(), &timer);
}

auto HttpClient::Impl::watchSocket(curl_socket_t fd, int what) -> void
{
    const auto index = static_cast<std::size_t>(fd);
    if (index >= watchers.size()) {
        watchers.resize(index + 1);
    }
    auto &slot = watchers[index];
    if (!slot) {
        slot = std::make_unique<SocketWatcher>();
        ev_init(&slot->watcher, &Impl::onReady);
        slot->watcher.data = this;
    }
    ev_io_stop(loop.raw(), &slot->watcher);
    if (what != CURL_POLL_REMOVE) {
        const auto events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0)
            | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
        ev_io_set(&slot->watcher, fd, events);
        ev_io_start(loop.raw(), &slot->watcher);
    }
}

auto HttpClient::Impl::onSocket(CURL *, curl_socket_t fd, int what, void *self, void *) -> int
{
    static_cast<Impl *>(self)->watchSocket(fd, what);
    return 0;
}

auto HttpClient::Impl::onTimeoutChange(CURLM *, long timeoutMs, void *self) -> int
{
    auto *impl = static_cast<Impl *>(self);
    if (!impl->rejected.empty()) {
        impl->startTimer(Duration::zero());
    } else if (timeoutMs < 0) {
        ev_timer_stop(impl->loop.raw(), &impl->timer);
    } else {
        impl->startTimer(milliseconds(timeoutMs));
    }
    return 0;
}

auto HttpClient::Impl::onReady(struct ev_loop *, ev_io *watcher, int events) -> void
{
    const auto flags = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
        | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    static_cast<Impl *>(watcher->data)->handleSocketAction(watcher->fd, flags);
}

auto HttpClient::Impl::onTimer(struct ev_loop *, ev_timer *watcher, int) -> void
{
    static_cast<Impl *>(watcher->data)->handleSocketAction(CURL_SOCKET_TIMEOUT, 0);
}

auto HttpClient::Impl::onCloseSocket(void *self, curl_socket_t fd) -> int
{
    auto *impl = static_cast<Impl *>(self);
    if (const auto server = impl->registry.unexpectedInputFrom(fd);
        server && impl->options.onUnexpectedInput) {
        impl->options.onUnexpectedInput(*server);
    }
    if (impl->registry.unanswered(fd)) {
        resetOnClose(fd);
    }
    impl->registry.remove(fd);
    const auto index = static_cast<std::size_t>(fd);
    if (index < impl->watchers.size() && impl->watchers[index]) {
        ev_io_stop(impl->loop.raw(), &impl->watchers[index]->watcher);
    }
    return ::close(fd);
}

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : m_impl(std::make_unique<Impl>(loop, std::move(options)))
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::call(const SocketAddress &address, HttpRequest request,
                      const HttpCallOptions &options, Callback callback) -> CallId
{
    return m_impl->call(address, std::move(request), options, std::move(callback));
}

auto HttpClient::cancel(CallId id) -> void
{
    m_impl->cancel(id);
}

auto HttpClient::pending() const -> std::size_t
{
    return m_impl->active.size() + m_impl->rejected.size();
}

auto HttpClient::bufferedBytes() const -> std::size_t
{
    return m_impl->budget.used();
}

auto callAndWait(const SocketAddress &address, HttpRequest request, const HttpCallOptions &options)
    -> HttpOutcome
{
    auto loop = EventLoop();
    auto client = HttpClient(loop, HttpClientOptions{});
    auto result = HttpOutcome{};
    client.call(address, std::move(request), options, [&](HttpOutcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace figlanding
