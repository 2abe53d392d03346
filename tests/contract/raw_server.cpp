#include "raw_server.h"

#include "io/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace figlanding::testing {

namespace {

constexpr int pollIntervalMs = 5;
constexpr unsigned awaitMicroseconds = 1000;
constexpr unsigned tricklePauseMicroseconds = 1000;

auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto parseContentLength(const std::string &head) -> std::size_t
{
    constexpr std::string_view name = "Content-Length: ";
    const auto found = head.find(name);
    return found == std::string::npos ? 0 : std::strtoul(&head[found + name.size()], nullptr, 10);
}

} // namespace

RawServer::RawServer(std::vector<RawScript> scripts)
    : m_scripts(std::move(scripts))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    auto size = socklen_t{sizeof address};
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    if (::bind(m_listener, raw, size) != 0 || ::listen(m_listener, 16) != 0
        || ::getsockname(m_listener, raw, &size) != 0) {
        throw std::runtime_error("can't listen on loopback");
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
}

RawServer::~RawServer()
{
    m_stop = true;
    m_thread.join();
    for (auto &connection : m_connections) {
        connection.join();
    }
    ::close(m_listener);
}

auto RawServer::address() const -> SocketAddress
{
    return {.ip = "127.0.0.1", .port = m_port};
}

auto RawServer::requests() const -> std::vector<std::string>
{
    const auto lock = std::lock_guard(m_mutex);
    return m_requests;
}

auto RawServer::waitReadable(int fd) const -> bool
{
    auto item = pollfd{.fd = fd, .events = POLLIN, .revents = 0};
    while (!m_stop) {
        if (::poll(&item, 1, pollIntervalMs) > 0) {
            return true;
        }
    }
    return false;
}

auto RawServer::serve() -> void
{
    for (std::size_t index = 0; waitReadable(m_listener); ++index) {
        const auto fd = ::accept(m_listener, nullptr, nullptr);
        if (fd < 0) {
            return; // RawAction::StopListening
        }
        const auto script = index < m_scripts.size() ? m_scripts[index] : RawScript{RawStep{}};
        m_connections.emplace_back([this, fd, script] { runScript(fd, script); });
    }
}

auto RawServer::readRequest(int fd) -> void
{
    auto text = std::string();
    auto buffer = std::array<char, 4096>{};
    auto expectedSize = std::string::npos;
    while (text.size() < expectedSize && waitReadable(fd)) {
        const auto size = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return;
        }
        text.append(buffer.data(), static_cast<std::size_t>(size));
        const auto end = text.find("\r\n\r\n");
        if (end != std::string::npos) {
            expectedSize = end + 4 + parseContentLength(text.substr(0, end));
        }
    }
    const auto lock = std::lock_guard(m_mutex);
    m_requests.push_back(text);
}

auto RawServer::readAll(int fd) -> void
{
    auto buffer = std::array<char, 4096>{};
    while (waitReadable(fd)) {
        const auto size = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            m_resets += size < 0 && errno == ECONNRESET ? 1 : 0;
            ++m_readToEnd;
            return;
        }
    }
}

auto RawServer::stream(int fd, const RawStep &step) -> void
{
    auto item = pollfd{.fd = fd, .events = POLLOUT, .revents = 0};
    auto position = std::size_t{0};
    while (!m_stop) {
        if (::poll(&item, 1, pollIntervalMs) <= 0) {
            continue;
        }
        const auto rest = std::string_view(step.text).substr(position);
        const auto size = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && errno != EAGAIN) {
            ++m_closedStreams;
            return;
        }
        position += size < 0 ? 0 : static_cast<std::size_t>(size);
        position %= step.text.size();
        if (step.action == RawAction::Trickle) {
            ::usleep(tricklePauseMicroseconds);
        }
    }
}

auto RawServer::runScript(int fd, const RawScript &script) -> void
{
    auto byte = char{};
    for (const auto &step : script) {
        if (step.action == RawAction::ReadRequest) {
            readRequest(fd);
        } else if (step.action == RawAction::ReadSome) {
            if (waitReadable(fd)) {
                (void)::recv(fd, &byte, 1, 0);
            }
        } else if (step.action == RawAction::ReadAll) {
            readAll(fd);
        } else if (step.action == RawAction::Send) {
            (void)::send(fd, step.text.data(), step.text.size(), MSG_NOSIGNAL);
        } else if (step.action == RawAction::Stream || step.action == RawAction::Trickle) {
            stream(fd, step);
        } else if (step.action == RawAction::Await) {
            while (!m_stop && !m_proceed) {
                ::usleep(awaitMicroseconds);
            }
        } else if (step.action == RawAction::StopListening) {
            ::shutdown(m_listener, SHUT_RDWR);
        } else if (step.action == RawAction::Reset) {
            resetOnClose(fd);
            break;
        } else if (step.action == RawAction::Close) {
            break;
        } else {
            while (!m_stop) {
                ::usleep(pollIntervalMs * 1000);
            }
        }
    }
    ::close(fd);
}

} // namespace figlanding::testing
