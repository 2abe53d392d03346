#include "server_thread.h"

#include "standins/process.h"

#include <stdexcept>
#include <utility>

namespace figlanding::testing {

namespace {

constexpr milliseconds startLimit{5000};
constexpr milliseconds controlInterval{2};

auto onLoopback(HttpServerOptions options) -> HttpServerOptions
{
    options.address = {.ip = "127.0.0.1"};
    return options;
}

} // namespace

ServerThread::ServerThread(HttpServerOptions options, Handler handler)
    : m_options(onLoopback(std::move(options)))
    , m_handler(std::move(handler))
    , m_thread([this] { serve(); })
{
    if (!standins::waitUntil([this] { return m_port != 0; }, startLimit)) {
        throw std::runtime_error("the server did not start");
    }
}

ServerThread::~ServerThread()
{
    m_stopping = true;
    m_thread.join();
}

auto ServerThread::run(std::function<void(HttpServer &server)> work) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_queued.push_back(std::move(work));
}

auto ServerThread::runQueued(HttpServer &server) -> void
{
    auto queued = std::vector<std::function<void(HttpServer &)>>{};
    {
        const auto lock = std::lock_guard(m_mutex);
        queued.swap(m_queued);
    }
    for (const auto &work : queued) {
        work(server);
    }
}

auto ServerThread::serve() -> void
{
    auto loop = EventLoop();
    auto *running = static_cast<HttpServer *>(nullptr);
    const auto server = valueOrElse(
        [&] {
            return HttpServer::listen(loop, m_options, [&](HttpExchange exchange) {
                ++m_handled;
                m_handler(loop, *running, std::move(exchange));
            });
        },
        [](const Error &) { return std::unique_ptr<HttpServer>(); });
    if (!server) {
        return;
    }
    running = server.get();
    auto control = Timer(loop, [&] {
        m_lingering = server->lingering();
        runQueued(*server);
        if (m_stopping) {
            loop.stop();
        }
    });
    control.startRepeating(controlInterval);
    m_port = server->port();
    loop.run();
}

} // namespace figlanding::testing
