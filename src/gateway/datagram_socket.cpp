#include "gateway/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t maxDatagramBytes = 65'536;
constexpr int maxDatagramsPerWakeUp = 64; ///< so that a burst does not starve other watchers

auto toNative(const SocketAddress &address) -> std::optional<sockaddr_in>
{
    auto native = sockaddr_in{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) != 1) {
        return std::nullopt;
    }
    return native;
}

auto fromNative(const sockaddr_in &native) -> SocketAddress
{
    auto text = std::array<char, INET_ADDRSTRLEN>{};
    inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
    return {.ip = text.data(), .port = ntohs(native.sin_port)};
}

} // namespace

DatagramSocket::DatagramSocket(EventLoop &loop, FileDescriptor socket, Handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
    , m_watcher(loop, m_socket.get(), [this](IoEvents) { receive(); })
{
    m_watcher.watch(IoEvents::Read);
}

auto DatagramSocket::bind(EventLoop &loop, const SocketAddress &address, Handler handler)
    -> Result<std::unique_ptr<DatagramSocket>>
{
    const auto native = toNative(address);
    if (!native) {
        return fail(ErrorCode::InvalidValue,
                    "cannot bind UDP socket: \"" + address.ip + "\" is not an IPv4 address");
    }
    auto socket = FileDescriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.get() < 0
        || ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&*native), sizeof *native)
            != 0) {
        return fail(ErrorCode::IoFailure,
                    "cannot bind UDP socket to " + toText(address) + ": "
                        + std::system_category().message(errno));
    }
    return std::unique_ptr<DatagramSocket>(
        new DatagramSocket(loop, std::move(socket), std::move(handler)));
}

auto DatagramSocket::send(std::string_view bytes, const SocketAddress &to) -> void
{
    if (const auto native = toNative(to)) {
        // A send error is treated like packet loss: senders retransmit what must arrive.
        static_cast<void>(::sendto(m_socket.get(), bytes.data(), bytes.size(), 0,
                                   reinterpret_cast<const sockaddr *>(&*native), sizeof *native));
    }
}

auto DatagramSocket::receive() -> void
{
    static auto buffer = std::array<char, maxDatagramBytes>{};
    for (auto i = 0; i < maxDatagramsPerWakeUp; ++i) {
        auto from = sockaddr_in{};
        auto length = socklen_t{sizeof from};
        const auto size = ::recvfrom(m_socket.get(), buffer.data(), buffer.size(), 0,
                                     reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 0) {
            return;
        }
        m_handler({buffer.data(), static_cast<std::size_t>(size)}, fromNative(from));
    }
}

} // namespace figlanding
