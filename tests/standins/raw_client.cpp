#include "standins/raw_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <thread>

namespace figlanding::standins {

namespace {

constexpr milliseconds connectLimit{5000};
constexpr std::size_t readBytes = 16UL * 1024;

auto waitFor(int fd, short events, milliseconds limit) -> bool
{
    auto descriptor = pollfd{.fd = fd, .events = events, .revents = 0};
    return ::poll(&descriptor, 1, static_cast<int>(limit.count())) > 0;
}

} // namespace

RawClient::RawClient(std::uint16_t port)
    : m_socket(valueOrElse(
        [&] {
            return connectTo({"127.0.0.1", port});
        },
        [](const Error &) { return FileDescriptor(); }))
{
    waitFor(m_socket.get(), POLLOUT, connectLimit);
}

auto RawClient::send(const std::string &bytes) -> void
{
    auto sent = std::size_t{0};
    while (sent < bytes.size()) {
        const auto count =
            ::send(m_socket.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN || !waitFor(m_socket.get(), POLLOUT, connectLimit)) {
            m_sentAll = false;
            return;
        }
    }
}

auto RawClient::shutdownWrite() -> void
{
    ::shutdown(m_socket.get(), SHUT_WR);
}

auto RawClient::close() -> void
{
    m_socket.close();
}

auto RawClient::reset() -> void
{
    resetOnClose(m_socket.get());
    close();
}

auto RawClient::limitUnread(int bytes) -> void
{
    ::setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

auto RawClient::readBlock(std::string &received, milliseconds limit) -> bool
{
    if (m_closedByPeer || limit.count() <= 0 || !waitFor(m_socket.get(), POLLIN, limit)) {
        return false;
    }
    auto buffer = std::array<char, readBytes>{};
    const auto count = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || errno != EAGAIN) {
        m_closedByPeer = true;
        m_resetByPeer = count < 0;
    }
    return true;
}

auto RawClient::readUntil(const std::string &text, milliseconds limit) -> std::string
{
    const auto until = MonotonicClock::now() + limit;
    auto received = std::string{};
    while (text.empty() || received.find(text) == std::string::npos) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - MonotonicClock::now());
        if (!readBlock(received, left)) {
            break;
        }
    }
    return received;
}

auto RawClient::readAll(milliseconds limit) -> std::string
{
    return readUntil("", limit);
}

auto RawClient::readSlowly(milliseconds pause, milliseconds limit) -> std::string
{
    auto received = std::string{};
    while (readBlock(received, limit)) {
        std::this_thread::sleep_for(pause);
    }
    return received;
}

} // namespace figlanding::standins
