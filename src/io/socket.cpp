#include "io/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <system_error>

namespace figlanding {

namespace {

constexpr int listenBacklog = 1024;

/// A socket address in the form of the socket API.
struct NativeAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    [[nodiscard]] auto get() const -> const sockaddr *
    {
        return reinterpret_cast<const sockaddr *>(&storage);
    }
};

auto toNative(const SocketAddress &address) -> Result<NativeAddress>
{
    auto native = NativeAddress{};
    auto v4 = sockaddr_in{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
        std::memcpy(&native.storage, &v4, sizeof v4);
        native.length = sizeof v4;
        return native;
    }
    auto v6 = sockaddr_in6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) == 1) {
        std::memcpy(&native.storage, &v6, sizeof v6);
        native.length = sizeof v6;
        return native;
    }
    return fail(ErrorCode::InvalidValue, "\"" + address.ip + "\" is not an IP address");
}

auto failSystemCall(const char *call, const SocketAddress &address) -> boost::leaf::error_id
{
    const auto reason = std::system_category().message(errno);
    return fail(ErrorCode::IoFailure,
                std::string(call) + " " + address.ip + ":" + std::to_string(address.port) + ": "
                    + reason);
}

auto openSocket(int family) -> FileDescriptor
{
    return FileDescriptor(::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

auto setFlag(int fd, int level, int option) -> void
{
    const auto on = 1;
    ::setsockopt(fd, level, option, &on, sizeof on);
}

} // namespace

FileDescriptor::~FileDescriptor()
{
    close();
}

auto FileDescriptor::close() -> void
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

auto listenOn(const SocketAddress &address) -> Result<FileDescriptor>
{
    BOOST_LEAF_AUTO(native, toNative(address));
    auto socket = openSocket(native.storage.ss_family);
    setFlag(socket.get(), SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.get(), native.get(), native.length) != 0) {
        return failSystemCall("bind", address);
    }
    if (::listen(socket.get(), listenBacklog) != 0) {
        return failSystemCall("listen", address);
    }
    return socket;
}

auto connectTo(const SocketAddress &address) -> Result<FileDescriptor>
{
    BOOST_LEAF_AUTO(native, toNative(address));
    auto socket = openSocket(native.storage.ss_family);
    setFlag(socket.get(), IPPROTO_TCP, TCP_NODELAY);
    if (::connect(socket.get(), native.get(), native.length) != 0 && errno != EINPROGRESS) {
        return failSystemCall("connect", address);
    }
    return socket;
}

auto acceptFrom(int listeningFd) -> FileDescriptor
{
    auto socket =
        FileDescriptor(::accept4(listeningFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.get() >= 0) {
        setFlag(socket.get(), IPPROTO_TCP, TCP_NODELAY);
    }
    return socket;
}

auto duplicate(int fd) -> FileDescriptor
{
    return FileDescriptor(::fcntl(fd, F_DUPFD_CLOEXEC, 0));
}

auto enableDeadPeerDetection(int fd, milliseconds timeout) -> void
{
    setFlag(fd, SOL_SOCKET, SO_KEEPALIVE);
    const auto value = static_cast<int>(timeout.count());
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

auto resetOnClose(int fd) -> void
{
    const auto option = linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

auto resetNow(int fd) -> void
{
    const auto none = sockaddr{.sa_family = AF_UNSPEC, .sa_data = {}};
    (void)::connect(fd, &none, sizeof(none));
}

auto cancelResetOnClose(int fd) -> void
{
    const auto option = linger{.l_onoff = 0, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

auto localPort(int fd) -> std::uint16_t
{
    auto storage = sockaddr_storage{};
    auto length = socklen_t{sizeof storage};
    if (::getsockname(fd, reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        return 0;
    }
    // sockaddr_in and sockaddr_in6 store the port at the same offset.
    auto v4 = sockaddr_in{};
    std::memcpy(&v4, &storage, sizeof v4);
    return ntohs(v4.sin_port);
}

} // namespace figlanding
